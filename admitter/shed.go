package admitter

import (
	"fmt"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

func (co *Core) start(now time.Duration, rk rank) {
	co.inFlight++
	co.cutOff.admitted(now, rk)
}

// dispatch starts waiting requests while there are slots, the most important first.
func (co *Core) dispatch(now time.Duration) {
	co.sweep(now)
	for co.inFlight < co.limit.now() {
		cl := co.queue.highest()
		if cl == nil {
			return
		}
		wt := cl.next(co.newestFirst(now))
		if refusal := co.stale(now, wt); refusal != nil {
			co.notices = append(co.notices, Notice{ID: wt.id, Decision: Refused{refusal}})
			continue
		}
		co.queue.remove(wt)
		cl.charge(wt.flow)
		co.start(now, cl.rank)
		co.notices = append(co.notices, Notice{ID: wt.id, Decision: Started{}})
	}
}

// sweep refuses what has waited in vain, so that no such request holds a place.
func (co *Core) sweep(now time.Duration) {
	if co.queue.len() == 0 || now-co.swept < sweepEvery {
		return
	}
	co.swept = now
	for wt := co.queue.first; wt != nil; {
		next := wt.after
		if refusal := co.stale(now, wt); refusal != nil {
			co.notices = append(co.notices, Notice{ID: wt.id, Decision: Refused{refusal}})
		}
		wt = next
	}
	co.shrink(now)
}

// stale removes a waiting request that can't finish in time, or that is among the least
// important and has waited too long, and returns its refusal; nil leaves it waiting.
func (co *Core) stale(now time.Duration, wt *waiter) *gypsumhoist.Refusal {
	if co.hopeless(now, wt.deadline, co.needed(wt)) {
		co.queue.remove(wt)
		co.refusals.deadline++
		return co.tooLate()
	}
	if now-wt.arrived >= co.patience(wt) && wt.flow.class == co.queue.lowest() {
		return co.shed(now, wt)
	}
	return nil
}

// shed removes a waiting request for lack of capacity. It must be of the lowest rank in the queue.
func (co *Core) shed(now time.Duration, wt *waiter) *gypsumhoist.Refusal {
	rk := wt.flow.class.rank
	detail := fmt.Sprintf("the upstream is at its limit and the queue holds more important work; waited %v, %d of %d running, %d slots, %d waiting",
		(now - wt.arrived).Round(time.Millisecond), co.inFlight, co.limit.now(), co.limit.slots, co.queue.len())
	co.queue.remove(wt)
	co.cutOff.refused(now, rk)
	if wt.siblings {
		co.joint.waitedInVain()
	}
	co.refusals.overload++
	if wt.arrived < now {
		co.refusals.evicted++
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, co.retryAfter(), detail)
}

// due returns when Expire should look at a waiting request.
func (co *Core) due(wt *waiter) time.Duration {
	at := wt.arrived + co.patience(wt)
	if wt.deadline == 0 {
		return at
	}
	return min(at, wt.deadline-co.needed(wt))
}

// needed returns what a waiting request will take once it is started.
func (co *Core) needed(wt *waiter) time.Duration {
	if wt.untimed {
		return 0
	}
	return co.times.quick(wt.route)
}

// hopeless reports whether a request that needs a time can't be answered by its deadline.
// One that finds nothing in flight takes nothing from anybody, so it is tried in any case.
func (co *Core) hopeless(now, deadline, needed time.Duration) bool {
	if deadline == 0 {
		return false
	}
	if deadline <= now {
		return true
	}
	return co.inFlight > 0 && now+needed >= deadline
}

// wait returns the least time that a request of a rank will wait for those before it.
func (co *Core) wait(rk rank) time.Duration {
	ahead := co.queue.above(rk)
	if ahead == 0 {
		return 0
	}
	return co.times.all.quick * time.Duration(ahead) / time.Duration(co.limit.now())
}

// patience returns how long a request may wait while it is among the least important: at least until the next turn
// of its workspace can have come, or small workspaces would get less than their share.
func (co *Core) patience(wt *waiter) time.Duration {
	longest := co.waitMax()
	if wt.patience > 0 {
		longest = min(wt.patience, longest)
	}
	return max(longest, co.turn(wt.flow))
}

// turn returns the time between two turns of a workspace while all that wait have their share.
func (co *Core) turn(fl *flow) time.Duration {
	shares := fl.class.weights / fl.weight
	return time.Duration(shares * float64(co.times.all.median) / float64(max(co.limit.now(), 1)))
}

func (co *Core) waitMax() time.Duration { return max(waitMax, waitMaxTimes*co.times.all.median) }

// places returns how many requests may wait. An upstream that has become slow has few places:
// a long queue would be served, late, for seconds after the cause has ended, before anything new.
func (co *Core) places() int {
	most := max(queueMin, min(queuePerSlot*co.limit.slots, queueMax))
	if co.times.all.median == 0 {
		return most
	}
	inTime := int(queueTime * time.Duration(co.limit.now()) / co.times.all.median)
	return min(most, max(inTime, co.limit.slots))
}

// shrink refuses the least important until no more wait than may.
func (co *Core) shrink(now time.Duration) {
	for co.queue.len() > co.places() {
		victim := co.queue.lowest().last(co.newestFirst(now))
		co.notices = append(co.notices, Notice{ID: victim.id, Decision: Refused{co.shed(now, victim)}})
	}
}

// newestFirst reports whether the queue has stood for longer than its target and holds more than
// can be served within it. Then the newest are the ones that still have time.
func (co *Core) newestFirst(now time.Duration) bool {
	if co.queue.len() == 0 {
		return false
	}
	target := max(standTarget, co.times.all.median)
	drain := co.times.all.median * time.Duration(co.queue.len()) / time.Duration(max(co.limit.now(), 1))
	return drain > target && now-co.queue.standsSince > target
}

func (co *Core) retryAfter() time.Duration {
	return retryAfterLeast + time.Duration(co.random.Int64N(int64(retryAfterMost-retryAfterLeast)))
}

// jointly counts a call that has siblings and reports whether it is refused with them. It is not while a slot is free, or while
// something less important waits.
func (co *Core) jointly(now time.Duration, rq Request, free bool) bool {
	if rq.Precedence == 0 {
		rq.Precedence = Precedence(co.random.Float64())
	}
	if !co.joint.arrive(now, rq, free) || free {
		return false
	}
	low := co.queue.lowest()
	return low == nil || low.rank >= rankOf(rq.Importance, rq.Depth)
}

// below refuses a call whose siblings are refused too.
func (co *Core) below() *gypsumhoist.Refusal {
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, co.retryAfter(),
		"the upstream can't serve the calls of all requests of this importance, and those of others go first")
}

func (co *Core) tooLate() *gypsumhoist.Refusal {
	return gypsumhoist.NotRun(gypsumhoist.ReasonDeadline, co.retryAfter(),
		"the upstream can't finish the request before its deadline")
}

func (co *Core) noUpstream() *gypsumhoist.Refusal {
	return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, co.retryAfter(),
		"no upstream is announced at this instance")
}
