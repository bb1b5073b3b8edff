package limiter

import (
	"cmp"
	"slices"
	"time"
)

// Take handles a node's token request. The answer is a GrantEffect:
// at once if there are tokens or none can arrive in time, otherwise within maxPendingWait.
func (db *DomainBucket) Take(now time.Time, req TokenRequest) {
	db.advance(now)
	rb := db.rows[req.Key]
	if rb == nil {
		db.emit(GrantEffect{Grant{Key: req.Key, Node: req.Node, ID: req.ID, Empty: true, RetryAfter: maxRetry, Unready: true}})
		return
	}
	db.refresh(rb)
	if rb.grants[grantKey{req.Node, req.ID}] != nil {
		db.grant(rb, req, 0, true)
		return
	}
	db.markActive(rb)
	if req.Waiting <= 0 {
		db.prefetch(rb, req)
		return
	}
	rb.enqueue(&pendingRequest{req: req, deadline: db.now.Add(pendingWait(rb.share.FleetRate))})
	db.serve(rb)
}

// enqueue adds a request behind those of the same or higher importance.
func (rb *rowBucket) enqueue(pr *pendingRequest) {
	at, _ := slices.BinarySearchFunc(rb.pending, pr, func(old, _ *pendingRequest) int {
		if old.req.Importance >= pr.req.Importance {
			return -1
		}
		return 1
	})
	rb.pending = slices.Insert(rb.pending, at, pr)
}

// prefetch answers a request for tokens in advance, from tokens that no request waits for.
func (db *DomainBucket) prefetch(rb *rowBucket, req TokenRequest) {
	var amount int64
	if len(rb.pending) == 0 {
		amount = min(req.Want, db.prefetchLimit(rb))
	}
	db.grant(rb, req, amount, amount == 0)
	db.rebalance(rb)
}

// prefetchLimit returns how many tokens one node may take in advance: a quarter of what is grantable,
// and none from a share that is less than half full, as other nodes may need them sooner.
func (db *DomainBucket) prefetchLimit(rb *rowBucket) int64 {
	return max(min(db.grantable(rb)/prefetchDivisor, rb.level-rb.share.Burst/2), 0).Tokens()
}

const prefetchDivisor = 4

// serve answers the waiting requests as far as there are tokens, and requests more from other domains.
func (db *DomainBucket) serve(rb *rowBucket) {
	db.refresh(rb)
	for len(rb.pending) > 0 && db.answer(rb, rb.pending[0]) {
		rb.pending = slices.Delete(rb.pending, 0, 1)
	}
	rb.pending = slices.DeleteFunc(rb.pending, func(pr *pendingRequest) bool { return db.expirePending(rb, pr) })
	if len(rb.pending) > 0 {
		db.schedule(rb)
		db.requestTransfers(rb)
		return
	}
	db.returnReceived(rb)
	db.rebalance(rb)
}

// answer grants the available tokens to a request; it returns false if there are none.
func (db *DomainBucket) answer(rb *rowBucket, pr *pendingRequest) bool {
	available := (rb.receivedAmount() + db.grantable(rb)).Tokens()
	amount := min(pr.req.Waiting, available)
	if amount <= 0 {
		return false
	}
	if len(rb.pending) == 1 && amount == pr.req.Waiting {
		amount += max(min(pr.req.Want-amount, db.prefetchLimit(rb)-amount), 0)
	}
	db.grant(rb, pr.req, amount, false)
	return true
}

// expirePending answers a request with nothing if its deadline has passed or no token can arrive before it.
func (db *DomainBucket) expirePending(rb *rowBucket, pr *pendingRequest) bool {
	if db.now.Before(pr.deadline) && db.mayRefillBefore(rb, pr.deadline) {
		return false
	}
	db.grant(rb, pr.req, 0, true)
	return true
}

// mayRefillBefore reports whether a token may become available before a time.
func (db *DomainBucket) mayRefillBefore(rb *rowBucket, until time.Time) bool {
	if rb.level >= One || rb.outstanding > 0 {
		return true // outstanding tokens may be settled
	}
	missing := One - rb.level - rb.receivedAmount()
	if rb.share.Burst >= One && timeToAccrue(missing, rb.share.Rate) <= until.Sub(db.now) {
		return true
	}
	for _, dm := range db.others {
		if dn := rb.donor(dm, false); dn.inFlight || dn.notBefore.Before(until) {
			return true
		}
	}
	return false
}

// grant answers a request with a number of whole tokens, which must be available.
func (db *DomainBucket) grant(rb *rowBucket, req TokenRequest, amount int64, empty bool) {
	gr := Grant{Key: req.Key, Node: req.Node, ID: req.ID, Amount: amount, Empty: empty}
	if empty {
		gr.RetryAfter = db.retryAfter(rb)
		gr.Unready = rb.share.Pending || db.recovering()
	}
	if amount > 0 {
		parts := rb.take(Whole(amount))
		gr.SettleSoon = len(rb.pending) > 1 || parts[0].source != nil || rb.outstanding*2 > rb.share.maxOutstanding()
		rb.addGrant(&grant{
			key: grantKey{req.Node, req.ID}, expires: db.now.Add(nodeTokenHold), parts: parts, amount: amount,
		})
	}
	db.emit(GrantEffect{gr})
}

// retryAfter returns the time after which another request may find a token.
func (db *DomainBucket) retryAfter(rb *rowBucket) time.Duration {
	wait := timeToAccrue(One-rb.level-rb.receivedAmount(), rb.share.Rate)
	for _, dm := range db.others {
		wait = min(wait, rb.donor(dm, false).notBefore.Sub(db.now))
	}
	return min(max(wait, minRetry), maxRetry)
}

// Settle handles a settlement of a grant. One for an unknown or expired grant is ignored.
func (db *DomainBucket) Settle(now time.Time, st Settlement) {
	db.advance(now)
	rb := db.rows[st.Key]
	if rb == nil || st.Epoch != db.lease.Epoch {
		return
	}
	db.refresh(rb)
	gr := rb.grants[grantKey{st.Node, st.ID}]
	if gr == nil {
		return
	}
	spent := min(max(st.Spent-gr.spent, 0), gr.unsettled())
	gr.spent += spent
	changed := rb.settleSpent(gr, Whole(spent))
	returned := min(max(st.Returned-gr.returned, 0), gr.unsettled())
	gr.returned += returned
	changed = append(changed, rb.settleReturned(gr, Whole(returned))...)
	if gr.unsettled() == 0 {
		gr.settled = true
		delete(rb.grants, gr.key)
	}
	db.settleReceived(rb, changed)
	rb.clamp(db.capacity(rb))
	db.mergeReceived(rb)
	db.serve(rb)
}

func (gr *grant) unsettled() int64 { return gr.amount - gr.spent - gr.returned }

// settleReceived reports to the donors what has become of their transfers.
func (db *DomainBucket) settleReceived(rb *rowBucket, transfers []*receivedTransfer) {
	slices.SortFunc(transfers, func(ta, tb *receivedTransfer) int { return cmp.Compare(ta.id, tb.id) })
	for _, rt := range slices.Compact(transfers) {
		db.emit(SettleEffect{To: rt.from, Settlement: TransferSettlement{
			Key: rb.key, From: db.self, Epoch: rt.epoch, ID: rt.id, Kept: rt.kept, Returned: rt.returned,
		}})
	}
}
