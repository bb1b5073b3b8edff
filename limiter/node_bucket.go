package limiter

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// NodeBucket holds the tokens that a node has taken of one row in advance, and the requests that wait for more.
// It is not safe for concurrent use. Call NewNodeBucket.
type NodeBucket struct {
	key  RowKey
	node gypsumhoist.Instance

	tokens  int64 // in grants, including those that expired since the last Tick
	grants  []heldGrant
	waiters []Waiter // by importance, then by arrival

	inFlight         bool
	requestID        uint64
	requestedAt      time.Time
	requestedWaiters int64  // waiters included in the request in flight
	requestedSeq     uint64 // waiters up to this one were there when the request was sent
	lastSeq          uint64
	// unready means that the last request found no leader with the row's share; unreadySince is when
	// that began and unreadyAt when it was last seen.
	unready                 bool
	unreadySince, unreadyAt time.Time
	emptyUntil              time.Time // no request is sent before
	// prefetchAfter is when tokens may be requested in advance again.
	prefetchAfter time.Time

	standby     standby
	usage       rateMeter
	maxPrefetch int64
	settlements []Settlement // to be sent, one per grant
	settleNow   bool
}

// Waiter is a request that waits for a token.
type Waiter struct {
	// ID identifies the request; the caller chooses it.
	ID         uint64
	Importance gypsumhoist.Importance
	seq        uint64
	since      time.Time
}

// Release ends the wait of a request, with a token or without.
type Release struct {
	ID      uint64
	Granted bool
	// Unready means that there was no token because the leader doesn't hold the row's share yet.
	Unready bool
}

// heldGrant is the tokens of one grant at the node.
type heldGrant struct {
	epoch, id       uint64
	remaining       int64
	spent, returned int64
	requestedAt     time.Time
	settleSoon      bool
}

// expired reports whether the tokens must no longer be spent.
func (hg *heldGrant) expired(now time.Time) bool { return now.Sub(hg.requestedAt) >= nodeTokenLife }

const (
	// prefetchSpan is the span of recent use for which a node requests tokens in advance.
	prefetchSpan = 50 * time.Millisecond
	// idleReturnAge is the age at which unspent tokens are returned.
	idleReturnAge = 120 * time.Millisecond
	// minPrefetch is the minimum number of tokens worth requesting in advance.
	minPrefetch = 2
	// nodePrefetchDivisor limits what one node takes in advance to 1/16 of the domain's burst.
	nodePrefetchDivisor = 16
	// maxWait bounds the time that a request waits for a token.
	maxWait = 100 * time.Millisecond
	// maxUnreadyWait is how long requests wait for a leader that holds the row's share, from when it was first missing.
	maxUnreadyWait = 1500 * time.Millisecond
	// maxWaiters bounds the requests that wait at one bucket.
	maxWaiters = 4096
)

// NewNodeBucket returns a node's empty bucket for a row.
func NewNodeBucket(node gypsumhoist.Instance, rk RowKey) *NodeBucket {
	return &NodeBucket{key: rk, node: node}
}

// SetShare sets the domain's share of the row, which bounds what the node takes in advance.
func (nb *NodeBucket) SetShare(sh Share) {
	added, _ := accrued(sh.Rate, prefetchSpan, 0, sh.Burst/nodePrefetchDivisor)
	nb.maxPrefetch = added.Tokens()
}

// Spend takes one token if the bucket holds any and no request waits. It doesn't allocate.
func (nb *NodeBucket) Spend(now time.Time) bool {
	if len(nb.waiters) > 0 {
		return false
	}
	if nb.tokens > 0 && nb.spendOne(now) {
		return true
	}
	if nb.unready && nb.standby.take(now) {
		nb.usage.add(now)
		return true
	}
	return false
}

func (nb *NodeBucket) spendOne(now time.Time) bool {
	for ix := range nb.grants {
		hg := &nb.grants[ix]
		if hg.remaining == 0 || hg.expired(now) {
			continue
		}
		hg.remaining--
		hg.spent++
		nb.tokens--
		nb.settleNow = nb.settleNow || hg.settleSoon
		nb.usage.add(now)
		return true
	}
	return false
}

// Wait queues a request for a token. The result lists the requests that are refused at once:
// while no tokens are available the bucket keeps at most limit requests, and refuses the least important.
func (nb *NodeBucket) Wait(now time.Time, id uint64, imp gypsumhoist.Importance, limit int) []Release {
	nb.lastSeq++
	wt := Waiter{ID: id, Importance: imp, seq: nb.lastSeq, since: now}
	at, _ := slices.BinarySearchFunc(nb.waiters, wt, func(old, _ Waiter) int {
		if old.Importance >= imp {
			return -1
		}
		return 1
	})
	nb.waiters = slices.Insert(nb.waiters, at, wt)
	keep := maxWaiters
	if now.Before(nb.emptyUntil) && !nb.unready {
		keep = min(keep, max(limit, 1))
	}
	return nb.refuseBeyond(keep)
}

func (nb *NodeBucket) refuseBeyond(keep int) []Release {
	var out []Release
	for len(nb.waiters) > keep {
		last := len(nb.waiters) - 1
		out = append(out, Release{ID: nb.waiters[last].ID})
		nb.waiters = nb.waiters[:last]
	}
	return out
}

// Cancel removes a waiting request; it reports whether the request still waited.
func (nb *NodeBucket) Cancel(id uint64) bool {
	at := slices.IndexFunc(nb.waiters, func(wt Waiter) bool { return wt.ID == id })
	if at < 0 {
		return false
	}
	nb.waiters = slices.Delete(nb.waiters, at, at+1)
	return true
}

// Idle reports whether the bucket holds no tokens, and has nothing to send or to wait for.
func (nb *NodeBucket) Idle() bool {
	return len(nb.grants) == 0 && len(nb.waiters) == 0 && len(nb.settlements) == 0 && !nb.inFlight
}

// Waiting returns the number of requests that wait.
func (nb *NodeBucket) Waiting() int { return len(nb.waiters) }
