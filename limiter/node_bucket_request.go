package limiter

import (
	"math"
	"slices"
	"time"
)

// NextRequest returns the request to send to the leader now; the second result is false if there is none.
// The caller reports its outcome by Granted or Failed. id must be new.
func (nb *NodeBucket) NextRequest(now time.Time, id uint64) (TokenRequest, bool) {
	if nb.inFlight || now.Before(nb.emptyUntil) {
		return TokenRequest{}, false
	}
	waiting := int64(len(nb.waiters))
	target := nb.prefetchTarget(now)
	if waiting == 0 && (target < minPrefetch || nb.tokens*2 > target) {
		return TokenRequest{}, false
	}
	req := TokenRequest{Key: nb.key, Node: nb.node, ID: id, Want: waiting + max(target-nb.tokens, 0), Waiting: waiting}
	if waiting > 0 {
		req.Importance = nb.waiters[0].Importance
	}
	nb.inFlight, nb.requestID, nb.requestedAt = true, id, now
	nb.requestedWaiters, nb.requestedSeq = waiting, nb.lastSeq
	return req, true
}

// HasWork reports whether NextRequest would return a request or a settlement is due. It changes nothing.
func (nb *NodeBucket) HasWork(now time.Time) bool {
	if nb.settleNow || len(nb.settlements) > 0 {
		return true
	}
	if nb.inFlight || now.Before(nb.emptyUntil) {
		return false
	}
	if len(nb.waiters) > 0 {
		return true
	}
	target := nb.prefetchTarget(now)
	return target >= minPrefetch && nb.tokens*2 <= target
}

// prefetchTarget returns how many tokens to hold in advance, based on recent use.
func (nb *NodeBucket) prefetchTarget(now time.Time) int64 {
	if nb.maxPrefetch < minPrefetch || now.Before(nb.prefetchAfter) {
		return 0
	}
	use := math.Ceil(nb.usage.rate(now) * prefetchSpan.Seconds())
	return min(int64(use), nb.maxPrefetch)
}

// Granted handles the answer to the request in flight and returns the requests that stop waiting.
func (nb *NodeBucket) Granted(now time.Time, epoch uint64, gr Grant) []Release {
	if !nb.inFlight || gr.ID != nb.requestID {
		return nil
	}
	nb.inFlight = false
	if gr.Amount > 0 {
		hg := heldGrant{epoch: epoch, id: gr.ID, remaining: gr.Amount, requestedAt: nb.requestedAt, settleSoon: gr.SettleSoon}
		if !hg.expired(now) {
			nb.grants = append(nb.grants, hg)
			nb.tokens += gr.Amount
		}
	}
	nb.setReady(now, !gr.Unready)
	out := append(nb.serve(now), nb.serveStandby(now)...)
	if gr.Empty && nb.requestedWaiters == 0 {
		nb.prefetchAfter = now.Add(prefetchSpan)
	}
	if gr.Empty && nb.requestedWaiters > 0 {
		nb.emptyUntil = now.Add(gr.RetryAfter)
		out = append(out, nb.refuseRequested(now)...)
	}
	return append(out, nb.Expire(now)...)
}

// setReady records whether there is a leader that holds the row's share.
// Once there is one, the wait of each request starts anew.
func (nb *NodeBucket) setReady(now time.Time, ready bool) {
	if nb.unready && ready {
		for ix := range nb.waiters {
			nb.waiters[ix].since = now
		}
	}
	if !nb.unready || now.Sub(nb.unreadyAt) > maxUnreadyWait {
		nb.unreadySince = now
	}
	nb.unready, nb.unreadyAt = !ready, now
}

// awaitsLeader reports whether requests may still wait for a leader: up to maxUnreadyWait after it was first missing.
func (nb *NodeBucket) awaitsLeader(now time.Time) bool {
	return nb.unready && nb.standby.rate == 0 && now.Sub(nb.unreadySince) < maxUnreadyWait
}

// Expire returns the requests that have waited for too long because requests arrive faster than tokens.
// While a token request is in flight there are none.
func (nb *NodeBucket) Expire(now time.Time) []Release {
	if nb.inFlight {
		return nil
	}
	if nb.awaitsLeader(now) {
		return nil
	}
	var out []Release
	nb.waiters = slices.DeleteFunc(nb.waiters, func(wt Waiter) bool {
		if now.Sub(wt.since) < maxWait {
			return false
		}
		out = append(out, Release{ID: wt.ID, Unready: nb.unready})
		return true
	})
	return out
}

// serve gives tokens to the waiting requests, the most important first.
func (nb *NodeBucket) serve(now time.Time) []Release {
	var out []Release
	for len(nb.waiters) > 0 && nb.tokens > 0 && nb.spendOne(now) {
		out = append(out, Release{ID: nb.waiters[0].ID, Granted: true})
		nb.waiters = slices.Delete(nb.waiters, 0, 1)
	}
	return out
}

// refuseRequested refuses the requests that waited when the token request was sent;
// none while they may wait for a leader.
func (nb *NodeBucket) refuseRequested(now time.Time) []Release {
	if nb.awaitsLeader(now) {
		return nil
	}
	var out []Release
	nb.waiters = slices.DeleteFunc(nb.waiters, func(wt Waiter) bool {
		if wt.seq > nb.requestedSeq {
			return false
		}
		out = append(out, Release{ID: wt.ID, Unready: nb.unready})
		return true
	})
	return out
}

// Failed handles a token request that got no answer, and returns the requests that stop waiting.
func (nb *NodeBucket) Failed(now time.Time, id uint64, pause time.Duration) []Release {
	if !nb.inFlight || id != nb.requestID {
		return nil
	}
	nb.inFlight = false
	nb.setReady(now, false)
	nb.emptyUntil = now.Add(pause)
	return append(nb.serveStandby(now), nb.refuseRequested(now)...)
}
