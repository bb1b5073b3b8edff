package gossiper

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Packet is what two instances exchange.
type Packet struct {
	From    gypsumhoist.Instance
	Boot    Boot
	Members []Member
	Rumors  []Rumor
	// Digests summarize what the sender knows, as seen from Domain;
	// the receiver answers with its own and with the records that differ.
	// With Deep they cover all members of all domains.
	Digests []Digest
	Domain  gypsumhoist.FailureDomain
	Deep    bool
	// Reply is the number of an answer, Seen that of the last answer that arrived from the receiver.
	Reply, Seen uint64
}

// Digest summarizes the records of one scope.
type Digest struct {
	Scope string
	Sum   uint64
}

// CallID identifies an outgoing call of a Core.
type CallID uint64

// Message is an input of a Core.
type Message interface{ isMessage() }

// Messages of a Core.
type (
	// Ticked makes the Core do what is due by time.
	Ticked struct{}
	// Received is a packet of another instance; a Core answers it with a Reply.
	Received struct{ Packet Packet }
	// Answered is the answer to an Exchange.
	Answered struct {
		ID     CallID
		Packet Packet
	}
	// Failed reports that an Exchange or a Relay got no answer.
	Failed struct{ ID CallID }
	// Relayed is the answer to a Relay: whether the target answered.
	Relayed struct {
		ID    CallID
		Alive bool
	}
	// Announced changes what the instance publishes about its upstream.
	Announced struct{ Upstream Upstream }
	// RevisionApplied changes the table revision that the instance publishes.
	RevisionApplied struct{ Revision uint64 }
	// SeedsChanged replaces the peer ports that the instance joins by.
	SeedsChanged struct{ Seeds []netip.AddrPort }
	// Watched adds a service whose upstreams in other domains the instance needs.
	Watched struct{ Service gypsumhoist.Service }
	// RumorAdded spreads a rumor of this instance.
	RumorAdded struct{ Rumor Rumor }
	// Leaving publishes that the instance is about to stop.
	Leaving struct{}
	// Left publishes that the instance stops now.
	Left struct{}
)

func (Ticked) isMessage()          {}
func (Received) isMessage()        {}
func (Answered) isMessage()        {}
func (Failed) isMessage()          {}
func (Relayed) isMessage()         {}
func (Announced) isMessage()       {}
func (RevisionApplied) isMessage() {}
func (Watched) isMessage()         {}
func (SeedsChanged) isMessage()    {}
func (RumorAdded) isMessage()      {}
func (Leaving) isMessage()         {}
func (Left) isMessage()            {}

// Action is an output of a Core.
type Action interface{ isAction() }

// Actions of a Core.
type (
	// Exchange sends a packet; its outcome is an Answered or a Failed, within the timeout.
	Exchange struct {
		ID      CallID
		To      netip.AddrPort
		Packet  Packet
		Timeout time.Duration
	}
	// Relay requests that an instance probe a target; its outcome is a Relayed or a Failed, within the timeout.
	Relay struct {
		ID         CallID
		To         netip.AddrPort
		Target     gypsumhoist.Instance
		TargetPeer netip.AddrPort
		Timeout    time.Duration
	}
	// Reply answers the Received that is being handled.
	Reply struct{ Packet Packet }
	// MemberChanged reports a new member, or one whose status or boot changed.
	MemberChanged struct{ Member Member }
	// DuplicateName reports that another process uses the name of this instance.
	DuplicateName struct{ Member Member }
)

func (Exchange) isAction()      {}
func (Relay) isAction()         {}
func (Reply) isAction()         {}
func (MemberChanged) isAction() {}
func (DuplicateName) isAction() {}
