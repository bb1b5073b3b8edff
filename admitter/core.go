package admitter

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// ID names a request between a Core and its caller.
type ID uint64

// Request is a request for a slot. Times are counted from any fixed start.
type Request struct {
	Workspace  gypsumhoist.Workspace
	Route      string
	Weight     int
	Importance gypsumhoist.Importance
	Depth      int
	// Deadline is when the whole answer is due; zero means no deadline.
	Deadline time.Duration
	// Precedence orders it among requests of its importance and depth; zero for one by lot.
	Precedence Precedence
	// Siblings tells that the request makes other calls too, and is lost with the first that is refused.
	Siblings bool
	// Patience is how long the request may wait while it is among the least important; zero for waitMax.
	Patience time.Duration

	untimed bool // it runs whatever the estimate of its route says
}

// Decision is what a Core says about a request: Started, Waiting or Refused.
type Decision interface{ decision() }

// Started means that the request holds a slot, until Done.
type Started struct{}

// Waiting means that the request is in the queue. Until tells when Expire is due.
type Waiting struct{ Until time.Duration }

// Refused means that the request won't run.
type Refused struct{ Refusal *gypsumhoist.Refusal }

func (Started) decision() {}
func (Waiting) decision() {}
func (Refused) decision() {}

// Notice is a decision about a request that has waited.
type Notice struct {
	ID       ID
	Decision Decision
}

// Constants of the queue.
const (
	queuePerSlot    = 4                      // places in the queue for each slot
	queueMin        = 64                     // places in the queue at least
	queueMax        = 4096                   // places in the queue at most
	queueTime       = time.Second            // the queue holds no more than can be served within it, but one place for each slot
	standTarget     = 100 * time.Millisecond // a queue that stands longer serves newest first; at least one service time
	waitMax         = 500 * time.Millisecond // the least important wait no longer, or waitMaxTimes service times
	waitMaxTimes    = 2
	sweepEvery      = 50 * time.Millisecond
	retryAfterLeast = 500 * time.Millisecond  // least RetryAfter of a refusal
	retryAfterMost  = 1500 * time.Millisecond // most
)

// Core is the admission state of one upstream, without clock or goroutine.
// It is for one goroutine at a time. The zero value is not usable; call NewCore.
type Core struct {
	limit    limit
	times    serviceTimes
	cutOff   cutOff
	joint    joint
	queue    queue
	random   *rand.Rand
	inFlight int
	lastID   ID
	swept    time.Duration
	notices  []Notice
	refusals refusalCount
}

// refusalCount counts refusals by reason, those of calls with siblings on arrival, and what was evicted out of the queue.
type refusalCount struct {
	joint    uint64
	overload uint64
	deadline uint64
	evicted  uint64
}

// NewCore returns the state for an upstream with a number of slots and nothing in flight.
// Random spreads the RetryAfter of refusals.
func NewCore(slots int, random *rand.Rand) *Core {
	return &Core{
		limit:  newLimit(max(slots, 0)),
		times:  serviceTimes{byRoute: map[string]*serviceTime{}},
		cutOff: newCutOff(),
		queue:  newQueue(),
		random: random,
	}
}

// Arrive takes a request and returns what becomes of it for now.
// The decisions about others that it brings about are for Notices.
func (co *Core) Arrive(now time.Duration, rq Request) (ID, Decision) {
	co.lastID++
	id := co.lastID
	rk := rankOf(rq.Importance, rq.Depth)
	if co.limit.slots == 0 {
		return id, Refused{co.noUpstream()}
	}
	free := co.queue.len() == 0 && co.inFlight < co.limit.now()
	if rq.Siblings && co.jointly(now, rq, free) {
		co.cutOff.refused(now, rk)
		co.refusals.overload++
		co.refusals.joint++
		return id, Refused{co.below()}
	}
	// A slot that nobody waits for is refused only to what can't possibly finish.
	needed := co.times.least(rq.Route)
	if !free {
		needed = co.times.quick(rq.Route) + co.wait(rk)
	}
	if co.hopeless(now, rq.Deadline, needed) {
		if rq.Deadline <= now || !co.times.trial(now, rq.Route) {
			co.refusals.deadline++
			return id, Refused{co.tooLate()}
		}
		rq.untimed = true
	}
	if free {
		co.start(now, rk)
		return id, Started{}
	}
	return id, co.enqueue(now, id, rq)
}

func (co *Core) enqueue(now time.Duration, id ID, rq Request) Decision {
	wt := &waiter{id: id, route: rq.Route, siblings: rq.Siblings, untimed: rq.untimed, arrived: now, deadline: rq.Deadline, patience: rq.Patience}
	co.queue.add(now, wt, rq)
	// Only now, so that what is refused for its age never ranks above the new request.
	co.sweep(now)
	if co.queue.len() > co.places() {
		victim := co.queue.lowest().last(co.newestFirst(now))
		refusal := co.shed(now, victim)
		if victim == wt {
			return Refused{refusal}
		}
		co.notices = append(co.notices, Notice{ID: victim.id, Decision: Refused{refusal}})
	}
	return Waiting{Until: co.due(wt)}
}

// Done gives back the slot of a request of a route that was started and took a time.
func (co *Core) Done(now, took time.Duration, route string, oc Outcome) {
	switch oc {
	case OutcomeAnswered:
		co.times.sample(now, route, took)
		co.limit.sample(now, took, co.inFlight)
	case OutcomeAbandoned:
		co.times.atLeast(now, route, took)
	case OutcomeOverloaded:
		co.limit.overloaded(now)
	case OutcomeFailed, OutcomeUnused:
	}
	co.inFlight--
	co.dispatch(now)
}

// GiveUp takes a request out of the queue whose caller has gone.
// It reports false for one that doesn't wait any more.
func (co *Core) GiveUp(id ID) bool {
	wt, ok := co.queue.byID[id]
	if ok {
		co.queue.remove(wt)
	}
	return ok
}

// Expire looks at a waiting request whose time has come, and returns what becomes of it.
// It returns nil for one that doesn't wait any more.
func (co *Core) Expire(now time.Duration, id ID) Decision {
	wt, ok := co.queue.byID[id]
	if !ok {
		return nil
	}
	if refusal := co.stale(now, wt); refusal != nil {
		return Refused{refusal}
	}
	return Waiting{Until: max(co.due(wt), now+sweepEvery)}
}

// SetSlots takes what the upstream announces; zero or less means that there is no upstream.
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

// Notices returns the decisions about waiting requests since the last call.
// The slice is valid until the next call of any method.
func (co *Core) Notices() []Notice {
	out := co.notices
	co.notices = co.notices[:0]
	return out
}

// Load returns the present state.
func (co *Core) Load(now time.Duration) Load {
	return Load{
		InFlight:    co.inFlight,
		Waiting:     co.queue.len(),
		Limit:       co.limit.now(),
		Slots:       co.limit.slots,
		CutOff:      co.cutOff.value(now),
		JointLevel:  float64(co.joint.at(now)),
		ServiceTime: co.times.all.median,
	}
}
