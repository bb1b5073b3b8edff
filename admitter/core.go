package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// ID identifies a request between a Core and its caller.
type ID uint64

// CoreRequest is a request to a Core for a slot. Times are counted from any fixed start.
type CoreRequest struct {
	Workspace  gypsumhoist.Workspace
	Route      string
	Weight     int
	Importance gypsumhoist.Importance
	Depth      int
	// Deadline is when the complete answer is due; zero means no deadline.
	Deadline time.Duration
	// Precedence orders it among requests of its importance and depth; zero draws one at random.
	Precedence Precedence
	// Siblings reports that this is one of several calls of a request, which fails with the first of them that is refused.
	Siblings bool
	// Committed reports that an earlier call of its request was answered, whose work is lost if this one is refused.
	Committed bool
	// MaxWait limits how long the request may wait while it is among the least important; zero leaves that to the core.
	MaxWait time.Duration
	// LoadReported reports that upstreams of the service report their load; it allows trials with some slots free.
	LoadReported bool

	// Target is when the answer is due for its request to meet its target, if waiting could make it miss that; zero for patient requests.
	Target time.Duration

	urgent bool // Target is known and can be met
	probe  bool // it runs against the estimate of its route, to refresh it
}

// Decision is what a Core decides about a request: Started, Waiting or Refused.
type Decision interface{ decision() }

// Started means that the request holds a slot until Done.
type Started struct{}

// Waiting means that the request is in the queue. Until is when Expire is due.
type Waiting struct{ Until time.Duration }

// Refused means that the request won't run.
type Refused struct{ Refusal *gypsumhoist.Refusal }

func (Started) decision() {}
func (Waiting) decision() {}
func (Refused) decision() {}

// Notice is a decision about a waiting request.
type Notice struct {
	ID       ID
	Decision Decision
}

const (
	queuePerSlot          = 4                      // queue capacity per slot
	queueMin              = 64                     // lower bound of the capacity by slots
	queueMax              = 4096                   // upper bound of it
	queueDrainMax         = time.Second            // bounds the queue to what is served within it, but to no less than one request per slot
	queueDelayTarget      = 100 * time.Millisecond // or one service time if longer; see newestFirst
	minWaitLimit          = 500 * time.Millisecond // maximum wait of the least important, or waitLimitServiceTimes if longer
	waitLimitServiceTimes = 2
	sweepInterval         = 50 * time.Millisecond
	minRetryAfter         = 500 * time.Millisecond
	maxRetryAfter         = 1500 * time.Millisecond
)

// Core is the admission state of one upstream, without a clock or goroutines.
// It is not safe for concurrent use. The zero value is not usable; call NewCore.
type Core struct {
	limit    limit
	pace     pace
	times    serviceTimes
	cutOff   cutOff
	joint    jointRefusal
	queue    queue
	random   *rand.Rand
	inFlight int
	lastID   ID
	sweptAt  time.Duration
	notices  []Notice
	refusals refusalCount
	// committed and urgent count the calls that arrived and go before others of their importance.
	committed, urgent uint64
}

// refusalCount counts refusals. Those for overload include the joint refusals and the requests evicted from the queue.
type refusalCount struct {
	joint    uint64
	overload uint64
	deadline uint64
	evicted  uint64
}

// NewCore returns the state for an upstream with a number of slots and nothing in flight.
// Random is for the jitter of RetryAfter and for precedences.
func NewCore(slots int, random *rand.Rand) *Core {
	return &Core{
		limit:  newLimit(max(slots, 0)),
		times:  serviceTimes{byRoute: map[string]*serviceTime{}},
		cutOff: newCutOff(),
		queue:  newQueue(),
		random: random,
	}
}

// Arrive adds a request and returns the decision about it.
// Decisions about other requests that follow from it are returned by Notices.
func (co *Core) Arrive(now time.Duration, rq CoreRequest) (ID, Decision) {
	co.lastID++
	id := co.lastID
	rk := rankOf(rq.Importance, rq.Depth)
	if co.limit.slots == 0 {
		return id, Refused{co.noUpstream()}
	}
	if rq.LoadReported {
		co.limit.knee.enable(now)
	}
	if rq.Committed {
		co.committed++
	}
	rq.urgent = rq.Target > now+co.times.low(rq.Route)
	if rq.urgent {
		co.urgent++
	}
	free := co.queue.len() == 0 && co.mayStart(now)
	if rq.Siblings && co.refusedJointly(now, rq, free) {
		co.cutOff.refused(now, rk)
		co.refusals.overload++
		co.refusals.joint++
		return id, Refused{co.siblingsRefused()}
	}
	// A free slot is refused only if the request would miss its deadline at the shortest service time.
	needed := co.times.shortest(rq.Route)
	if !free {
		needed = co.times.low(rq.Route) + co.queueDelay(orderOf(rq))
	}
	if co.missesDeadline(now, rq.Deadline, needed) {
		if rq.Deadline <= now || !co.times.probe(now, rq.Route) {
			co.refusals.deadline++
			return id, Refused{co.tooLate()}
		}
		rq.probe = true
	}
	if free {
		co.start(now, rk)
		return id, Started{}
	}
	return id, co.enqueue(now, id, rq)
}

func (co *Core) enqueue(now time.Duration, id ID, rq CoreRequest) Decision {
	wt := &waiter{id: id, route: rq.Route, siblings: rq.Siblings, probe: rq.probe, arrived: now, deadline: rq.Deadline, maxWait: rq.MaxWait}
	co.queue.add(now, wt, rq)
	// Sweep only after adding the new request, so that no request that is refused for its age ranks above it.
	co.sweep(now)
	if co.queue.len() > co.queueCapacity() {
		victim := co.queue.lowest().victim(co.newestFirst(now))
		refusal := co.shed(now, victim)
		if victim == wt {
			return Refused{refusal}
		}
		co.notices = append(co.notices, Notice{ID: victim.id, Decision: Refused{refusal}})
	}
	return Waiting{Until: co.expiresAt(wt)}
}

// Done releases the slot of a started request of a route, which took a time.
func (co *Core) Done(now, took time.Duration, route string, oc Outcome) {
	switch oc {
	case OutcomeAnswered:
		co.times.sample(now, route, took)
		co.limit.sample(now, took, co.inFlight)
		co.limit.sampleKnee(now, route, took, co.inFlight, co.times.all.median)
	case OutcomeAbandoned:
		co.times.sampleAtLeast(now, route, took)
	case OutcomeOverloaded:
		co.limit.upstreamRefused(now)
	case OutcomeFailed, OutcomeUnused:
	}
	co.inFlight--
	co.dispatch(now)
}

// Cancel removes a request from the queue whose caller has gone.
// It reports false for one that no longer waits.
func (co *Core) Cancel(id ID) bool {
	wt, ok := co.queue.byID[id]
	if ok {
		co.queue.remove(wt)
	}
	return ok
}

// Expire checks a waiting request whose Until has come, and returns the decision about it.
// It returns nil for one that no longer waits.
func (co *Core) Expire(now time.Duration, id ID) Decision {
	wt, ok := co.queue.byID[id]
	if !ok {
		return nil
	}
	if refusal := co.removeStale(now, wt); refusal != nil {
		return Refused{refusal}
	}
	return Waiting{Until: max(co.expiresAt(wt), now+sweepInterval)}
}

// SetSlots sets the number of slots that the upstream announces; zero or less means that there is no upstream.
func (co *Core) SetSlots(now time.Duration, slots int) {
	co.limit.setSlots(max(slots, 0))
	if co.limit.slots > 0 {
		co.dispatch(now)
		return
	}
	for wt := co.queue.first; wt != nil; wt = co.queue.first {
		co.queue.remove(wt)
		co.notices = append(co.notices, Notice{ID: wt.id, Decision: Refused{co.noUpstream()}})
	}
}

// SetRateLimit sets the rate limit that the upstream names, and reports whether it has changed. A limit from a peer counts only
// while nothing is known.
func (co *Core) SetRateLimit(now time.Duration, limit gypsumhoist.RateLimit, source RateLimitSource) bool {
	changed := false
	switch source {
	case RateLimitFromAnswer:
		changed = co.pace.named(now, limit)
	case RateLimitFromPeer:
		changed = !co.pace.limit.Known() && co.pace.set(now, limit)
	case RateLimitForgotten:
		changed = co.pace.set(now, gypsumhoist.RateLimit{})
		co.pace.confirmed = false
	}
	if changed {
		co.dispatch(now)
	}
	return changed
}

// SetColdLimit sets how many requests per second are started while the upstream is cold, and reports whether that has changed.
// The zero value ends the limit. It applies besides the rate limit that the upstream names.
func (co *Core) SetColdLimit(now time.Duration, limit gypsumhoist.RateLimit) bool {
	changed := co.pace.setCold(now, limit)
	if changed {
		co.dispatch(now)
	}
	return changed
}

// Resume starts waiting requests whose time has come under the rate limit.
func (co *Core) Resume(now time.Duration) { co.dispatch(now) }

// NextStart returns when Resume is due; zero if only the end of a request can start another one.
func (co *Core) NextStart(now time.Duration) time.Duration {
	if !co.pace.effective().Limited() || co.queue.len() == 0 || co.inFlight >= co.limit.current() {
		return 0
	}
	return co.pace.next(now)
}

// Notices returns the decisions about waiting requests since the last call.
// The slice is valid until the next call of any method.
func (co *Core) Notices() []Notice {
	out := co.notices
	co.notices = co.notices[:0]
	return out
}

// Load returns the current state.
func (co *Core) Load(now time.Duration) Load {
	return Load{
		InFlight:    co.inFlight,
		Waiting:     co.queue.len(),
		Limit:       co.concurrency(),
		Slots:       co.limit.slots,
		RateLimit:   co.pace.limit,
		CutOff:      co.cutOff.value(now),
		JointLevel:  float64(co.joint.levelAt(now)),
		ServiceTime: co.times.all.median,
	}
}
