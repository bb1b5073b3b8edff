package allocator

import (
	"sync"
	"time"
)

// grounds is what a node knows when it decides on a request of a row.
type grounds struct {
	now     time.Duration // since the start of the process
	span    time.Duration
	limit   int64 // of the fleet in a window
	nodes   int64
	inTouch bool
}

// meter counts what one node starts of one row. It is safe for concurrent use.
type meter struct {
	mu     sync.Mutex
	used   window
	demand window
	asking int64 // requests that wait for an allowance
	holds  int64
	room   int64         // of holds, when it was leased, beyond what was used
	dry    bool          // the keeper had no more when it was leased
	until  time.Duration // the end of the lease on holds
	limit  int64         // of the fleet when holds was leased
	leased time.Duration // when the lease was asked for
	seen   time.Duration // of the last request
}

// verdict is what a meter says to a request.
type verdict uint8

const (
	verdictTaken verdict = iota
	verdictLow           // taken, and what is left will not last
	verdictAsk           // refused unless the keeper has more
	verdictDry           // refused, as the keeper had no more just now
)

// spend takes a request in if the allowance has room for it.
func (mt *meter) spend(gr grounds) verdict {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.seen = gr.now
	mt.demand.add(slot(gr.now, gr.span))
	return mt.take(gr)
}

// ask counts requests that wait for an allowance.
func (mt *meter) ask(more int64) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.asking += more
}

// again tries once more to take in a request that spend has counted.
func (mt *meter) again(gr grounds) bool {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return mt.take(gr) <= verdictLow
}

func (mt *meter) take(gr grounds) verdict {
	allowance, leased := mt.allowance(gr)
	at := slot(gr.now, gr.span)
	left := allowance - mt.used.total(at)
	if left <= 0 {
		if leased && mt.dry && gr.now-mt.leased < dryFor {
			return verdictDry
		}
		return verdictAsk
	}
	mt.used.add(at)
	if !leased || mt.room > 1 && 2*(left-1) < mt.room {
		return verdictLow
	}
	return verdictTaken
}

// dryFor is how long a keeper's word that it has no more holds.
const dryFor = 100 * time.Millisecond

// allowance returns how many requests the node may start in a window now.
// A process that began within the window may have started others in an earlier life; its keeper knows of them.
func (mt *meter) allowance(gr grounds) (int64, bool) {
	allowance, leased := standby(gr.limit, gr.nodes), false
	switch {
	case gr.now < mt.until:
		allowance, leased = min(mt.holds, gr.limit), true
		if mt.limit > gr.limit {
			allowance = mt.holds * gr.limit / mt.limit
		}
	case gr.inTouch:
		allowance = idle(gr.limit, gr.nodes)
	}
	if !leased && gr.now < gr.span {
		allowance = int64(float64(allowance) * float64(gr.now) / float64(gr.span))
	}
	return allowance, leased
}

// lease takes an allowance in that was asked for at a time.
func (mt *meter) lease(aw Allowance, limit int64, asked, span time.Duration) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.holds, mt.dry, mt.limit, mt.leased, mt.until = aw.Amount, aw.Dry, limit, asked, asked+leaseLife
	mt.room = aw.Amount - mt.used.total(slot(asked, span))
}

// line returns what the meter has to report; false for a row without requests in the window.
func (mt *meter) line(now, span time.Duration) (Line, bool) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	at := slot(now, span)
	ln := Line{Used: mt.used.total(at), Demand: mt.demand.total(at), Waiting: mt.asking}
	if now < mt.until {
		ln.Holds = mt.holds
	}
	return ln, ln.Used > 0 || ln.Demand > 0
}

// pressure returns by how much the demand exceeds the allowance.
func (mt *meter) pressure(gr grounds) float64 {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	allowance, _ := mt.allowance(gr)
	return float64(mt.demand.total(slot(gr.now, gr.span))) / float64(max(allowance, 1))
}

// standby is what a node may start that hears of no keeper: an equal part, one request at least.
func standby(limit, nodes int64) int64 { return max(limit/max(nodes, 1), min(limit, 1)) }

// idle is what a node may start of a row for which it holds no lease, before it has asked its keeper.
func idle(limit, nodes int64) int64 {
	if limit < idleTimes*nodes {
		return 0
	}
	return 1
}

// idleTimes is how many times the number of nodes a limit must be, for each node to start one request unasked.
const idleTimes = 10
