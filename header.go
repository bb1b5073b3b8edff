package gypsumhoist

// HeaderPrefix opens the name of every header of the project.
// A node drops headers with it that come from callers, but for those named in docs/VERDICTS.md.
const HeaderPrefix = "Gypsumhoist-"

// Headers that callers and upstreams see.
const (
	// HeaderVerdict carries a Verdict on every refusal.
	HeaderVerdict = "Gypsumhoist-Verdict"
	// HeaderReason carries a Reason on every refusal.
	HeaderReason = "Gypsumhoist-Reason"
	// HeaderRequest carries the RequestID on every answer, for explain.
	HeaderRequest = "Gypsumhoist-Request"
	// HeaderCall carries the call token to an upstream, which returns it on its own calls.
	HeaderCall = "Gypsumhoist-Call"
	// HeaderDeadline carries the milliseconds that are left: to an upstream, and from a caller that waits no longer.
	HeaderDeadline = "Gypsumhoist-Deadline-Ms"
	// HeaderWorkspace carries the workspace for which a request runs, to an upstream; it is missing where no key came.
	HeaderWorkspace = "Gypsumhoist-Workspace"
	// HeaderDepth carries to an upstream how many calls of upstreams led to the request; it is missing on a caller's own.
	HeaderDepth = "Gypsumhoist-Depth"
	// HeaderAttempt carries the number of the attempt of a request at an upstream, from 1.
	HeaderAttempt = "Gypsumhoist-Attempt"
	// HeaderRetryAfter carries on a refusal the milliseconds after which a caller may ask again; Retry-After has them in seconds.
	HeaderRetryAfter = "Gypsumhoist-Retry-After-Ms"
	// HeaderKey carries the caller's key; "Authorization: Bearer <key>" is the other way.
	HeaderKey = "Gypsumhoist-Key"
	// HeaderIdempotencyKey marks a request that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// KeyPrefix opens every key, so that a key can be told from other credentials
// and kept away from upstreams in whatever header it stands.
const KeyPrefix = "ghk_"
