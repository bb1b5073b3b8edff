package allocator

import (
	"maps"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of the retry delay of a request that found no token.
const (
	minDrawRetry = 50 * time.Millisecond
	maxDrawRetry = 2 * time.Second
)

// Home holds the buckets of the rows that are centralized in one failure domain. Each domain lends its share of them for a limited
// time, so that the buckets have the fleet's full rate and burst while all domains can reach the home.
// It does no I/O, reads no clock, and is not safe for concurrent use. The zero value is not usable; call NewHome.
type Home struct {
	limits  map[Key]Limit
	buckets map[Key]*homeBucket
	loans   map[gypsumhoist.Instance]loan // by lender
	stamps  stampClock
	// share is the fraction of every row that the home has had since the last call of updateShare.
	share float64
}

// loan is the share of every row that another domain lends, and until when it counts.
type loan struct {
	share float64
	until time.Time
}

// homeBucket is the token bucket of a centralized row. Its expectedRetries counts refused requests that were told to retry
// for tokens not yet available.
type homeBucket struct {
	level, expectedRetries float64
	at                     time.Time
}

// DrawResult is the answer to a request for one token.
type DrawResult struct {
	Outcome DrawOutcome
	// RetryAfter is the delay before a retry, set for DrawEmpty.
	RetryAfter time.Duration
}

// DrawOutcome is the outcome of a request for one token.
type DrawOutcome uint8

// Values of DrawOutcome.
const (
	// DrawUnavailable means that the row is not centralized here or the home has no share of it, so that its spending is unknown here.
	DrawUnavailable DrawOutcome = iota
	// DrawTaken means that the request may start.
	DrawTaken
	// DrawEmpty means that the row's rate and burst are spent.
	DrawEmpty
)

// NewHome returns a home without rows and loans.
func NewHome() *Home {
	return &Home{limits: map[Key]Limit{}, buckets: map[Key]*homeBucket{}, loans: map[gypsumhoist.Instance]loan{}}
}

// SetLimits replaces the limits of the rows that are centralized here; ownShare is the share of the home's own domain.
// New buckets start empty. Tokens beyond a lowered limit are dropped.
func (hm *Home) SetLimits(now time.Time, ownShare float64, limits map[Key]Limit) {
	hm.updateShare(now, ownShare)
	hm.fillAll(now, hm.share)
	hm.limits = limits
	maps.DeleteFunc(hm.buckets, func(ky Key, _ *homeBucket) bool { _, known := limits[ky]; return !known })
	for ky := range limits {
		if hm.buckets[ky] == nil {
			hm.buckets[ky] = &homeBucket{at: now}
		}
	}
	hm.fillAll(now, hm.share)
}

// Borrow starts or renews the loan of a lender, an instance of another domain, and returns the stamp of the answer. A request without a share
// leaves an earlier loan to its end.
func (hm *Home) Borrow(now time.Time, ownShare float64, lender gypsumhoist.Instance, sh sentShare, fraction float64) Stamp {
	hm.updateShare(now, ownShare)
	if until := sh.until(now, &hm.stamps, loanHold, legacyLoanHold); until.After(now) {
		hm.loans[lender] = loan{share: min(max(fraction, 0), 1), until: until}
	}
	hm.updateShare(now, ownShare)
	return hm.stamps.issue(now)
}

// Draw takes one token for a request.
func (hm *Home) Draw(now time.Time, ownShare float64, ky Key) DrawResult {
	hm.updateShare(now, ownShare)
	hb := hm.buckets[ky]
	if hb == nil || hm.share <= 0 {
		return DrawResult{Outcome: DrawUnavailable}
	}
	hm.fill(now, ky, hb, hm.share)
	if hb.level >= 1 {
		hb.level--
		return DrawResult{Outcome: DrawTaken}
	}
	perSecond := max(hm.limits[ky].Rate*hm.share, 1e-3)
	missing := 1 - hb.level + hb.expectedRetries
	hb.expectedRetries = min(hb.expectedRetries+1, perSecond*maxDrawRetry.Seconds())
	wait := time.Duration(min(missing/perSecond, maxDrawRetry.Seconds()) * float64(time.Second))
	return DrawResult{Outcome: DrawEmpty, RetryAfter: max(wait, minDrawRetry)}
}

// updateShare recomputes the share from the current loans. When it changes, buckets fill at the smaller of both shares up to now.
func (hm *Home) updateShare(now time.Time, ownShare float64) {
	share := ownShare
	for lender, ln := range hm.loans {
		if !now.Before(ln.until) {
			delete(hm.loans, lender)
			continue
		}
		share += ln.share
	}
	share = min(share, 1)
	if share != hm.share {
		hm.fillAll(now, min(share, hm.share))
		hm.share = share
	}
}

func (hm *Home) fillAll(now time.Time, share float64) {
	for ky, hb := range hm.buckets {
		hm.fill(now, ky, hb, share)
	}
}

// fill adds the tokens of a share of the rate since the last fill.
func (hm *Home) fill(now time.Time, ky Key, hb *homeBucket, share float64) {
	lm := hm.limits[ky]
	grown := max(lm.Rate*share*now.Sub(hb.at).Seconds(), 0)
	hb.at = now
	hb.expectedRetries = max(hb.expectedRetries-grown, 0)
	hb.level = min(hb.level+grown, max(lm.Burst*share, 1))
}
