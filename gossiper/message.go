package gossiper

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Packet is what two instances swap.
type Packet struct {
	From    gypsumhoist.Instance
	Boot    Boot
	Members []Member
	Rumors  []Rumor
	// Digests sum up what the sender knows, as members of Domain see the fleet;
	// the receiver answers with its own and with what differs.
	// Deep ones cover all members of all domains.
	Digests []Digest
	Domain  gypsumhoist.FailureDomain
	Deep    bool
	// Reply numbers an answer, Seen is the last answer of the receiver that arrived.
	Reply, Seen uint64
}

// Digest sums up the members of one scope.
type Digest struct {
	Scope string
	Sum   uint64
}

// CallID names an outgoing call of a Core.
type CallID uint64

// Message is an input of a Core.
type Message interface{ isMessage() }

// Messages of a Core.
type (
	// Ticked says that time has passed.
	Ticked struct{}
	// Received is a packet of another instance; a Core answers it with a Reply.
	Received struct{ Packet Packet }
	// Answered is the answer to an Exchange.
	Answered struct {
		ID     CallID
		Packet Packet
	}
	// Failed says that an Exchange or a Relay got no answer.
	Failed struct{ ID CallID }
	// Relayed is the answer to a Relay: whether the target answered.
	Relayed struct {
		ID    CallID
		Alive bool
	}
	// Announced changes what the instance tells about its upstream.
	Announced struct{ Upstream Upstream }
	// Applied changes the table revision that the instance tells.
	Applied struct{ Revision uint64 }
	// Reseeded replaces the peer ports that are asked to join.
	Reseeded struct{ Seeds []netip.AddrPort }
	// Watched adds a service to those whose upstreams are followed.
	Watched struct{ Service gypsumhoist.Service }
	// Told spreads a rumor.
	Told struct{ Rumor Rumor }
	// Departing says that the instance is about to stop.
	Departing struct{}
	// Departed says that the instance stops now.
	Departed struct{}
)

func (Ticked) isMessage()    {}
func (Received) isMessage()  {}
func (Answered) isMessage()  {}
func (Failed) isMessage()    {}
func (Relayed) isMessage()   {}
func (Announced) isMessage() {}
func (Applied) isMessage()   {}
func (Watched) isMessage()   {}
func (Reseeded) isMessage()  {}
func (Told) isMessage()      {}
func (Departing) isMessage() {}
func (Departed) isMessage()  {}

// Action is an output of a Core.
type Action interface{ isAction() }

// Actions of a Core.
type (
	// Exchange sends a packet and wants an Answered or a Failed within the timeout.
	Exchange struct {
		ID      CallID
		To      netip.AddrPort
		Packet  Packet
		Timeout time.Duration
	}
	// Relay asks an instance to probe a target and wants a Relayed or a Failed within the timeout.
	Relay struct {
		ID         CallID
		To         netip.AddrPort
		Target     gypsumhoist.Instance
		TargetPeer netip.AddrPort
		Timeout    time.Duration
	}
	// Reply answers the Received that was handed in.
	Reply struct{ Packet Packet }
	// Noticed tells of a member whose status changed.
	Noticed struct{ Member Member }
	// Duplicated tells that another process uses the name of this instance.
	Duplicated struct{ Member Member }
)

func (Exchange) isAction()   {}
func (Relay) isAction()      {}
func (Reply) isAction()      {}
func (Noticed) isAction()    {}
func (Duplicated) isAction() {}
