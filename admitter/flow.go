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
	probe    bool
	arrived  time.Duration
	deadline time.Duration
	maxWait  time.Duration
	older    *waiter // neighbours in the flow
	newer    *waiter
	prev     *waiter // neighbours in the queue
	next     *waiter
}

// flow holds the waiting requests of one workspace and rank, oldest first.
type flow struct {
	class        *class
	workspace    gypsumhoist.Workspace
	weight       float64
	oldest       *waiter
	newest       *waiter
	length       int
	tag          float64 // virtual time at which the flow's next request is due
	tagIndex     int     // index in class.byTag
	lastTagIndex int     // index in class.byLastTag
}

// lastTag is the virtual time at which the flow's last request is due.
func (fl *flow) lastTag() float64 { return fl.tag + float64(fl.length-1)/fl.weight }

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
// Its flows are served by start-time fair queueing: each start advances a flow's tag by one over
// its weight, and the lowest tag is next. A flow that was empty may catch up by catchUpTurns.
type class struct {
	rank        rank
	order       order
	flows       map[gypsumhoist.Workspace]*flow
	byTag       flowHeap // lowest tag first
	byLastTag   flowHeap // highest last tag first
	virtualTime float64
	totalWeight float64 // of the flows that have a request
	length      int
	idleFlows   int // flows without a request, kept for their tags
}

// catchUpTurns bounds the missed turns that a flow may catch up on after it was empty.
const catchUpTurns = 3

// idleFlowsMax is how many empty flows a class keeps for their tags.
const idleFlowsMax = 256

func newClass(rk rank, or order) *class {
	return &class{
		rank:  rk,
		order: or,
		flows: map[gypsumhoist.Workspace]*flow{},
		byTag: flowHeap{
			less:  func(fa, fb *flow) bool { return fa.tag < fb.tag },
			index: func(fl *flow) *int { return &fl.tagIndex },
		},
		byLastTag: flowHeap{
			less:  func(fa, fb *flow) bool { return fa.lastTag() > fb.lastTag() },
			index: func(fl *flow) *int { return &fl.lastTagIndex },
		},
	}
}

func (cl *class) add(wt *waiter, ws gypsumhoist.Workspace, weight int) {
	fl, ok := cl.flows[ws]
	if !ok {
		fl = &flow{class: cl, workspace: ws}
		cl.flows[ws] = fl
		cl.idleFlows++
	}
	before := fl.weight
	fl.weight = float64(weight)
	fl.append(wt)
	cl.length++
	cl.totalWeight += fl.weight
	if fl.length > 1 {
		cl.totalWeight -= before
		cl.byLastTag.fix(fl)
		return
	}
	cl.idleFlows--
	fl.tag = math.Max(fl.tag, cl.virtualTime-catchUpTurns/fl.weight)
	cl.byTag.push(fl)
	cl.byLastTag.push(fl)
}

// next returns the request to be started next.
func (cl *class) next(newestFirst bool) *waiter {
	return endOf(cl.byTag.top(), newestFirst)
}

// charge advances the virtual time for a request of a flow that has been started.
func (cl *class) charge(fl *flow) {
	cl.virtualTime = math.Max(cl.virtualTime, fl.tag)
	fl.tag += 1 / fl.weight
	if fl.length > 0 {
		cl.byTag.fix(fl)
		cl.byLastTag.fix(fl)
	}
}

// victim returns the request to be evicted if one must be: of the flow with the highest last tag
// the one that would be started last.
func (cl *class) victim(newestFirst bool) *waiter {
	return endOf(cl.byLastTag.top(), !newestFirst)
}

func endOf(fl *flow, newest bool) *waiter {
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
		cl.byLastTag.fix(fl)
		return
	}
	cl.totalWeight -= fl.weight
	cl.byTag.remove(fl)
	cl.byLastTag.remove(fl)
	cl.idleFlows++
	if cl.idleFlows > idleFlowsMax {
		cl.dropIdle()
	}
}

// dropIdle deletes the empty flows whose tags no longer matter, and all empty ones if that doesn't suffice.
func (cl *class) dropIdle() {
	for _, all := range []bool{false, true} {
		for ws, fl := range cl.flows {
			if fl.length == 0 && (all || fl.tag <= cl.virtualTime) {
				delete(cl.flows, ws)
				cl.idleFlows--
			}
		}
		if cl.idleFlows <= idleFlowsMax/2 {
			return
		}
	}
}
