package admitter

import (
	"math/bits"
	"time"
)

// queue holds the waiting requests by rank.
type queue struct {
	classes  [ranks]*class
	occupied [(ranks + 63) / 64]uint64 // a bit for each class that holds a request
	byID     map[ID]*waiter
	// first and last are the ends of the list of all requests by arrival.
	first *waiter
	last  *waiter
	// standsSince is when the queue last became non-empty.
	standsSince time.Duration
}

func newQueue() queue { return queue{byID: map[ID]*waiter{}} }

func (qu *queue) len() int { return len(qu.byID) }

func (qu *queue) add(now time.Duration, wt *waiter, rq Request) {
	if qu.len() == 0 {
		qu.standsSince = now
	}
	rk := rankOf(rq.Importance, rq.Depth)
	if qu.classes[rk] == nil {
		qu.classes[rk] = newClass(rk)
	}
	qu.classes[rk].add(wt, rq.Workspace, clipWeight(rq.Weight))
	qu.occupied[rk/64] |= 1 << (rk % 64)
	qu.byID[wt.id] = wt
	wt.before = qu.last
	if qu.last != nil {
		qu.last.after = wt
	} else {
		qu.first = wt
	}
	qu.last = wt
}

func (qu *queue) remove(wt *waiter) {
	cl := wt.flow.class
	cl.remove(wt)
	delete(qu.byID, wt.id)
	qu.unlink(wt)
	if cl.length == 0 {
		qu.occupied[cl.rank/64] &^= 1 << (cl.rank % 64)
	}
}

func (qu *queue) unlink(wt *waiter) {
	if wt.before != nil {
		wt.before.after = wt.after
	} else {
		qu.first = wt.after
	}
	if wt.after != nil {
		wt.after.before = wt.before
	} else {
		qu.last = wt.before
	}
	wt.before, wt.after = nil, nil
}

// highest returns the highest class that holds a request, nil if the queue is empty.
func (qu *queue) highest() *class {
	for at := len(qu.occupied) - 1; at >= 0; at-- {
		if word := qu.occupied[at]; word != 0 {
			return qu.classes[64*at+63-bits.LeadingZeros64(word)]
		}
	}
	return nil
}

// lowest returns the lowest class that holds a request, nil if the queue is empty.
func (qu *queue) lowest() *class {
	for at, word := range qu.occupied {
		if word != 0 {
			return qu.classes[64*at+bits.TrailingZeros64(word)]
		}
	}
	return nil
}

// above counts the requests of higher rank.
func (qu *queue) above(rk rank) int {
	sum := 0
	for at := len(qu.occupied) - 1; at >= int(rk)/64; at-- {
		for word := qu.occupied[at]; word != 0; {
			top := 63 - bits.LeadingZeros64(word)
			if rank(64*at+top) <= rk {
				return sum
			}
			sum += qu.classes[64*at+top].length
			word &^= 1 << top
		}
	}
	return sum
}

func clipWeight(weight int) int { return max(1, min(weight, weightMax)) }

const weightMax = 1000
