package registrar

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Rate is a token rate or amount in thousandths: 1500 as a rate is 1.5 requests a second.
type Rate int64

// RateOne is one request a second as a Rate.
const RateOne Rate = 1000

// Idempotence says which methods of a route may run more than once.
type Idempotence uint8

// Kinds of Idempotence.
const (
	// IdempotenceByMethod takes GET, HEAD, OPTIONS, TRACE, PUT and DELETE as idempotent.
	IdempotenceByMethod Idempotence = iota
	// IdempotenceAll takes every method as idempotent.
	IdempotenceAll
	// IdempotenceNone takes no method as idempotent.
	IdempotenceNone
)

// CutOff says what a failure domain does with a row while it is cut off from the table's keepers.
type CutOff uint8

// Kinds of CutOff.
const (
	// CutOffServe goes on under the last table that the domain has.
	CutOffServe CutOff = iota
	// CutOffRefuse refuses the row's requests once the table is older than CutOffLease.
	CutOffRefuse
)

// CutOffLease is the age of a table beyond which rows with CutOffRefuse are refused.
const CutOffLease = 5 * time.Second

// Wildcards in the name of a row.
const (
	// AnyWorkspace stands for every workspace that has no row of its own for the route.
	AnyWorkspace gypsumhoist.Workspace = "*"
	// AnyRoute stands for all routes of a workspace: its row bounds them together and serves none.
	AnyRoute = "*"
)

// ImportanceOfRoute is the importance of a row of AnyRoute that leaves importance to the routes.
// Any other importance of such a row goes before that of the routes.
const ImportanceOfRoute gypsumhoist.Importance = -1

// Row is what the table says about one workspace and route.
// It is a plain value; Check tells whether its values are allowed.
type Row struct {
	// Workspace and Route name the row. Route is a path prefix that begins with "/", behind the host that it holds for, if any;
	// one that ends with "/" matches only what lies below it.
	// Workspace may be AnyWorkspace, and Route AnyRoute.
	Workspace gypsumhoist.Workspace
	Route     string
	// Service answers the route; it is empty when Split names several, and in a row of AnyRoute.
	Service gypsumhoist.Service
	// Split shares the route's requests between services by weight.
	Split Split
	// Open lets requests without a key in, on behalf of Workspace.
	Open bool
	// Importance orders requests for shedding, Weight shares a queue between workspaces (1 to 1000).
	// A row of AnyRoute may have ImportanceOfRoute.
	Importance gypsumhoist.Importance
	Weight     int
	// Rate (thousandths of a request per second) and Burst (whole requests) bound
	// what the workspace may start on the route, over the whole fleet.
	// A row of AnyRoute bounds all routes of the workspace together. A row with a wildcard may have neither: both zero.
	Rate  Rate
	Burst int64
	// Retries is the retry budget of one request over its whole chain.
	Retries int
	// Attempts bounds the upstreams that one call of the route may be sent to; zero leaves that to the retries.
	Attempts int
	// RetryPercent bounds the retries of the row to a share of its first tries.
	RetryPercent int
	Idempotent   Idempotence
	// Deadline bounds one request from its entry to the end of its answer.
	Deadline time.Duration
	// TargetLatency is the time within which an answer is worth most; zero means that the row states none.
	TargetLatency time.Duration
	// Objective is the share of requests, in thousandths of a percent, that should get a whole answer in time: 99900 is 99.9%.
	Objective int
	CutOff    CutOff
	// Number counts the accepted edits of the row, from 1; an edit names the number it has seen.
	// A deleted row that is added again goes on counting.
	Number uint64
}
