package retrier

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Failure is what a node knows about a failed attempt when it decides on the next one.
type Failure struct {
	Verdict gypsumhoist.Verdict
	Reason  gypsumhoist.Reason
	// Answered says that the upstream answered with a failure of its own; Verdict and Reason say nothing then.
	Answered bool
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// BodySpent says that the request's body is gone and can't be sent again.
	BodySpent bool
	// ServiceOverloaded says that nearly all upstreams of the service refuse requests of this importance.
	ServiceOverloaded bool
	// Rank is what speaks for a retry of this request before others of its row.
	Rank Rank
	// Others is how many upstreams of the service are left to try.
	Others int
	// Remaining is the time to the deadline, Needed the expected duration of one attempt.
	Remaining time.Duration
	Needed    time.Duration
}

// Decision is what Decide returns: RetryElsewhere or GiveUp.
type Decision interface{ decision() }

// RetryElsewhere means: send the request now to another upstream. One retry has been drawn for it.
type RetryElsewhere struct{}

// GiveUp means: pass the failure on as the final answer.
type GiveUp struct{ Cause Cause }

func (RetryElsewhere) decision() {}
func (GiveUp) decision()         {}

// Cause says why no retry is made.
type Cause uint8

// Causes.
const (
	CauseNone       Cause = iota // the failure allows a retry
	CauseFinal                   // the reason stays the same at every upstream
	CauseRan                     // the request has run
	CauseUncertain               // the request may have run and isn't idempotent
	CauseBody                    // the body can't be sent again
	CauseOverload                // the whole service is overloaded
	CauseNoUpstream              // no other upstream is left
	CauseDeadline                // the time left can't hold another attempt
	CauseBudget                  // the budget of the request is spent
	CauseRatio                   // the row has retried its share
)

var causeNames = [...]string{
	"none", "final", "ran", "uncertain", "body", "overload", "no_upstream", "deadline", "budget", "ratio",
}

// String returns the cause in snake case.
func (ca Cause) String() string {
	if int(ca) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[ca]
}

// Judge says whether a failure allows a retry at all, whatever the budgets hold.
// It returns CauseNone if it does.
func Judge(fl Failure) Cause {
	switch {
	case fl.Answered && !fl.Idempotent, !fl.Answered && fl.Verdict == gypsumhoist.VerdictRan:
		return CauseRan
	case !fl.Answered && !retryable(fl.Reason):
		return CauseFinal
	case fl.Verdict != gypsumhoist.VerdictNotRun && !fl.Idempotent:
		return CauseUncertain
	case fl.BodySpent:
		return CauseBody
	case fl.ServiceOverloaded:
		return CauseOverload
	case fl.Others <= 0:
		return CauseNoUpstream
	case fl.Remaining <= 0 || fl.Remaining < fl.Needed:
		return CauseDeadline
	}
	return CauseNone
}

// retryable reports whether another upstream may do better.
func retryable(rs gypsumhoist.Reason) bool {
	switch rs {
	case gypsumhoist.ReasonConnection, gypsumhoist.ReasonLeaving, gypsumhoist.ReasonInternal,
		gypsumhoist.ReasonOverload, gypsumhoist.ReasonUpstreamRefused, gypsumhoist.ReasonNoUpstream:
		return true
	default:
		return false
	}
}
