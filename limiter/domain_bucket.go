package limiter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Lease describes the lease under which a DomainBucket works.
type Lease struct {
	// Epoch is unique among the leases of the shard group and increases.
	Epoch uint64
	// Since is when the lease began.
	Since time.Time
	// MinLease is the minimum time between the beginnings of two leases of the group.
	// If it is shorter than MaxTokenHold, the bucket grants only tokens received from other domains
	// until MaxTokenHold after Since.
	MinLease time.Duration
}

// DomainBucket holds the token buckets of one failure domain for the rows of one shard, under one lease.
//
// It doesn't know the grants and transfers of earlier leaders. At most maxOutstanding of each share was outstanding
// when they ended. So each row starts empty, and its capacity is lower by that much until MaxTokenHold has passed.
// Effects returns the actions that it requests. It is not safe for concurrent use. Call NewDomainBucket.
type DomainBucket struct {
	self   gypsumhoist.FailureDomain
	lease  Lease
	others []gypsumhoist.FailureDomain
	rows   map[RowKey]*rowBucket
	// complete is set once a table was seen that held all changes accepted before the lease began.
	// A row that comes later is new; earlier leaders can't have granted tokens of it.
	complete  bool
	nextID    uint64
	effects   []Effect
	now       time.Time
	scheduled []*rowBucket // with requests to serve at the next tick; some may have none any more
	active    []*rowBucket // used within activeSpan, or not full
	sweptAt   time.Time
}

// NewDomainBucket returns a bucket without rows. rnd draws the first request ID.
func NewDomainBucket(self gypsumhoist.FailureDomain, ls Lease, rnd *rand.Rand) *DomainBucket {
	return &DomainBucket{
		self: self, lease: ls, rows: map[RowKey]*rowBucket{},
		nextID: rnd.Uint64(), now: ls.Since,
	}
}

// Epoch returns the epoch of the bucket's lease.
func (db *DomainBucket) Epoch() uint64 { return db.lease.Epoch }

// Effects returns the actions that the bucket has requested since the last call.
func (db *DomainBucket) Effects() []Effect {
	effects := db.effects
	db.effects = nil
	return effects
}

// SetDomains sets the domains from which tokens may be requested. The bucket's own domain is left out.
func (db *DomainBucket) SetDomains(domains []gypsumhoist.FailureDomain) {
	db.others = slices.DeleteFunc(slices.Clone(domains), func(dm gypsumhoist.FailureDomain) bool { return dm == db.self })
}

// SetShare sets the domain's share of a row. A row whose share is removed is kept,
// so that it has no more tokens than before if it is added again. isNew means that no row of that name
// existed before this one; such a row starts full if its first share comes during the lease.
func (db *DomainBucket) SetShare(now time.Time, rk RowKey, sh Share, isNew bool) {
	db.advance(now)
	rb := db.rows[rk]
	if rb == nil {
		db.addRow(rk, sh, isNew)
		return
	}
	db.refresh(rb)
	rb.share = sh
	rb.clamp(db.capacity(rb))
	db.serve(rb)
}

// RevokeShares removes the shares of all rows for which known returns false.
func (db *DomainBucket) RevokeShares(now time.Time, known func(RowKey) bool) {
	for rk, rb := range db.rows {
		if !known(rk) && rb.share.Burst > 0 {
			db.SetShare(now, rk, Share{}, false)
		}
	}
}

// addRow adds a row. It starts full if it is new and was added during the lease.
func (db *DomainBucket) addRow(rk RowKey, sh Share, isNew bool) {
	rb := newRowBucket(rk, db.now)
	rb.share = sh
	if isNew && db.complete {
		rb.level = db.capacity(rb)
	}
	db.rows[rk] = rb
}

// SetComplete reports that the shares set so far hold every change that was accepted before asOf.
func (db *DomainBucket) SetComplete(asOf time.Time) {
	if !asOf.IsZero() && !asOf.Before(db.lease.Since) {
		db.complete = true
	}
}

// recovering reports whether tokens granted or transferred by earlier leaders may still be outstanding.
func (db *DomainBucket) recovering() bool { return db.now.Before(db.lease.Since.Add(MaxTokenHold)) }

// ownShareBlocked reports whether the bucket must not grant or transfer tokens of its own share yet.
func (db *DomainBucket) ownShareBlocked() bool {
	return db.lease.MinLease < MaxTokenHold && db.recovering()
}

// grantable returns what may leave a row's own share now. Received tokens may be granted at any time.
func (db *DomainBucket) grantable(rb *rowBucket) Amount {
	if db.ownShareBlocked() {
		return 0
	}
	return rb.releasable()
}

// capacity is the most that the level and the outstanding tokens of a row's share may add up to.
func (db *DomainBucket) capacity(rb *rowBucket) Amount {
	if db.recovering() {
		return rb.share.Burst - rb.share.maxOutstanding()
	}
	return rb.share.Burst
}

func (db *DomainBucket) advance(now time.Time) {
	if now.After(db.now) {
		db.now = now
	}
}

func (db *DomainBucket) refresh(rb *rowBucket) { rb.refresh(db.now, db.capacity(rb)) }

// Level returns the tokens that are in the domain's share of a row now.
func (db *DomainBucket) Level(now time.Time, rk RowKey) Amount {
	db.advance(now)
	rb := db.rows[rk]
	if rb == nil {
		return 0
	}
	db.refresh(rb)
	return rb.level
}

// Tick serves the requests that wait. It is due when NextTick says.
func (db *DomainBucket) Tick(now time.Time) {
	db.advance(now)
	due := db.scheduled
	db.scheduled = nil
	for _, rb := range due {
		rb.scheduled = false
		db.serve(rb)
	}
	if db.now.Sub(db.sweptAt) >= sweepInterval {
		db.sweptAt = db.now
		db.sweep()
	}
}

// sweep rebalances the active rows, and removes from the list those that are no longer used and are full.
func (db *DomainBucket) sweep() {
	kept := db.active[:0]
	for _, rb := range db.active {
		db.refresh(rb)
		if db.now.Sub(rb.usedAt) > activeSpan && rb.missing() < db.rebalanceThreshold(rb) {
			rb.active = false
			continue
		}
		db.rebalance(rb)
		kept = append(kept, rb)
	}
	clear(db.active[len(kept):])
	db.active = kept
}

// markActive marks a row as in use.
func (db *DomainBucket) markActive(rb *rowBucket) {
	rb.usedAt = db.now
	if !rb.active {
		rb.active = true
		db.active = append(db.active, rb)
	}
}

const (
	// tickInterval is the time between two ticks while requests wait.
	tickInterval = time.Millisecond
	// sweepInterval is the time between two rebalances of the rows in use.
	sweepInterval = 20 * time.Millisecond
	// activeSpan is how long a row counts as in use after a request.
	activeSpan = 10 * time.Second
)

// NextTick returns the time until Tick is due; the second result is false while there is nothing to do.
func (db *DomainBucket) NextTick() (time.Duration, bool) {
	if len(db.scheduled) > 0 {
		return tickInterval, true
	}
	return sweepInterval, len(db.active) > 0 && len(db.others) > 0
}

// schedule has a row served again at the next tick.
func (db *DomainBucket) schedule(rb *rowBucket) {
	if !rb.scheduled {
		rb.scheduled = true
		db.scheduled = append(db.scheduled, rb)
	}
}

func (db *DomainBucket) newID() uint64 {
	db.nextID++
	return db.nextID
}

func (db *DomainBucket) emit(ef Effect) { db.effects = append(db.effects, ef) }
