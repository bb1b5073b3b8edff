package admitter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Ask is a request for a slot of the upstream.
type Ask struct {
	Workspace gypsumhoist.Workspace
	// Route is the row's route. Service times are estimated by route.
	Route string
	// Weight is the workspace's share in the queue, clipped to the range from 1 to 1000.
	Weight     int
	Importance gypsumhoist.Importance
	// Depth is how many calls up the chain already hold work for this request; zero is fresh work.
	Depth int
	// Precedence orders it among requests of its importance and depth; zero for one by lot.
	Precedence Precedence
	// Siblings tells that the request makes other calls too, and is lost with the first that is refused.
	Siblings bool
	// Patience is how long the request may wait while it is among the least important; zero leaves that to the admitter.
	Patience time.Duration
	// Deadline is when the whole answer is due; the zero time means no deadline.
	Deadline time.Time
}

// Outcome says how an admitted request ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered is an answer of the upstream; its time counts as a latency sample.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a fault that says nothing about how long the upstream takes.
	OutcomeFailed
	// OutcomeOverloaded is a refusal by the upstream itself for lack of capacity. It isn't meant for
	// an answer that passes on the refusal of a call the upstream made: that is OutcomeFailed.
	OutcomeOverloaded
	// OutcomeAbandoned is a request cut off while it ran, by its deadline or its caller.
	OutcomeAbandoned
	// OutcomeUnused is a slot that was given back without a request having been sent.
	OutcomeUnused
)

// Load is the present state of an admitter, for answers and metrics.
type Load struct {
	InFlight int // requests that hold a slot
	Waiting  int // requests in the queue
	Limit    int // requests that may hold a slot now
	Slots    int // what the upstream announced
	// CutOff is the importance below which all fresh requests are refused at present.
	CutOff gypsumhoist.Importance
	// JointLevel is the rank below which calls with siblings are refused unless a slot is free: twice the importance, one more for
	// nested calls, and a fraction by precedence, from 0 to 202; zero refuses none.
	JointLevel float64
	// ServiceTime is the median time that the upstream takes for a request; zero if not known.
	ServiceTime time.Duration
}
