package registrar

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Rate is a token rate or amount in thousandths: as a rate, 1500 is 1.5 requests per second.
type Rate int64

// RateOne is one request per second.
const RateOne Rate = 1000

// Idempotence says which methods of a route may be executed more than once.
type Idempotence uint8

// Kinds of Idempotence.
const (
	// IdempotenceByMethod treats GET, HEAD, OPTIONS, TRACE, PUT and DELETE as idempotent.
	IdempotenceByMethod Idempotence = iota
	// IdempotenceAll treats every method as idempotent.
	IdempotenceAll
	// IdempotenceNone treats no method as idempotent.
	IdempotenceNone
)

// CutOff says how an instance handles a row's requests while it is cut off from the control instances.
type CutOff uint8

// Kinds of CutOff.
const (
	// CutOffServe keeps serving under the last table received.
	CutOffServe CutOff = iota
	// CutOffRefuse refuses the row's requests once the table is older than CutOffLease.
	CutOffRefuse
)

// CutOffLease is the table age beyond which requests for rows with CutOffRefuse are refused.
const CutOffLease = 5 * time.Second

// Wildcards in the name of a row.
const (
	// AnyWorkspace matches every workspace that has no row of its own for the route.
	AnyWorkspace gypsumhoist.Workspace = "*"
	// AnyRoute marks the row that limits all routes of a workspace together; the row itself serves no requests.
	AnyRoute = "*"
)

// ImportanceOfRoute is the importance of an AnyRoute row that leaves importance to the rows of the routes.
// Any other importance of an AnyRoute row overrides theirs.
const ImportanceOfRoute gypsumhoist.Importance = -1

// Row is the configuration of one workspace and route.
// Rows can be compared with ==; Check validates the values.
type Row struct {
	// Workspace and Route name the row. Route is a path prefix that begins with "/", optionally preceded by a host;
	// a prefix that ends with "/" matches only paths below it.
	// Workspace may be AnyWorkspace, and Route AnyRoute.
	Workspace gypsumhoist.Workspace
	Route     string
	// Service serves the route; it is empty if Split is set, and in an AnyRoute row.
	Service gypsumhoist.Service
	// Split distributes the route's requests over several services by weight.
	Split Split
	// Open admits requests without a key and attributes them to Workspace.
	Open bool
	// Importance orders requests for load shedding: lower ones are shed first. It may be ImportanceOfRoute in an AnyRoute row.
	// Weight is the workspace's share of a fair queue (1 to 1000).
	Importance gypsumhoist.Importance
	Weight     int
	// Rate (thousandths of a request per second) and Burst (whole requests) limit the requests
	// that the workspace may start on the route, over the whole fleet.
	// An AnyRoute row limits all routes of the workspace together. In a row with a wildcard both may be zero, for no limit.
	Rate  Rate
	Burst int64
	// Retries is the retry budget of one request over its whole call chain.
	Retries int
	// Attempts limits the upstreams that one call of the route may be sent to; zero means that only Retries limits them.
	Attempts int
	// RetryPercent limits the row's retries to a percentage of its first attempts.
	RetryPercent int
	Idempotent   Idempotence
	// Deadline limits the duration of one request, from its arrival to the end of its answer.
	Deadline time.Duration
	// TargetLatency is the time within which an answer has its full value to the caller; zero means none is set.
	TargetLatency time.Duration
	// Objective is the share of requests that should get a complete answer in time, in thousandths of a percent: 99900 is 99.9%.
	Objective int
	CutOff    CutOff
	// ColdRate limits the requests per second that each upstream of the row's services gets from the whole fleet while it is cold
	// (thousandths of a request per second); zero sets no such limit. Of several rows of a service the lowest limit holds.
	ColdRate Rate
	// Number counts the accepted edits of the row, from 1. An edit names the number it is based on.
	// A row that is deleted and added again continues the count.
	Number uint64
}
