package limiter

import (
	"slices"
	"time"
)

// Tick drops expired tokens and returns idle ones.
func (nb *NodeBucket) Tick(now time.Time) {
	kept := nb.grants[:0]
	for _, hg := range nb.grants {
		if hg.expired(now) {
			nb.tokens -= hg.remaining
			hg.remaining = 0
		}
		if now.Sub(hg.requestedAt) >= idleReturnAge && hg.remaining > 0 {
			nb.tokens -= hg.remaining
			hg.returned += hg.remaining
			hg.remaining = 0
		}
		if hg.remaining > 0 {
			kept = append(kept, hg)
			continue
		}
		nb.recordSettlement(hg)
	}
	nb.grants = kept
}

// recordSettlement queues the current state of a grant as a settlement to send.
func (nb *NodeBucket) recordSettlement(hg heldGrant) {
	st := Settlement{
		Key: nb.key, Node: nb.node, Epoch: hg.epoch, ID: hg.id, Spent: hg.spent, Returned: hg.returned,
	}
	at := slices.IndexFunc(nb.settlements, func(old Settlement) bool { return old.ID == st.ID })
	if at >= 0 {
		nb.settlements[at] = st
		return
	}
	nb.settlements = append(nb.settlements, st)
}

// Settlements returns the settlements to send to the leader, and removes them.
// If they are lost, the leader counts the tokens as outstanding until their hold time has passed.
func (nb *NodeBucket) Settlements(now time.Time) []Settlement {
	nb.Tick(now)
	for _, hg := range nb.grants {
		if hg.spent > 0 {
			nb.recordSettlement(hg)
		}
	}
	out := nb.settlements
	nb.settlements, nb.settleNow = nil, false
	return out
}
