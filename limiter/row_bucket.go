package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// rowBucket is a domain's token bucket for one row.
//
// level + outstanding never exceeds the capacity: tokens accrue only below it.
// Received tokens belong to other domains and count against the shares of their donors.
type rowBucket struct {
	key   RowKey
	share Share

	level       Amount
	outstanding Amount
	accruedAt   time.Time
	carry       uint64

	grants     map[grantKey]*grant
	grantQueue []*grant // by expiry
	sent       map[transferKey]*sentTransfer
	sentQueue  []*sentTransfer     // by expiry
	received   []*receivedTransfer // with tokens remaining, by arrival

	scheduled bool
	pending   []*pendingRequest // by importance, then by arrival
	donors    map[donorKey]*donor

	active       bool // in the active list of the DomainBucket
	usedAt       time.Time
	rebalancedAt time.Time
	lastDonor    int // index of the domain that rebalance last sent a request to
}

type grantKey struct {
	node gypsumhoist.Instance
	id   uint64
}

// grant is tokens that are outstanding with a node.
type grant struct {
	key     grantKey
	expires time.Time
	parts   []grantPart
	settled bool
	// amount is the number of whole tokens granted; spent and returned are those settled so far.
	amount, spent, returned int64
}

// grantPart is the part of a grant that has one source: a received transfer, or the domain's own share if nil.
type grantPart struct {
	source *receivedTransfer
	amount Amount
}

type transferKey struct {
	to gypsumhoist.FailureDomain
	id uint64
}

// sentTransfer is tokens that are outstanding with another domain.
type sentTransfer struct {
	key            transferKey
	expires        time.Time
	amount         Amount
	kept, returned Amount
	settled        bool
}

// receivedTransfer is tokens received from another domain in one transfer.
type receivedTransfer struct {
	from           gypsumhoist.FailureDomain
	epoch, id      uint64
	expires        time.Time
	remaining      Amount
	kept, returned Amount
}

// pendingRequest is a token request that waits for tokens.
type pendingRequest struct {
	req      TokenRequest
	deadline time.Time
}

// donorKey names another domain and the kind of request to it.
type donorKey struct {
	dm    gypsumhoist.FailureDomain
	spare bool
}

// donor is the state of requests of one kind to another domain for one row.
type donor struct {
	inFlight    bool
	requestID   uint64
	requestedAt time.Time
	notBefore   time.Time
}

func newRowBucket(rk RowKey, now time.Time) *rowBucket {
	return &rowBucket{
		key: rk, accruedAt: now,
		grants: map[grantKey]*grant{}, sent: map[transferKey]*sentTransfer{},
		donors: map[donorKey]*donor{},
	}
}

// refresh drops what has expired and adds accrued tokens up to the capacity.
func (rb *rowBucket) refresh(now time.Time, capacity Amount) {
	rb.expire(now)
	room := capacity - rb.level - rb.outstanding
	var added Amount
	added, rb.carry = accrued(rb.share.Rate, now.Sub(rb.accruedAt), rb.carry, room)
	if now.After(rb.accruedAt) {
		rb.accruedAt = now
	}
	rb.level += added
	rb.clamp(capacity)
}

// clamp drops the tokens above the capacity.
func (rb *rowBucket) clamp(capacity Amount) {
	rb.level = max(min(rb.level, capacity-rb.outstanding), 0)
}

func (rb *rowBucket) expire(now time.Time) {
	for len(rb.grantQueue) > 0 && isExpiredOrSettled(rb.grantQueue[0].expires, rb.grantQueue[0].settled, now) {
		gr := rb.grantQueue[0]
		rb.grantQueue = rb.grantQueue[1:]
		if !gr.settled {
			rb.dropGrant(gr)
		}
	}
	for len(rb.sentQueue) > 0 && isExpiredOrSettled(rb.sentQueue[0].expires, rb.sentQueue[0].settled, now) {
		snt := rb.sentQueue[0]
		rb.sentQueue = rb.sentQueue[1:]
		if !snt.settled {
			rb.outstanding -= snt.amount - snt.kept - snt.returned
			delete(rb.sent, snt.key)
		}
	}
	kept := rb.received[:0]
	for _, rt := range rb.received {
		if now.Before(rt.expires) && rt.remaining > 0 {
			kept = append(kept, rt)
		}
	}
	clear(rb.received[len(kept):])
	rb.received = kept
}

func isExpiredOrSettled(expires time.Time, settled bool, now time.Time) bool {
	return settled || !now.Before(expires)
}

// dropGrant removes an expired grant; its tokens no longer exist.
func (rb *rowBucket) dropGrant(gr *grant) {
	for _, gp := range gr.parts {
		if gp.source == nil {
			rb.outstanding -= gp.amount
		}
	}
	delete(rb.grants, gr.key)
}

// receivedAmount returns the received tokens that remain.
func (rb *rowBucket) receivedAmount() Amount {
	var sum Amount
	for _, rt := range rb.received {
		sum += rt.remaining
	}
	return sum
}

// releasable returns how much of the domain's own share may be granted or transferred now.
func (rb *rowBucket) releasable() Amount {
	return max(min(rb.level, rb.share.maxOutstanding()-rb.outstanding), 0)
}

// take moves an amount out to a node, received tokens first. The amount must be available.
func (rb *rowBucket) take(am Amount) []grantPart {
	var parts []grantPart
	for _, rt := range rb.received {
		if am == 0 {
			return parts
		}
		used := min(am, rt.remaining)
		if used > 0 {
			rt.remaining -= used
			am -= used
			parts = append(parts, grantPart{source: rt, amount: used})
		}
	}
	if am > 0 {
		rb.level -= am
		rb.outstanding += am
		parts = append(parts, grantPart{amount: am})
	}
	return parts
}

// addGrant records a grant.
func (rb *rowBucket) addGrant(gr *grant) {
	rb.grants[gr.key] = gr
	rb.grantQueue = append(rb.grantQueue, gr)
}

// settleSpent settles spent tokens of a grant and returns the received transfers that changed.
func (rb *rowBucket) settleSpent(gr *grant, am Amount) []*receivedTransfer {
	var changed []*receivedTransfer
	for ix := range gr.parts {
		gp := &gr.parts[ix]
		used := min(am, gp.amount)
		if used == 0 {
			continue
		}
		gp.amount -= used
		am -= used
		if gp.source == nil {
			rb.outstanding -= used
			continue
		}
		gp.source.kept += used
		changed = append(changed, gp.source)
	}
	return changed
}

// settleReturned settles returned tokens of a grant and returns the received transfers that changed.
func (rb *rowBucket) settleReturned(gr *grant, am Amount) []*receivedTransfer {
	var changed []*receivedTransfer
	for ix := len(gr.parts) - 1; ix >= 0; ix-- {
		gp := &gr.parts[ix]
		used := min(am, gp.amount)
		if used == 0 {
			continue
		}
		gp.amount -= used
		am -= used
		if gp.source == nil {
			rb.outstanding -= used
			rb.level += used
			continue
		}
		gp.source.returned += used
		changed = append(changed, gp.source)
	}
	return changed
}
