package limiter

import (
	"math"
	"slices"
	"time"
)

// NextAsk returns what to ask the leader for now; the second result is false for nothing.
// The caller reports its outcome by Granted or Failed. id must be new.
func (ps *Purse) NextAsk(now time.Time, id uint64) (Ask, bool) {
	if ps.asking || now.Before(ps.dryUntil) {
		return Ask{}, false
	}
	waiting := int64(len(ps.waiters))
	ahead := ps.ahead(now)
	if waiting == 0 && (ahead < minAhead || ps.left*2 > ahead) {
		return Ask{}, false
	}
	ask := Ask{Key: ps.key, Node: ps.node, ID: id, Want: waiting + max(ahead-ps.left, 0), Waiting: waiting}
	if waiting > 0 {
		ask.Importance = ps.waiters[0].Importance
	}
	ps.asking, ps.askID, ps.askedAt = true, id, now
	ps.asked, ps.askedSeq = waiting, ps.lastSeq
	return ask, true
}

// Wants reports whether NextAsk would ask or a settlement is due, without a change.
func (ps *Purse) Wants(now time.Time) bool {
	if ps.settleNow || len(ps.settle) > 0 {
		return true
	}
	if ps.asking || now.Before(ps.dryUntil) {
		return false
	}
	if len(ps.waiters) > 0 {
		return true
	}
	ahead := ps.ahead(now)
	return ahead >= minAhead && ps.left*2 <= ahead
}

// ahead returns how many tokens recent use is worth in advance.
func (ps *Purse) ahead(now time.Time) int64 {
	if ps.maxAhead < minAhead || now.Before(ps.aheadAfter) {
		return 0
	}
	use := math.Ceil(ps.use.rate(now) * batchSpan.Seconds())
	return min(int64(use), ps.maxAhead)
}

// Granted takes in the answer to the ask and returns the requests that stop waiting.
func (ps *Purse) Granted(now time.Time, epoch uint64, gr Grant) []Release {
	if !ps.asking || gr.ID != ps.askID {
		return nil
	}
	ps.asking = false
	if gr.Amount > 0 {
		lt := purseLot{epoch: epoch, id: gr.ID, left: gr.Amount, askedAt: ps.askedAt, tight: gr.Tight}
		if !lt.expired(now) {
			ps.lots = append(ps.lots, lt)
			ps.left += gr.Amount
		}
	}
	ps.ready(now, !gr.Unready)
	out := append(ps.serve(now), ps.serveStandby(now)...)
	if gr.Dry && ps.asked == 0 {
		ps.aheadAfter = now.Add(batchSpan)
	}
	if gr.Dry && ps.asked > 0 {
		ps.dryUntil = now.Add(gr.Retry)
		out = append(out, ps.refuseAsked(now)...)
	}
	return append(out, ps.Expire(now)...)
}

// ready notes whether there is a leader that holds the row's share.
// Once there is, the requests wait anew.
func (ps *Purse) ready(now time.Time, ready bool) {
	if ps.unready && ready {
		for ix := range ps.waiters {
			ps.waiters[ix].since = now
		}
	}
	if !ps.unready || now.Sub(ps.unreadyAt) > unreadyWait {
		ps.unreadySince = now
	}
	ps.unready, ps.unreadyAt = !ready, now
}

// patient reports whether requests may wait for a leader: for a while after it was first missed.
func (ps *Purse) patient(now time.Time) bool {
	return ps.unready && ps.standby.rate == 0 && now.Sub(ps.unreadySince) < unreadyWait
}

// Expire returns the requests that have waited for too long, as they come faster than the tokens.
// While an ask is on its way there are none.
func (ps *Purse) Expire(now time.Time) []Release {
	if ps.asking {
		return nil
	}
	if ps.patient(now) {
		return nil
	}
	var out []Release
	ps.waiters = slices.DeleteFunc(ps.waiters, func(wt Waiter) bool {
		if now.Sub(wt.since) < maxWait {
			return false
		}
		out = append(out, Release{ID: wt.ID, Unready: ps.unready})
		return true
	})
	return out
}

// serve gives tokens to the requests that wait, the most important first.
func (ps *Purse) serve(now time.Time) []Release {
	var out []Release
	for len(ps.waiters) > 0 && ps.left > 0 && ps.spendOne(now) {
		out = append(out, Release{ID: ps.waiters[0].ID, Granted: true})
		ps.waiters = slices.Delete(ps.waiters, 0, 1)
	}
	return out
}

// refuseAsked refuses the requests that waited when the ask was made;
// none while they may wait for a leader.
func (ps *Purse) refuseAsked(now time.Time) []Release {
	if ps.patient(now) {
		return nil
	}
	var out []Release
	ps.waiters = slices.DeleteFunc(ps.waiters, func(wt Waiter) bool {
		if wt.seq > ps.askedSeq {
			return false
		}
		out = append(out, Release{ID: wt.ID, Unready: ps.unready})
		return true
	})
	return out
}

// Failed takes in that the ask got no answer, and returns the requests that stop waiting.
func (ps *Purse) Failed(now time.Time, id uint64, pause time.Duration) []Release {
	if !ps.asking || id != ps.askID {
		return nil
	}
	ps.asking = false
	ps.ready(now, false)
	ps.dryUntil = now.Add(pause)
	return append(ps.serveStandby(now), ps.refuseAsked(now)...)
}
