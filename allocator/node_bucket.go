package allocator

import (
	"sync"
	"time"
)

// Timing of the tokens in a node bucket.
const (
	// leaseDuration is how long a node may spend granted tokens, counted from when it sent the report, and how long after its
	// last answered report it relies on its keeper.
	leaseDuration = 2 * time.Second
	// demandWindow is the time over which a node counts the requests of a row.
	demandWindow = time.Second
	// prefetchWindow is the time for whose demand a node holds tokens in advance.
	prefetchWindow = 150 * time.Millisecond
	// emptyHold is how long a node relies on an answer that no tokens are left.
	emptyHold = 100 * time.Millisecond
)

// spendParams are the inputs of the decision on a request of a row. Times are counted from the creation of the allocator.
type spendParams struct {
	now         time.Duration
	rate, burst float64 // fleet-wide limit of the row, in tokens per second and in tokens
	nodes       float64 // of the fleet, estimated
	hasLease    bool
	// assigned is set while a keeper may count the node's share.
	assigned bool
}

// verdict is the decision of a node bucket on a request.
type verdict uint8

const (
	verdictTaken     verdict = iota
	verdictLow               // taken, with less than half of the prefetch amount left
	verdictAskKeeper         // refused unless the keeper has more
	verdictEmpty             // refused: the keeper had no more within emptyHold, or the standby bucket is empty
)

// nodeBucket holds the node's tokens of one row. It is safe for concurrent use; the zero value holds none.
type nodeBucket struct {
	mu            sync.Mutex
	demand        window
	tokens        int64
	expiresAt     time.Duration // when the tokens expire
	spent         int64         // since the last report
	waiting       int64         // requests that wait for a token
	keeperEmpty   bool          // the keeper had no more at keeperEmptyAt
	keeperEmptyAt time.Duration
	lastRequest   time.Duration

	// homeEmptyUntil is until when the home's answer that a centralized row has no tokens is relied on,
	// homeRetryAt when a refused request may retry, according to that answer.
	homeEmptyUntil, homeRetryAt time.Duration

	// standbyTokens is the level of the bucket that the node fills by itself while it has no lease.
	standbyTokens float64
	standbyAt     time.Duration
	standbyActive bool
}

// spend counts a request and takes a token for it if there is one.
func (nb *nodeBucket) spend(sp spendParams) verdict {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	nb.lastRequest = sp.now
	nb.demand.add(slotAt(sp.now, demandWindow))
	return nb.take(sp)
}

// retrySpend tries again to take a token for a request that spend has counted.
func (nb *nodeBucket) retrySpend(sp spendParams) bool {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	return nb.take(sp) <= verdictLow
}

// addWaiting adds to the number of requests that wait for a token.
func (nb *nodeBucket) addWaiting(delta int64) {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	nb.waiting += delta
}

func (nb *nodeBucket) take(sp spendParams) verdict {
	if !sp.hasLease {
		if sp.assigned {
			return verdictEmpty
		}
		return nb.takeStandby(sp)
	}
	nb.standbyActive = false
	if nb.tokens > 0 && sp.now < nb.expiresAt {
		nb.tokens--
		nb.spent++
		if 2*nb.tokens < prefetch(nb.demand.total(slotAt(sp.now, demandWindow))) {
			return verdictLow
		}
		return verdictTaken
	}
	if nb.keeperEmpty && sp.now-nb.keeperEmptyAt < emptyHold {
		return verdictEmpty
	}
	return verdictAskKeeper
}

// takeStandby takes a token from the standby bucket, the node's equal share. It starts empty
// at the first request without a lease.
func (nb *nodeBucket) takeStandby(sp spendParams) verdict {
	if !nb.standbyActive {
		nb.standbyActive, nb.standbyTokens, nb.standbyAt = true, 0, sp.now
	}
	limit := max(sp.burst/sp.nodes, 1)
	nb.standbyTokens = min(nb.standbyTokens+sp.rate/sp.nodes*(sp.now-nb.standbyAt).Seconds(), limit)
	nb.standbyAt = sp.now
	if nb.standbyTokens < 1 {
		return verdictEmpty
	}
	nb.standbyTokens--
	return verdictTaken
}

// homeEmpty returns the time until a retry, and whether a centralized row is known to have no tokens.
func (nb *nodeBucket) homeEmpty(now time.Duration) (time.Duration, bool) {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	nb.lastRequest = now
	return max(nb.homeRetryAt-now, minDrawRetry), now < nb.homeEmptyUntil
}

// setHomeEmpty records the home's answer that a centralized row has no tokens.
func (nb *nodeBucket) setHomeEmpty(sentAt, wait time.Duration) {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	nb.homeEmptyUntil, nb.homeRetryAt = sentAt+min(wait, emptyHold), sentAt+wait
}

// prefetch returns how many tokens a node holds in advance for a demand.
func prefetch(demand int64) int64 { return demand * int64(prefetchWindow) / int64(demandWindow) }

// report returns the report on the row, and false if there is nothing to report.
// Tokens beyond the prefetch amount of the recent demand are returned with it.
func (nb *nodeBucket) report(now time.Duration) (RowReport, bool) {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	if now >= nb.expiresAt {
		nb.tokens = 0
	}
	demand := nb.demand.total(slotAt(now, demandWindow))
	returned := max(nb.tokens-prefetch(demand), 0)
	nb.tokens -= returned
	rr := RowReport{Spent: nb.spent, Returned: returned, Held: nb.tokens, Waiting: nb.waiting, Demand: demand}
	nb.spent = 0
	return rr, demand > 0 || nb.waiting > 0 || rr.Spent > 0 || returned > 0
}

// addGrant adds the tokens that the keeper granted for a report.
func (nb *nodeBucket) addGrant(gr Grant, sentAt time.Duration) {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	nb.tokens += gr.Amount
	nb.expiresAt = sentAt + leaseDuration
	nb.keeperEmpty, nb.keeperEmptyAt = gr.Empty, sentAt
}

// pressure returns the ratio of the node's demand to its equal share of the rate. It is an estimate, as
// the number of nodes is, and takes rates below 1 per second as 1.
func (nb *nodeBucket) pressure(sp spendParams) float64 {
	nb.mu.Lock()
	defer nb.mu.Unlock()
	return float64(nb.demand.total(slotAt(sp.now, demandWindow))) * sp.nodes / max(sp.rate, 1)
}
