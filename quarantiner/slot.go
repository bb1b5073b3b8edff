package quarantiner

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// TakeSuspectSlot reserves the node's suspect slot, and reports whether it was free.
func (co *Core) TakeSuspectSlot() bool {
	if co.suspectSlot.taken {
		return false
	}
	co.suspectSlot = suspectSlot{taken: true}
	return true
}

// FreeSuspectSlot frees the slot for the next suspect.
func (co *Core) FreeSuspectSlot() { co.suspectSlot = suspectSlot{} }

// SetMembers replaces the view of the nodes of this node's service, which includes this node.
func (co *Core) SetMembers(now time.Duration, list []Member) { co.members.set(now, list) }

// Arbiter returns the node that grants permits for a head; false while no node may grant any.
func (co *Core) Arbiter(now time.Duration, head Head) (Member, bool) {
	return co.members.arbiter(now, head)
}

// RequestPermit decides, as arbiter, on a request for a permit to run a suspect.
func (co *Core) RequestPermit(now time.Duration, head Head, holder Process, ttl time.Duration, suspects []Suspect) (uint64, PermitOutcome) {
	mb, settled := co.members.arbiter(now, head)
	if !settled || mb.Process != co.self || now < co.members.arbiterFrom {
		return 0, PermitSettling
	}
	number, ok := co.permits.grant(now, head, holder, ttl, suspects)
	if !ok {
		return 0, PermitBusy
	}
	return number, PermitGranted
}

// PermitOutcome is an arbiter's decision on a request for a permit.
type PermitOutcome uint8

// Values of PermitOutcome.
const (
	// PermitSettling means that no arbiter decided: a permit of a departed or restarted one may still be held,
	// the node that received the request is not the arbiter, or the arbiter did not answer.
	PermitSettling PermitOutcome = iota
	PermitGranted
	// PermitBusy means that another node holds the permit, or that the arbiter has granted permitsMax permits.
	PermitBusy
)

// NoticesFor returns notices of all that this node knows about a head.
func (co *Core) NoticesFor(now time.Duration, head Head) []Notice {
	var out []Notice
	for _, rec := range co.records.byHead[head] {
		if rec.epoch > 0 {
			out = append(out, Lift{Head: rec.head, Prefix: rec.prefix, Sum: rec.sum, Epoch: rec.epoch, Cause: CauseCompleted})
		}
		for _, pc := range rec.deaths {
			if now < rec.until {
				out = append(out, Death{Process: pc, Suspects: []Suspect{rec.suspect()}})
			}
		}
	}
	return out
}

// InstanceFailed records that an instance has disappeared without leaving the fleet. Each permit that
// it held from this node counts as a death, because its node may have died together with the upstream.
func (co *Core) InstanceFailed(now time.Duration, in gypsumhoist.Instance) {
	for _, dt := range co.permits.revokeHeldBy(now, in) {
		co.mergeDeath(now, dt, quarantineTTL)
		co.effects = append(co.effects, Publish{dt})
	}
}
