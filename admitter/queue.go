package admitter

import (
	"math/bits"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// order is the place of a request among those that wait: by importance, then those that would miss their targets by waiting before the
// patient ones, then committed calls, other nested calls, and fresh requests.
type order int

const (
	ordersPerUrgency    = 3
	ordersPerImportance = 2 * ordersPerUrgency
	orderCount          = ordersPerImportance * (int(gypsumhoist.ImportanceMax) + 1)
)

func orderOf(rq CoreRequest) order {
	im := max(gypsumhoist.ImportanceMin, min(rq.Importance, gypsumhoist.ImportanceMax))
	or := order(ordersPerImportance * im)
	if rq.urgent {
		or += ordersPerUrgency
	}
	switch {
	case rq.Depth == 0:
		return or
	case rq.Committed:
		return or + 2
	default:
		return or + 1
	}
}

// queue holds the waiting requests by rank.
type queue struct {
	classes  [orderCount]*class
	occupied [(orderCount + 63) / 64]uint64 // one bit for each class, set if it holds a request
	byID     map[ID]*waiter
	// first and last are the ends of the list of all requests in order of arrival.
	first *waiter
	last  *waiter
	// nonEmptySince is when the queue last became non-empty.
	nonEmptySince time.Duration
}

func newQueue() queue { return queue{byID: map[ID]*waiter{}} }

func (qu *queue) len() int { return len(qu.byID) }

func (qu *queue) add(now time.Duration, wt *waiter, rq CoreRequest) {
	if qu.len() == 0 {
		qu.nonEmptySince = now
	}
	or := orderOf(rq)
	if qu.classes[or] == nil {
		qu.classes[or] = newClass(rankOf(rq.Importance, rq.Depth), or)
	}
	qu.classes[or].add(wt, rq.Workspace, clipWeight(rq.Weight))
	qu.occupied[or/64] |= 1 << (or % 64)
	qu.byID[wt.id] = wt
	wt.prev = qu.last
	if qu.last != nil {
		qu.last.next = wt
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
		qu.occupied[cl.order/64] &^= 1 << (cl.order % 64)
	}
}

func (qu *queue) unlink(wt *waiter) {
	if wt.prev != nil {
		wt.prev.next = wt.next
	} else {
		qu.first = wt.next
	}
	if wt.next != nil {
		wt.next.prev = wt.prev
	} else {
		qu.last = wt.prev
	}
	wt.prev, wt.next = nil, nil
}

// highest returns the highest class that holds a request, nil if the queue is empty.
func (qu *queue) highest() *class {
	for index := len(qu.occupied) - 1; index >= 0; index-- {
		if word := qu.occupied[index]; word != 0 {
			return qu.classes[64*index+63-bits.LeadingZeros64(word)]
		}
	}
	return nil
}

// lowest returns the lowest class that holds a request, nil if the queue is empty.
func (qu *queue) lowest() *class {
	for index, word := range qu.occupied {
		if word != 0 {
			return qu.classes[64*index+bits.TrailingZeros64(word)]
		}
	}
	return nil
}

// above counts the requests that go before those of an order.
func (qu *queue) above(or order) int {
	sum := 0
	for index := len(qu.occupied) - 1; index >= int(or)/64; index-- {
		for word := qu.occupied[index]; word != 0; {
			top := 63 - bits.LeadingZeros64(word)
			if order(64*index+top) <= or {
				return sum
			}
			sum += qu.classes[64*index+top].length
			word &^= 1 << top
		}
	}
	return sum
}

func clipWeight(weight int) int { return max(1, min(weight, weightMax)) }

const weightMax = 1000
