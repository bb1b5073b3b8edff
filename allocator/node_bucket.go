package allocator

import (
	"sync"
	"time"
)

// Times of the tokens in a purse.
const (
	// leaseLife is how long a node may spend tokens, from when it asked for them, and how long after its last answered
	// question it takes itself to be in touch with its keeper.
	leaseLife = 2 * time.Second
	// demandSpan is the time over which a node counts how many requests a row gets.
	demandSpan = time.Second
	// roomSpan is the time for whose demand a node takes tokens in advance.
	roomSpan = 150 * time.Millisecond
	// dryFor is how long a keeper's word that it has no more holds.
	dryFor = 100 * time.Millisecond
)

// grounds is what a node knows when it decides on a request of a row. Times are counted from the start of the process.
type grounds struct {
	now         time.Duration
	rate, burst float64 // of the row over the fleet, in tokens a second and tokens
	nodes       float64
	inTouch     bool
}

// verdict is what a purse says to a request.
type verdict uint8

const (
	verdictTaken verdict = iota
	verdictLow           // taken, and what is left will not last
	verdictAsk           // refused unless the keeper has more
	verdictDry           // refused, as the keeper had no more just now
)

// purse holds the tokens that one node has of one row. It is safe for concurrent use; the zero value holds none.
type purse struct {
	mu      sync.Mutex
	demand  window
	tokens  int64
	until   time.Duration // the end of the tokens' life
	spent   int64         // since the last report
	waiting int64         // requests that wait for tokens
	dry     bool          // the keeper had no more
	dryAt   time.Duration
	seen    time.Duration // of the last request

	// emptyUntil is until when the home's word holds that a whole row is spent, comeBack when it told a request to return.
	emptyUntil, comeBack time.Duration

	// standby is what the node fills by itself while it hears no keeper.
	standby   float64
	standbyAt time.Duration
	alone     bool
}

// spend takes a request in if there is a token for it.
func (ps *purse) spend(gr grounds) verdict {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.seen = gr.now
	ps.demand.add(slot(gr.now, demandSpan))
	return ps.take(gr)
}

// again tries once more to take in a request that spend has counted.
func (ps *purse) again(gr grounds) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.take(gr) <= verdictLow
}

// ask counts requests that wait for tokens.
func (ps *purse) ask(more int64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.waiting += more
}

func (ps *purse) take(gr grounds) verdict {
	if !gr.inTouch {
		return ps.takeStandby(gr)
	}
	ps.alone = false
	if ps.tokens > 0 && gr.now < ps.until {
		ps.tokens--
		ps.spent++
		if 2*ps.tokens < room(ps.demand.total(slot(gr.now, demandSpan))) {
			return verdictLow
		}
		return verdictTaken
	}
	if ps.dry && gr.now-ps.dryAt < dryFor {
		return verdictDry
	}
	return verdictAsk
}

// takeStandby spends of the node's equal part, which begins empty when the keeper is lost.
func (ps *purse) takeStandby(gr grounds) verdict {
	if !ps.alone {
		ps.alone, ps.standby, ps.standbyAt = true, 0, gr.now
	}
	most := max(gr.burst/gr.nodes, 1)
	ps.standby = min(ps.standby+gr.rate/gr.nodes*(gr.now-ps.standbyAt).Seconds(), most)
	ps.standbyAt = gr.now
	if ps.standby < 1 {
		return verdictDry
	}
	ps.standby--
	return verdictTaken
}

// emptyFor reports whether a whole row is known to be spent, and in how long to come back.
func (ps *purse) emptyFor(now time.Duration) (time.Duration, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.seen = now
	return max(ps.comeBack-now, drawRetryLeast), now < ps.emptyUntil
}

// setEmpty takes the home's word that a whole row is spent.
func (ps *purse) setEmpty(asked, wait time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.emptyUntil, ps.comeBack = asked+min(wait, dryFor), asked+wait
}

// room returns how many tokens a node takes in advance for a demand.
func room(demand int64) int64 { return demand * int64(roomSpan) / int64(demandSpan) }

// line returns what there is to report of the row; false for one of which the node neither holds nor wants anything.
// Tokens beyond what recent demand needs go back with it.
func (ps *purse) line(now time.Duration) (Line, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if now >= ps.until {
		ps.tokens = 0
	}
	demand := ps.demand.total(slot(now, demandSpan))
	back := max(ps.tokens-room(demand), 0)
	ps.tokens -= back
	ln := Line{Spent: ps.spent, Returned: back, Holds: ps.tokens, Waiting: ps.waiting, Demand: demand}
	ps.spent = 0
	return ln, demand > 0 || ps.waiting > 0 || ln.Spent > 0 || back > 0
}

// put takes in what the keeper gave for a question.
func (ps *purse) put(gr Grant, asked time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.tokens += gr.Amount
	ps.until = asked + leaseLife
	ps.dry, ps.dryAt = gr.Dry, asked
}

// pressure returns by how much the demand exceeds the rate's part of one node, as far as the node can tell.
func (ps *purse) pressure(gr grounds) float64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return float64(ps.demand.total(slot(gr.now, demandSpan))) * gr.nodes / max(gr.rate, 1)
}
