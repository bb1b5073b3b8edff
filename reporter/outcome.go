package reporter

import "github.com/gypsumhoist/gypsumhoist"

// Outcome is the way in which one request counts towards its row's objective.
type Outcome uint8

// Outcomes.
const (
	// OutcomeGood is a request that got the complete answer of an upstream in time.
	OutcomeGood Outcome = iota
	// OutcomeBad is a legitimate request that did not get such an answer.
	OutcomeBad
	// OutcomeLeftOut is a refusal that is the caller's own fault. It doesn't count.
	OutcomeLeftOut
)

// Classify classifies a request. Succeeded is true if the request got the complete answer of an upstream in time.
// Otherwise rs is the reason of its refusal, if it was refused.
//
// Refusals are left out if a caller can cause them at will and overload can't cause them: wrong keys, requests
// or rows, load above the row's own rate, and an idempotency key that is used twice or too late.
// All other requests are bad. These include requests whose caller disconnected, as a node can't tell an impatient
// caller from a slow answer, and quarantined requests, as the quarantine may hit the wrong request.
func Classify(succeeded bool, rs gypsumhoist.Reason) Outcome {
	if succeeded {
		return OutcomeGood
	}
	switch rs {
	case gypsumhoist.ReasonNoKey, gypsumhoist.ReasonBadKey, gypsumhoist.ReasonBadCall, gypsumhoist.ReasonNoRow,
		gypsumhoist.ReasonBadRequest, gypsumhoist.ReasonTooLarge, gypsumhoist.ReasonRate,
		gypsumhoist.ReasonDuplicate, gypsumhoist.ReasonClaimExpired:
		return OutcomeLeftOut
	default:
		return OutcomeBad
	}
}
