package admitter

import (
	"fmt"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

func (co *Core) start(now time.Duration, rk rank) {
	co.inFlight++
	co.pace.start(now)
	co.cutOff.admitted(now, rk)
}

// mayStart reports whether another request may be started, by the slots and by the rate limit.
func (co *Core) mayStart(now time.Duration) bool {
	return co.inFlight < co.limit.current() && co.pace.next(now) <= now
}

// concurrency returns how many requests can run at a time, by the slots and by the rate limit.
func (co *Core) concurrency() int {
	return co.pace.concurrency(co.limit.current(), co.times.all.median)
}

// dispatch starts waiting requests while there are free slots, the most important first.
func (co *Core) dispatch(now time.Duration) {
	co.sweep(now)
	for co.mayStart(now) {
		cl := co.queue.highest()
		if cl == nil {
			return
		}
		wt := cl.next(co.newestFirst(now))
		if refusal := co.removeStale(now, wt); refusal != nil {
			co.notices = append(co.notices, Notice{ID: wt.id, Decision: Refused{refusal}})
			continue
		}
		co.queue.remove(wt)
		cl.charge(wt.flow)
		co.start(now, cl.rank)
		co.notices = append(co.notices, Notice{ID: wt.id, Decision: Started{}})
	}
}

// sweep refuses the stale requests, so that they take no room in the queue.
func (co *Core) sweep(now time.Duration) {
	if co.queue.len() == 0 || now-co.sweptAt < sweepInterval {
		return
	}
	co.sweptAt = now
	for wt := co.queue.first; wt != nil; {
		next := wt.next
		if refusal := co.removeStale(now, wt); refusal != nil {
			co.notices = append(co.notices, Notice{ID: wt.id, Decision: Refused{refusal}})
		}
		wt = next
	}
	co.trim(now)
}

// removeStale removes a waiting request that would miss its deadline, or that is among the least
// important and has waited too long, and returns its refusal; nil leaves it waiting.
func (co *Core) removeStale(now time.Duration, wt *waiter) *gypsumhoist.Refusal {
	if co.missesDeadline(now, wt.deadline, co.estimate(wt)) {
		co.queue.remove(wt)
		co.refusals.deadline++
		return co.tooLate()
	}
	if now-wt.arrived >= co.maxWait(wt) && wt.flow.class == co.queue.lowest() {
		return co.shed(now, wt)
	}
	return nil
}

// shed removes a waiting request for lack of capacity. It must be of the lowest rank in the queue.
func (co *Core) shed(now time.Duration, wt *waiter) *gypsumhoist.Refusal {
	rk := wt.flow.class.rank
	detail := fmt.Sprintf("the upstream is at its limit and the queue holds more important work; waited %v, %d of %d running, %d slots, %d waiting, rate limit %v",
		(now - wt.arrived).Round(time.Millisecond), co.inFlight, co.limit.current(), co.limit.slots, co.queue.len(), co.pace.effective())
	co.queue.remove(wt)
	co.cutOff.refused(now, rk)
	if wt.siblings {
		co.joint.countShed()
	}
	co.refusals.overload++
	if wt.arrived < now {
		co.refusals.evicted++
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, co.retryAfter(), detail)
}

// expiresAt returns when Expire is due for a waiting request.
func (co *Core) expiresAt(wt *waiter) time.Duration {
	at := wt.arrived + co.maxWait(wt)
	if wt.deadline == 0 {
		return at
	}
	return min(at, wt.deadline-co.estimate(wt))
}

// estimate returns the service time that a waiting request needs, by the low quantile of its route; zero for a probe.
func (co *Core) estimate(wt *waiter) time.Duration {
	if wt.probe {
		return 0
	}
	return co.times.low(wt.route)
}

// missesDeadline reports whether a request that needs a time can't finish before its deadline.
// While nothing is in flight, a request is tried up to its deadline, as it takes no slot from another.
func (co *Core) missesDeadline(now, deadline, needed time.Duration) bool {
	if deadline == 0 {
		return false
	}
	if deadline <= now {
		return true
	}
	return co.inFlight > 0 && now+needed >= deadline
}

// queueDelay returns the least time that a request of an order waits for those before it.
func (co *Core) queueDelay(or order) time.Duration {
	ahead := co.queue.above(or)
	if ahead == 0 {
		return 0
	}
	return co.times.all.low * time.Duration(ahead) / time.Duration(max(co.concurrency(), 1))
}

// maxWait returns how long a request may wait while it is among the least important: at least until the next turn
// of its workspace can have come, or small workspaces would get less than their share.
func (co *Core) maxWait(wt *waiter) time.Duration {
	longest := co.waitLimit()
	if wt.maxWait > 0 {
		longest = min(wt.maxWait, longest)
	}
	return max(longest, co.turnInterval(wt.flow))
}

// turnInterval returns the time between two turns of a workspace while all waiting workspaces get their shares.
func (co *Core) turnInterval(fl *flow) time.Duration {
	shares := fl.class.totalWeight / fl.weight
	return time.Duration(shares * float64(co.times.all.median) / float64(max(co.concurrency(), 1)))
}

func (co *Core) waitLimit() time.Duration {
	return max(minWaitLimit, waitLimitServiceTimes*co.times.all.median)
}

// queueCapacity returns how many requests may wait. It is small for an upstream that has become slow: a long queue would
// delay new requests for seconds after the cause has ended, as its late requests would be served first.
func (co *Core) queueCapacity() int {
	most := max(queueMin, min(queuePerSlot*co.limit.slots, queueMax))
	if co.times.all.median == 0 {
		return most
	}
	inTime := int(queueDrainMax * time.Duration(co.concurrency()) / co.times.all.median)
	return min(most, max(inTime, co.limit.slots))
}

// trim refuses the least important requests beyond the capacity of the queue.
func (co *Core) trim(now time.Duration) {
	for co.queue.len() > co.queueCapacity() {
		victim := co.queue.lowest().victim(co.newestFirst(now))
		co.notices = append(co.notices, Notice{ID: victim.id, Decision: Refused{co.shed(now, victim)}})
	}
}

// newestFirst reports whether the queue has been non-empty for longer than its target and needs longer than
// that to drain. Then it is served newest first, as the newest requests still have time until their deadlines.
func (co *Core) newestFirst(now time.Duration) bool {
	if co.queue.len() == 0 {
		return false
	}
	target := max(queueDelayTarget, co.times.all.median)
	drain := co.times.all.median * time.Duration(co.queue.len()) / time.Duration(max(co.concurrency(), 1))
	return drain > target && now-co.queue.nonEmptySince > target
}

func (co *Core) retryAfter() time.Duration {
	return minRetryAfter + time.Duration(co.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
}

// refusedJointly counts a call with siblings and reports whether it is refused together with them. It isn't while a slot is
// free or a less important request waits.
func (co *Core) refusedJointly(now time.Duration, rq CoreRequest, free bool) bool {
	if rq.Precedence == 0 {
		rq.Precedence = Precedence(co.random.Float64())
	}
	if !co.joint.arrive(now, rq, free) || free {
		return false
	}
	low := co.queue.lowest()
	return low == nil || low.rank >= rankOf(rq.Importance, rq.Depth)
}

// siblingsRefused returns the refusal of a call whose siblings are refused too.
func (co *Core) siblingsRefused() *gypsumhoist.Refusal {
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
