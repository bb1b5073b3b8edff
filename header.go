package gypsumhoist

// HeaderPrefix is the prefix of all header names of the project.
// A node drops callers' headers with this prefix, except those named in docs/VERDICTS.md.
const HeaderPrefix = "Gypsumhoist-"

// Headers that callers and upstreams see.
const (
	// HeaderVerdict carries a Verdict on every refusal.
	HeaderVerdict = "Gypsumhoist-Verdict"
	// HeaderReason carries a Reason on every refusal.
	HeaderReason = "Gypsumhoist-Reason"
	// HeaderRequest carries the RequestID on every answer. The explain command takes it.
	HeaderRequest = "Gypsumhoist-Request"
	// HeaderCall carries the call token to an upstream, which sends it with the calls that it makes for the request.
	HeaderCall = "Gypsumhoist-Call"
	// HeaderDeadline carries milliseconds: to an upstream the time that is left, from a caller the longest time that it waits.
	HeaderDeadline = "Gypsumhoist-Deadline-Ms"
	// HeaderWorkspace carries the workspace of a request to an upstream. It is absent from requests that came without a key.
	HeaderWorkspace = "Gypsumhoist-Workspace"
	// HeaderDepth carries to an upstream the number of nested calls that led to the request. It is absent from a caller's own request.
	HeaderDepth = "Gypsumhoist-Depth"
	// HeaderAttempt carries to an upstream the number of the attempt, counted from 1.
	HeaderAttempt = "Gypsumhoist-Attempt"
	// HeaderRetryAfter carries on a refusal the milliseconds after which a caller may retry; Retry-After has the same in seconds.
	HeaderRetryAfter = "Gypsumhoist-Retry-After-Ms"
	// HeaderDraining with the value 1 on an upstream's answer says that this process of the upstream is leaving and is to get no
	// new requests.
	HeaderDraining = "Gypsumhoist-Draining"
	// HeaderKey carries the caller's key; "Authorization: Bearer <key>" is the alternative.
	HeaderKey = "Gypsumhoist-Key"
	// HeaderIdempotencyKey marks a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// KeyPrefix is the prefix of every key. It tells keys from other credentials,
// so that a key is kept from upstreams whichever header carries it.
const KeyPrefix = "ghk_"
