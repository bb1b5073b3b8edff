package gypsumhoist

import "net/http"

// Reason says in one word why a request got no answer from an upstream.
// HeaderReason and log events carry it; docs/VERDICTS.md lists all reasons.
type Reason string

// Reasons.
const (
	ReasonNoKey            Reason = "no_key"            // the route needs a key and the request has none
	ReasonBadKey           Reason = "bad_key"           // the key is unknown or withdrawn
	ReasonBadCall          Reason = "bad_call"          // the call token is unknown or its call has ended
	ReasonNoRow            Reason = "no_row"            // the table has no row for workspace and route
	ReasonBadRequest       Reason = "bad_request"       // a header or value of the request is invalid
	ReasonTooLarge         Reason = "too_large"         // the request's body is longer than allowed
	ReasonRate             Reason = "rate"              // the workspace has spent its rate and burst
	ReasonRateUnavailable  Reason = "rate_unavailable"  // the instance that keeps the rate can't be reached
	ReasonOverload         Reason = "overload"          // the request is shed because of too much load
	ReasonUpstreamRefused  Reason = "upstream_refused"  // the upstream refuses the request though it has free slots
	ReasonDeadline         Reason = "deadline"          // the deadline has passed or can't be met
	ReasonNoUpstream       Reason = "no_upstream"       // no upstream of the service is known or reachable
	ReasonLeaving          Reason = "leaving"           // the instance is stopping
	ReasonConnection       Reason = "connection"        // a connection broke or stopped responding
	ReasonDuplicate        Reason = "duplicate"         // an earlier request has claimed the idempotency key
	ReasonClaimUnavailable Reason = "claim_unavailable" // the instance that keeps the claim can't be reached
	ReasonClaimExpired     Reason = "claim_expired"     // the idempotency key is older than the retention period of claims
	ReasonClaimLost        Reason = "claim_lost"        // the claims of that period were lost with a majority of the instances that kept them
	ReasonQuarantined      Reason = "quarantined"       // the request has crashed upstreams
	ReasonTableStale       Reason = "table_stale"       // the table is older than the row's cut_off allows
	ReasonCanceled         Reason = "canceled"          // the caller disconnected or its request body broke off
	ReasonInternal         Reason = "internal"          // an internal error of the node
)

// Status returns the HTTP status of a refusal for the reason.
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
