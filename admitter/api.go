package admitter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Request is a request for a slot of the upstream.
type Request struct {
	Workspace gypsumhoist.Workspace
	// Route is the row's route. Service times are estimated by route.
	Route string
	// Weight is the workspace's weight in fair queueing, clipped to the range from 1 to 1000.
	Weight     int
	Importance gypsumhoist.Importance
	// Depth is the number of calls up the chain that already hold work for this request; zero is a fresh request.
	Depth int
	// Precedence orders it among requests of its importance and depth; zero draws one at random.
	Precedence Precedence
	// Siblings reports that this is one of several calls of a request, which fails with the first of them that is refused.
	Siblings bool
	// Committed reports that an earlier call of its request was answered, whose work is lost if this one is refused: it goes before
	// calls of its importance that are not.
	Committed bool
	// LoadReported reports that upstreams of the service report their load. For some seconds after such a request the admitter tries out whether
	// its upstream does more work while a few of its slots stay free.
	LoadReported bool
	// MaxWait limits how long the request may wait while it is among the least important; zero leaves that to the admitter.
	MaxWait time.Duration
	// Target is when the answer is due for the request at the entry of the call chain to meet its target, if waiting could make it miss
	// that; such calls go before patient ones of their importance. The zero time means a patient request, or that nothing is known.
	Target time.Time
	// Deadline is when the complete answer is due; the zero time means no deadline.
	Deadline time.Time
}

// Outcome is how an admitted request ended.
type Outcome uint8

// Outcomes.
const (
	// OutcomeAnswered is an answer of the upstream; its time counts as a latency sample.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed is a failure that says nothing about how long the upstream takes.
	OutcomeFailed
	// OutcomeOverloaded is a refusal by the upstream itself for lack of capacity. An answer that
	// passes on the refusal of a call the upstream made is OutcomeFailed.
	OutcomeOverloaded
	// OutcomeAbandoned is a request that was canceled while it ran, by its deadline or its caller.
	OutcomeAbandoned
	// OutcomeUnused is a slot that was released without a request having been sent.
	OutcomeUnused
)

// Load is the current state of an admitter, for answers and metrics.
type Load struct {
	InFlight int // requests that hold a slot
	Waiting  int // requests in the queue
	Limit    int // requests that can run at a time: the concurrency limit, or fewer by the rate limit
	Slots    int // slots that the upstream announced
	// RateLimit is how many requests per second the upstream takes from all nodes.
	RateLimit gypsumhoist.RateLimit
	// CutOff is the importance below which all fresh requests are currently refused.
	CutOff gypsumhoist.Importance
	// JointLevel is the level of joint refusal, below which calls with siblings are refused unless a slot is free. It is a rank
	// from 0 to 202: twice the importance, plus one for nested calls, plus a fraction by precedence; zero refuses none.
	JointLevel float64
	// ServiceTime is the median service time of the upstream; zero if not known.
	ServiceTime time.Duration
}
