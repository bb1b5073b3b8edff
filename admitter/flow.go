package admitter

import (
	"math"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// waiter is one request in the queue.
type waiter struct {
	id       ID
	flow     *flow
	route    string
	siblings bool
	untimed  bool
	arrived  time.Duration
	deadline time.Duration
	patience time.Duration
	older    *waiter // neighbours in the flow
	newer    *waiter
	before   *waiter // neighbours in the queue
	after    *waiter
}

// flow holds the waiting requests of one workspace and rank, oldest first.
type flow struct {
	class     *class
	workspace gypsumhoist.Workspace
	weight    float64
	oldest    *waiter
	newest    *waiter
	length    int
	tag       float64 // virtual time at which the flow's next request is due
	turnAt    int     // place in class.turns
	lastAt    int     // place in class.lasts
}

// lastTurn is the virtual time at which the flow's last request is due.
func (fl *flow) lastTurn() float64 { return fl.tag + float64(fl.length-1)/fl.weight }

func (fl *flow) append(wt *waiter) {
	wt.flow = fl
	wt.older = fl.newest
	if fl.newest != nil {
		fl.newest.newer = wt
	} else {
		fl.oldest = wt
	}
	fl.newest = wt
	fl.length++
}

func (fl *flow) unlink(wt *waiter) {
	if wt.older != nil {
		wt.older.newer = wt.newer
	} else {
		fl.oldest = wt.newer
	}
	if wt.newer != nil {
		wt.newer.older = wt.older
	} else {
		fl.newest = wt.older
	}
	wt.older, wt.newer = nil, nil
	fl.length--
}

// class holds the waiting requests of one rank, in one flow per workspace.
// Its flows take turns by start-time fair queueing: each turn moves a flow's tag on by one over
// its weight, and the lowest tag is next. A flow that was empty has turnsInHand at most.
type class struct {
	rank    rank
	flows   map[gypsumhoist.Workspace]*flow
	turns   flowHeap // lowest tag first
	lasts   flowHeap // latest last turn first
	virtual float64
	weights float64 // of the flows that wait
	length  int
	idle    int // flows without a request, kept for their tags
}

// turnsInHand is how many turns a flow keeps that it did not take while it was empty.
const turnsInHand = 3

// idleFlowsMax is how many empty flows a class keeps so that their tags aren't forgotten.
const idleFlowsMax = 256

func newClass(rk rank) *class {
	return &class{
		rank:  rk,
		flows: map[gypsumhoist.Workspace]*flow{},
		turns: flowHeap{
			less:  func(fa, fb *flow) bool { return fa.tag < fb.tag },
			place: func(fl *flow) *int { return &fl.turnAt },
		},
		lasts: flowHeap{
			less:  func(fa, fb *flow) bool { return fa.lastTurn() > fb.lastTurn() },
			place: func(fl *flow) *int { return &fl.lastAt },
		},
	}
}

func (cl *class) add(wt *waiter, ws gypsumhoist.Workspace, weight int) {
	fl, ok := cl.flows[ws]
	if !ok {
		fl = &flow{class: cl, workspace: ws}
		cl.flows[ws] = fl
		cl.idle++
	}
	before := fl.weight
	fl.weight = float64(weight)
	fl.append(wt)
	cl.length++
	cl.weights += fl.weight
	if fl.length > 1 {
		cl.weights -= before
		cl.lasts.fix(fl)
		return
	}
	cl.idle--
	fl.tag = math.Max(fl.tag, cl.virtual-turnsInHand/fl.weight)
	cl.turns.push(fl)
	cl.lasts.push(fl)
}

// next returns the request whose turn it is.
func (cl *class) next(newestFirst bool) *waiter {
	return end(cl.turns.top(), newestFirst)
}

// charge moves the virtual time on for a request that has been started.
func (cl *class) charge(fl *flow) {
	cl.virtual = math.Max(cl.virtual, fl.tag)
	fl.tag += 1 / fl.weight
	if fl.length > 0 {
		cl.turns.fix(fl)
		cl.lasts.fix(fl)
	}
}

// last returns the request that is to go first when one must: of the flow whose last turn is the latest
// the one that would be started last.
func (cl *class) last(newestFirst bool) *waiter {
	return end(cl.lasts.top(), !newestFirst)
}

func end(fl *flow, newest bool) *waiter {
	if newest {
		return fl.newest
	}
	return fl.oldest
}

func (cl *class) remove(wt *waiter) {
	fl := wt.flow
	fl.unlink(wt)
	cl.length--
	if fl.length > 0 {
		cl.lasts.fix(fl)
		return
	}
	cl.weights -= fl.weight
	cl.turns.remove(fl)
	cl.lasts.remove(fl)
	cl.idle++
	if cl.idle > idleFlowsMax {
		cl.forget()
	}
}

// forget drops the empty flows whose tags no longer matter, and all if that doesn't suffice.
func (cl *class) forget() {
	for _, all := range []bool{false, true} {
		for ws, fl := range cl.flows {
			if fl.length == 0 && (all || fl.tag <= cl.virtual) {
				delete(cl.flows, ws)
				cl.idle--
			}
		}
		if cl.idle <= idleFlowsMax/2 {
			return
		}
	}
}
