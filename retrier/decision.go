package retrier

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Failure is what a node knows about a failed attempt when it decides on the next one.
type Failure struct {
	Verdict gypsumhoist.Verdict
	Reason  gypsumhoist.Reason
	// Answered reports whether the upstream answered with a failure of its own. Verdict and Reason are ignored then.
	Answered bool
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// BodyConsumed reports whether the request's body has been consumed and can't be sent again.
	BodyConsumed bool
	// ServiceOverloaded reports whether nearly all upstreams of the service refuse requests of this importance.
	ServiceOverloaded bool
	// Rank orders the request among others of its row that need a retry.
	Rank Rank
	// UpstreamsLeft is the number of upstreams of the service that the request can still be sent to.
	UpstreamsLeft int
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// ExpectedLatency is the expected duration of one attempt.
	ExpectedLatency time.Duration
}

// Decision is what Decide returns: RetryElsewhere or GiveUp.
type Decision interface{ decision() }

// RetryElsewhere means that the request is to be sent to another upstream now. One retry has been drawn for it.
type RetryElsewhere struct{}

// GiveUp means that the failure is the final answer.
type GiveUp struct{ Cause Cause }

func (RetryElsewhere) decision() {}
func (GiveUp) decision()         {}

// Cause is the reason why no retry is made.
type Cause uint8

// Causes.
const (
	CauseNone       Cause = iota // the failure allows a retry
	CauseFinal                   // every upstream would refuse for the same reason
	CauseRan                     // the request has run
	CauseUncertain               // the request may have run and is not idempotent
	CauseBody                    // the body can't be sent again
	CauseOverload                // the whole service is overloaded
	CauseNoUpstream              // no other upstream is left
	CauseDeadline                // the remaining time is too short for another attempt
	CauseBudget                  // the budget of the request is spent
	CauseRatio                   // the row has used up its share of retries
	CauseCredit                  // the service's credit is spent or needed for requests of higher rank
)

var causeNames = [...]string{
	"none", "final", "ran", "uncertain", "body", "overload", "no_upstream", "deadline", "budget", "ratio", "credit",
}

// String returns the cause in snake case.
func (ca Cause) String() string {
	if int(ca) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[ca]
}

// Classify returns why a failure must not be retried, or CauseNone if it may be, as far as budget and ratio allow.
func Classify(fl Failure) Cause {
	switch {
	case fl.Answered && !fl.Idempotent, !fl.Answered && fl.Verdict == gypsumhoist.VerdictRan:
		return CauseRan
	case !fl.Answered && !retryable(fl.Reason):
		return CauseFinal
	case fl.Verdict != gypsumhoist.VerdictNotRun && !fl.Idempotent:
		return CauseUncertain
	case fl.BodyConsumed:
		return CauseBody
	case fl.ServiceOverloaded:
		return CauseOverload
	case fl.UpstreamsLeft <= 0:
		return CauseNoUpstream
	case fl.Remaining <= 0 || fl.Remaining < fl.ExpectedLatency:
		return CauseDeadline
	}
	return CauseNone
}

// retryable reports whether an attempt at another upstream may succeed where one failed for this reason.
func retryable(rs gypsumhoist.Reason) bool {
	switch rs {
	case gypsumhoist.ReasonConnection, gypsumhoist.ReasonLeaving, gypsumhoist.ReasonInternal,
		gypsumhoist.ReasonOverload, gypsumhoist.ReasonUpstreamRefused, gypsumhoist.ReasonNoUpstream:
		return true
	default:
		return false
	}
}
