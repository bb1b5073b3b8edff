package gypsumhoist

import (
	"fmt"
	"time"
)

// Refusal is the error of a request that gets no answer of an upstream.
// It is immutable once built and safe for concurrent use.
type Refusal struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before it asks again.
	// Zero means that no time helps or that asking at once is fine.
	RetryAfter time.Duration
	// Untouched tells that the upstream's node did not hand the request to the upstream: another one may be asked at no cost.
	Untouched bool
	// Detail is one plain sentence for people; it never holds a key.
	Detail string
}

// NotRun returns a refusal of a request that no upstream has seen.
func NotRun(rs Reason, ra time.Duration, detail string) *Refusal {
	return &Refusal{Verdict: VerdictNotRun, Reason: rs, RetryAfter: ra, Detail: detail}
}

// MayHaveRun returns a refusal of a request that an upstream may have seen.
func MayHaveRun(rs Reason, detail string) *Refusal {
	return &Refusal{Verdict: VerdictMayHaveRun, Reason: rs, Detail: detail}
}

// Error returns verdict, reason and detail in one line.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", rf.Verdict, rf.Reason, rf.Detail)
}
