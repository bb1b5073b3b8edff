package registrar

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// ShardMember is an initial member of a shard group: one boot of an instance.
type ShardMember struct {
	Instance gypsumhoist.Instance
	// Boot identifies one process start of the instance; a higher one is newer.
	Boot uint64
	// Peer is the address of the member's peer port.
	Peer netip.AddrPort
}

// Placement lists the initial members of one generation of a shard group.
// The group manages later changes of its membership itself; they are not recorded here.
type Placement struct {
	Domain gypsumhoist.FailureDomain
	Shard  uint32
	// Generation counts from 1. Each generation starts without the state of the previous ones.
	Generation uint64
	Members    []ShardMember
	// FormedAt is when the placement was set, by the wall clock of the leader that proposed it.
	FormedAt time.Time
}

// ControlMember is a control instance, that is, a member of the replicated log, as listed in the table.
type ControlMember struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	// Peer is the address of its peer port, where nodes pull the table.
	Peer netip.AddrPort
	// Voter is false for a learner, which is still copying the log.
	Voter bool
}
