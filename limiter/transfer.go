package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

func (rb *rowBucket) donor(dm gypsumhoist.FailureDomain, spare bool) *donor {
	key := donorKey{dm, spare}
	dn := rb.donors[key]
	if dn == nil {
		dn = &donor{}
		rb.donors[key] = dn
	}
	return dn
}

// pendingDonor returns the donor that a request in flight was sent to, nil if there is none.
func (rb *rowBucket) pendingDonor(dm gypsumhoist.FailureDomain, id uint64) *donor {
	for _, spare := range []bool{false, true} {
		if dn := rb.donor(dm, spare); dn.inFlight && dn.requestID == id {
			return dn
		}
	}
	return nil
}

// requestTransfers requests the tokens that the waiting requests lack from all other domains at once.
func (db *DomainBucket) requestTransfers(rb *rowBucket) {
	var want Amount
	for _, pr := range rb.pending {
		want += Whole(pr.req.Waiting)
	}
	want -= rb.receivedAmount()
	if !db.ownShareBlocked() {
		want -= rb.level
	}
	if want <= 0 {
		return
	}
	for _, dm := range db.others {
		db.requestTransfer(rb, dm, want, false)
	}
}

// rebalance requests spare tokens from a few domains while the domain's own share runs low,
// so that the shares of idle domains keep refilling; a full share loses the tokens that its rate would add.
func (db *DomainBucket) rebalance(rb *rowBucket) {
	missing := rb.missing()
	if !rb.active || missing < db.rebalanceThreshold(rb) || len(db.others) == 0 || rb.share.Burst == 0 || db.recovering() {
		return
	}
	if db.now.Sub(rb.rebalancedAt) < rebalanceInterval {
		return
	}
	rb.rebalancedAt = db.now
	for range min(rebalanceDomains, len(db.others)) {
		rb.lastDonor = (rb.lastDonor + 1) % len(db.others)
		db.requestTransfer(rb, db.others[rb.lastDonor], missing, true)
	}
}

// missing returns the tokens that the share lacks to be full.
func (rb *rowBucket) missing() Amount { return rb.share.Burst - rb.level - rb.outstanding }

// rebalanceThreshold returns how many tokens a share must lack before spare tokens are requested: what the row's rate
// adds within rebalanceSpan, but at most a quarter of the share's burst, and at least 1/8 of a token in any case.
func (db *DomainBucket) rebalanceThreshold(rb *rowBucket) Amount {
	added := rb.share.FleetRate / Amount(time.Second/rebalanceSpan)
	return max(min(added, rb.share.Burst/rebalanceBurstDivisor), One/rebalanceTokenDivisor)
}

const (
	rebalanceSpan         = 20 * time.Millisecond
	rebalanceBurstDivisor = 4
	rebalanceTokenDivisor = 8
)

func (db *DomainBucket) requestTransfer(rb *rowBucket, dm gypsumhoist.FailureDomain, want Amount, spare bool) {
	dn := rb.donor(dm, spare)
	if (dn.inFlight && db.now.Sub(dn.requestedAt) < transferLife) || db.now.Before(dn.notBefore) {
		return
	}
	dn.inFlight, dn.requestID, dn.requestedAt = true, db.newID(), db.now
	db.emit(TransferEffect{To: dm, Request: TransferRequest{Key: rb.key, From: db.self, ID: dn.requestID, Want: want, Spare: spare}})
}

// Transfer answers another domain's request. The amount is debited here before the answer is sent.
func (db *DomainBucket) Transfer(now time.Time, req TransferRequest) Transfer {
	db.advance(now)
	none := Transfer{Key: req.Key, Epoch: db.lease.Epoch, ID: req.ID, RetryAfter: maxTransferRetry}
	rb := db.rows[req.Key]
	if rb == nil || db.ownShareBlocked() {
		return none
	}
	db.refresh(rb)
	key := transferKey{req.From, req.ID}
	if rb.sent[key] != nil {
		return none
	}
	amount := max(min(req.Want, rb.transferable(req)), 0)
	if amount > 0 {
		rb.level -= amount
		rb.outstanding += amount
		snt := &sentTransfer{key: key, expires: db.now.Add(transferHold), amount: amount}
		rb.sent[key] = snt
		rb.sentQueue = append(rb.sentQueue, snt)
	}
	return Transfer{Key: req.Key, Epoch: db.lease.Epoch, ID: req.ID, Amount: amount, RetryAfter: db.transferRetryAfter(rb, req, amount)}
}

// transferable returns what may be sent for a request. Requests that wait here come first.
// A spare request, whose Want is all that its sender lacks, gets the amount that leaves both lacking the same.
func (rb *rowBucket) transferable(req TransferRequest) Amount {
	if len(rb.pending) > 0 {
		return 0
	}
	if req.Spare {
		return min(rb.releasable(), (req.Want-rb.missing())/2)
	}
	return rb.releasable()
}

// transferRetryAfter returns how long the requester should wait before another request: not at all if the share has more,
// otherwise until a part of a token or of the share has accrued. Spare requests wait until the share is full.
func (db *DomainBucket) transferRetryAfter(rb *rowBucket, req TransferRequest, sent Amount) time.Duration {
	if sent > 0 && rb.level > 0 && !req.Spare {
		return 0
	}
	goal := min(req.Want, max(One, rb.share.Burst/transferDivisor)) / Amount(len(db.others)+1)
	if req.Spare {
		goal = rb.share.Burst // when no more tokens would accrue
	}
	return min(max(timeToAccrue(goal-rb.level, rb.share.Rate), minTransferRetry), maxTransferRetry)
}

// transferDivisor is the part of a share that is worth a request: 1/16.
const transferDivisor = 16

// Received handles the reply to a TransferEffect. Tokens that arrive after transferLife are not used;
// their donor counts them until their hold time has passed.
func (db *DomainBucket) Received(now time.Time, from gypsumhoist.FailureDomain, tf Transfer) {
	db.advance(now)
	rb := db.rows[tf.Key]
	if rb == nil {
		return
	}
	dn := rb.pendingDonor(from, tf.ID)
	if dn == nil {
		return
	}
	dn.inFlight = false
	dn.notBefore = db.now.Add(tf.RetryAfter)
	expires := dn.requestedAt.Add(transferLife)
	if tf.Amount > 0 && db.now.Before(expires) {
		rb.received = append(rb.received, &receivedTransfer{from: from, epoch: tf.Epoch, id: tf.ID, expires: expires, remaining: tf.Amount})
	}
	db.refresh(rb)
	db.mergeReceived(rb)
	db.serve(rb)
}

// TransferFailed handles a TransferEffect that got no reply.
func (db *DomainBucket) TransferFailed(now time.Time, from gypsumhoist.FailureDomain, rk RowKey, id uint64) {
	db.advance(now)
	rb := db.rows[rk]
	if rb == nil {
		return
	}
	dn := rb.pendingDonor(from, id)
	if dn == nil {
		return
	}
	dn.inFlight = false
	dn.notBefore = db.now.Add(unreachableBackoff)
	db.serve(rb)
}

// mergeReceived adds received tokens to the domain's own share as far as it has room.
func (db *DomainBucket) mergeReceived(rb *rowBucket) {
	if db.ownShareBlocked() {
		return
	}
	var changed []*receivedTransfer
	for _, rt := range rb.received {
		used := min(rt.remaining, db.capacity(rb)-rb.level-rb.outstanding)
		if used <= 0 {
			continue
		}
		rt.remaining -= used
		rt.kept += used
		rb.level += used
		changed = append(changed, rt)
	}
	db.settleReceived(rb, changed)
}

// returnReceived returns the received tokens that no request waits for.
func (db *DomainBucket) returnReceived(rb *rowBucket) {
	db.mergeReceived(rb)
	var changed []*receivedTransfer
	for _, rt := range rb.received {
		if rt.remaining == 0 {
			continue
		}
		rt.returned += rt.remaining
		rt.remaining = 0
		changed = append(changed, rt)
	}
	rb.received = nil
	db.settleReceived(rb, changed)
}

// SettleTransfer handles a settlement of a transfer. One for an unknown or expired transfer is ignored.
func (db *DomainBucket) SettleTransfer(now time.Time, st TransferSettlement) {
	db.advance(now)
	rb := db.rows[st.Key]
	if rb == nil || st.Epoch != db.lease.Epoch {
		return
	}
	db.refresh(rb)
	snt := rb.sent[transferKey{st.From, st.ID}]
	if snt == nil {
		return
	}
	kept := min(max(st.Kept-snt.kept, 0), snt.unsettled())
	snt.kept += kept
	returned := min(max(st.Returned-snt.returned, 0), snt.unsettled())
	snt.returned += returned
	rb.outstanding -= kept + returned
	rb.level += returned
	if snt.unsettled() == 0 {
		snt.settled = true
		delete(rb.sent, snt.key)
	}
	rb.clamp(db.capacity(rb))
	db.serve(rb)
}

func (snt *sentTransfer) unsettled() Amount { return snt.amount - snt.kept - snt.returned }
