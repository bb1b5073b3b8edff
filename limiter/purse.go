package limiter

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Purse holds what a node has taken of one row in advance, and the requests that wait for more.
// It is not safe for concurrent use. Call NewPurse.
type Purse struct {
	key  RowKey
	node gypsumhoist.Instance

	left    int64 // in lots, also in those that expired since the last Tick
	lots    []purseLot
	waiters []Waiter // by importance, then in order of coming

	asking   bool
	askID    uint64
	askedAt  time.Time
	asked    int64  // of the waiters, for how many
	askedSeq uint64 // waiters up to this one were there when the ask was made
	lastSeq  uint64
	// unready means that the last ask found no leader with the row's share; unreadySince is when
	// that began and unreadyAt when it was last seen.
	unready                 bool
	unreadySince, unreadyAt time.Time
	dryUntil                time.Time // no ask for requests that wait before
	// aheadAfter is when tokens may be asked for in advance again.
	aheadAfter time.Time

	standby   standby
	use       useMeter
	maxAhead  int64
	settle    []Settlement // to be sent, one for each grant
	settleNow bool
}

// Waiter is a request that waits for a token.
type Waiter struct {
	// ID is the caller's name for the request.
	ID         uint64
	Importance gypsumhoist.Importance
	seq        uint64
	since      time.Time
}

// Release ends the waiting of a request: with a token or without.
type Release struct {
	ID      uint64
	Granted bool
	// Unready means that the leader doesn't hold the row's share yet, so that there was no token.
	Unready bool
}

// purseLot is what came with one grant.
type purseLot struct {
	epoch, id       uint64
	left            int64
	spent, returned int64
	askedAt         time.Time
	tight           bool
}

// expired reports whether the lot's tokens must no longer be spent.
func (pl *purseLot) expired(now time.Time) bool { return now.Sub(pl.askedAt) >= purseLife }

const (
	// batchSpan is the time of recent use that a purse asks tokens for in advance.
	batchSpan = 50 * time.Millisecond
	// idleReturn is the age at which unspent tokens go back.
	idleReturn = 120 * time.Millisecond
	// minAhead is the least number of tokens that is worth an ask in advance.
	minAhead = 2
	// shareAhead is the part of a domain's burst that one node takes in advance at most.
	shareAhead = 16
	// maxWait is how long a request waits for tokens at most.
	maxWait = 100 * time.Millisecond
	// unreadyWait is how long requests wait for a leader that holds the row's share, from when it was first missed.
	unreadyWait = 1500 * time.Millisecond
	// maxWaiters bounds the requests that wait in one purse.
	maxWaiters = 4096
)

// NewPurse returns an empty purse of a node for a row.
func NewPurse(node gypsumhoist.Instance, rk RowKey) *Purse { return &Purse{key: rk, node: node} }

// SetShare tells the purse the share of its domain, which bounds what it takes in advance.
func (ps *Purse) SetShare(sh Share) {
	brought, _ := minted(sh.Rate, batchSpan, 0, sh.Burst/shareAhead)
	ps.maxAhead = brought.Tokens()
}

// Spend takes one token if the purse holds any and no request waits. It doesn't allocate.
func (ps *Purse) Spend(now time.Time) bool {
	if len(ps.waiters) > 0 {
		return false
	}
	if ps.left > 0 && ps.spendOne(now) {
		return true
	}
	if ps.unready && ps.standby.take(now) {
		ps.use.add(now)
		return true
	}
	return false
}

func (ps *Purse) spendOne(now time.Time) bool {
	for ix := range ps.lots {
		lt := &ps.lots[ix]
		if lt.left == 0 || lt.expired(now) {
			continue
		}
		lt.left--
		lt.spent++
		ps.left--
		ps.settleNow = ps.settleNow || lt.tight
		ps.use.add(now)
		return true
	}
	return false
}

// Wait lets a request wait for a token. The result names the requests that stop waiting at once:
// in a dry time the purse keeps no more than limit, and refuses the least important.
func (ps *Purse) Wait(now time.Time, id uint64, imp gypsumhoist.Importance, limit int) []Release {
	ps.lastSeq++
	wt := Waiter{ID: id, Importance: imp, seq: ps.lastSeq, since: now}
	at, _ := slices.BinarySearchFunc(ps.waiters, wt, func(old, _ Waiter) int {
		if old.Importance >= imp {
			return -1
		}
		return 1
	})
	ps.waiters = slices.Insert(ps.waiters, at, wt)
	keep := maxWaiters
	if now.Before(ps.dryUntil) && !ps.unready {
		keep = min(keep, max(limit, 1))
	}
	return ps.refuseBeyond(keep)
}

func (ps *Purse) refuseBeyond(keep int) []Release {
	var out []Release
	for len(ps.waiters) > keep {
		last := len(ps.waiters) - 1
		out = append(out, Release{ID: ps.waiters[last].ID})
		ps.waiters = ps.waiters[:last]
	}
	return out
}

// Cancel ends the waiting of a request; it reports whether the request still waited.
func (ps *Purse) Cancel(id uint64) bool {
	at := slices.IndexFunc(ps.waiters, func(wt Waiter) bool { return wt.ID == id })
	if at < 0 {
		return false
	}
	ps.waiters = slices.Delete(ps.waiters, at, at+1)
	return true
}

// Idle reports whether the purse holds no tokens and has nothing to send or to wait for.
func (ps *Purse) Idle() bool {
	return len(ps.lots) == 0 && len(ps.waiters) == 0 && len(ps.settle) == 0 && !ps.asking
}

// Waiting returns the number of requests that wait.
func (ps *Purse) Waiting() int { return len(ps.waiters) }
