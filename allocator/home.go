package allocator

import (
	"maps"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of the time after which a request that found no token is told to come back.
const (
	drawRetryLeast = 50 * time.Millisecond
	drawRetryMost  = 2 * time.Second
)

// Home holds the rows that are kept whole in one failure domain: each domain lends its part of them for a while, so that the
// buckets are the fleet's while all are in touch. It is pure and not safe for concurrent use.
// The zero value is not usable; call NewHome.
type Home struct {
	limits map[Key]Limit
	rows   map[Key]*bucket
	loans  map[gypsumhoist.FailureDomain]loan
	// part is the part of every row that is here since the last look.
	part float64
}

// loan is the part of every row that a domain has lent, and when it last said so.
type loan struct {
	part float64
	at   time.Time
}

// bucket is a whole row. Promised counts the requests that were told to come back for tokens that are still to come.
type bucket struct {
	level, promised float64
	at              time.Time
}

// Drawn is what became of a request for one token.
type Drawn struct {
	Outcome DrawOutcome
	// RetryAfter tells when to come back after DrawEmpty.
	RetryAfter time.Duration
}

// DrawOutcome is the kind of a Drawn.
type DrawOutcome uint8

// Outcomes of a request for one token.
const (
	// DrawAway tells that nobody has lent anything here, so that nothing is known of what is spent.
	DrawAway DrawOutcome = iota
	// DrawTaken lets the request start.
	DrawTaken
	// DrawEmpty tells that the row's rate and burst are spent.
	DrawEmpty
)

// NewHome returns a home to which nobody has lent anything.
func NewHome() *Home {
	return &Home{limits: map[Key]Limit{}, rows: map[Key]*bucket{}, loans: map[gypsumhoist.FailureDomain]loan{}}
}

// SetLimits takes the limits of the rows that are kept whole here. New buckets begin empty; what a lower limit does not allow
// is dropped.
func (hm *Home) SetLimits(now time.Time, own float64, limits map[Key]Limit) {
	hm.look(now, own)
	hm.fillAll(now, hm.part)
	hm.limits = limits
	maps.DeleteFunc(hm.rows, func(ky Key, _ *bucket) bool { _, known := limits[ky]; return !known })
	for ky := range limits {
		if hm.rows[ky] == nil {
			hm.rows[ky] = &bucket{at: now}
		}
	}
	hm.fillAll(now, hm.part)
}

// Borrow takes what a domain lends from now on; own is the part of the home's own domain.
func (hm *Home) Borrow(now time.Time, own float64, from gypsumhoist.FailureDomain, part float64) {
	hm.look(now, own)
	hm.loans[from] = loan{part: min(max(part, 0), 1), at: now}
	hm.look(now, own)
}

// Draw takes the token of one request.
func (hm *Home) Draw(now time.Time, own float64, ky Key) Drawn {
	hm.look(now, own)
	bk := hm.rows[ky]
	if bk == nil || hm.part <= 0 {
		return Drawn{Outcome: DrawAway}
	}
	hm.fill(now, ky, bk, hm.part)
	if bk.level >= 1 {
		bk.level--
		return Drawn{Outcome: DrawTaken}
	}
	perS := max(hm.limits[ky].Rate*hm.part, 1e-3)
	missing := 1 - bk.level + bk.promised
	bk.promised = min(bk.promised+1, perS*drawRetryMost.Seconds())
	wait := time.Duration(min(missing/perS, drawRetryMost.Seconds()) * float64(time.Second))
	return Drawn{Outcome: DrawEmpty, RetryAfter: max(wait, drawRetryLeast)}
}

// look notes which part of the rows is here now. A part that has changed counts as the lesser one until now.
func (hm *Home) look(now time.Time, own float64) {
	part := own
	for _, ln := range hm.loans {
		if now.Sub(ln.at) < lendHold {
			part += ln.part
		}
	}
	part = min(part, 1)
	if part != hm.part {
		hm.fillAll(now, min(part, hm.part))
		hm.part = part
	}
}

func (hm *Home) fillAll(now time.Time, part float64) {
	for ky, bk := range hm.rows {
		hm.fill(now, ky, bk, part)
	}
}

// fill lets a bucket grow by what its part of the rate has brought since it was last filled.
func (hm *Home) fill(now time.Time, ky Key, bk *bucket, part float64) {
	lm := hm.limits[ky]
	grown := max(lm.Rate*part*now.Sub(bk.at).Seconds(), 0)
	bk.at = now
	bk.promised = max(bk.promised-grown, 0)
	bk.level = min(bk.level+grown, max(lm.Burst*part, 1))
}
