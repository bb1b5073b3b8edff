package gypsumhoist

import "net/http"

// Reason says in one word why a request got no answer of an upstream.
// It stands in HeaderReason and in log events; docs/VERDICTS.md lists them all.
type Reason string

// Reasons.
const (
	ReasonNoKey            Reason = "no_key"            // no key came with a request for a route that needs one
	ReasonBadKey           Reason = "bad_key"           // the key is unknown or withdrawn
	ReasonBadCall          Reason = "bad_call"          // the call token is unknown or its call has ended
	ReasonNoRow            Reason = "no_row"            // the table has no row for workspace and route
	ReasonBadRequest       Reason = "bad_request"       // a header or value of the request can't be taken
	ReasonTooLarge         Reason = "too_large"         // the request's body is longer than allowed
	ReasonRate             Reason = "rate"              // the workspace has spent its rate and burst
	ReasonRateUnavailable  Reason = "rate_unavailable"  // the keeper of the rate can't be reached
	ReasonOverload         Reason = "overload"          // less important work is shed
	ReasonUpstreamRefused  Reason = "upstream_refused"  // the upstream refuses work though it has room
	ReasonDeadline         Reason = "deadline"          // the deadline has passed or can't be met
	ReasonNoUpstream       Reason = "no_upstream"       // no upstream of the service is known or reachable
	ReasonLeaving          Reason = "leaving"           // the instance is stopping
	ReasonConnection       Reason = "connection"        // a connection broke or went silent
	ReasonDuplicate        Reason = "duplicate"         // the idempotency key is claimed already
	ReasonClaimUnavailable Reason = "claim_unavailable" // the keeper of the claim can't be reached
	ReasonClaimExpired     Reason = "claim_expired"     // the idempotency key is older than claims are kept
	ReasonClaimLost        Reason = "claim_lost"        // claims of that time were lost with a majority of their keepers
	ReasonQuarantined      Reason = "quarantined"       // the request has killed upstreams
	ReasonTableStale       Reason = "table_stale"       // the table is older than the row's cut_off allows
	ReasonCanceled         Reason = "canceled"          // the caller went away
	ReasonInternal         Reason = "internal"          // a fault of the node itself
)

// Status returns the HTTP status that goes with the reason.
// An unknown reason gets 503.
func (rs Reason) Status() int {
	switch rs {
	case ReasonNoKey, ReasonBadKey:
		return http.StatusUnauthorized
	case ReasonBadCall:
		return http.StatusForbidden
	case ReasonNoRow:
		return http.StatusNotFound
	case ReasonBadRequest:
		return http.StatusBadRequest
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonRate:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonDuplicate, ReasonClaimExpired, ReasonClaimLost:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}
