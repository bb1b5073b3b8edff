package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Boot identifies one start of an instance's process. A later start has another one.
type Boot uint64

// Status is whether a member answers.
// Of two reports of one incarnation the one with the higher status takes precedence.
type Status uint8

// Statuses of a member.
const (
	// StatusAlive means that the member answers.
	StatusAlive Status = iota
	// StatusSuspect means that a neighbour got no answer and waits for the member to refute the suspicion.
	StatusSuspect
	// StatusUnreachable means that the member did not refute the suspicion in time. It is retried slowly.
	StatusUnreachable
	// StatusLeft means that the member announced its leaving and is gone, or that another one took its address.
	StatusLeft
)

// String returns the status as metrics and status reports show it.
func (st Status) String() string {
	switch st {
	case StatusAlive:
		return "alive"
	case StatusSuspect:
		return "suspect"
	case StatusUnreachable:
		return "unreachable"
	case StatusLeft:
		return "left"
	default:
		return "unknown"
	}
}

// Roles is the set of roles of an instance.
type Roles uint8

// Roles of an instance.
const (
	RoleNode Roles = 1 << iota
	RoleControl
)

// Has reports whether the set holds all of the given roles.
func (rl Roles) Has(other Roles) bool { return rl&other == other }

// UpstreamState is the state that an upstream announces.
type UpstreamState uint8

// States of an upstream.
const (
	// UpstreamGone means that there is no upstream or that its announcement has expired.
	UpstreamGone UpstreamState = iota
	// UpstreamWarming takes little work yet.
	UpstreamWarming
	// UpstreamReady takes work.
	UpstreamReady
	// UpstreamDraining takes no new work.
	UpstreamDraining
)

// String returns the state as announcements write it.
func (us UpstreamState) String() string {
	switch us {
	case UpstreamWarming:
		return "warming"
	case UpstreamReady:
		return "ready"
	case UpstreamDraining:
		return "draining"
	default:
		return "gone"
	}
}

// Upstream is what a node publishes about its upstream.
// The zero value means no upstream.
type Upstream struct {
	Service gypsumhoist.Service
	State   UpstreamState
	// Slots and Connections are the announced bounds.
	Slots       int
	Connections int
	// Started is when the upstream started, to the millisecond, by the clock of its machine; zero if it did not say.
	Started time.Time
	// Load is the announced load in thousandths; a hint, which lags and may be wrong.
	Load int
	// CutOff is the least importance that the node admits at present; a hint, which lags.
	CutOff gypsumhoist.Importance
}

// withoutHints returns the part of the announcement whose changes are sent at once.
func (up Upstream) withoutHints() Upstream {
	up.Load = 0
	up.CutOff = 0
	return up
}

// Member is what the fleet knows of one instance. It is a plain value; its slices are never changed in place.
type Member struct {
	Instance gypsumhoist.Instance
	Boot     Boot
	// Incarnation orders the reports of one instance; only the instance itself raises it.
	Incarnation uint64
	// UrgentIncarnation is the incarnation of the last change that was sent at once.
	UrgentIncarnation uint64
	Status            Status
	Domain            gypsumhoist.FailureDomain
	// Peer is where the instance's peer port listens.
	Peer  netip.AddrPort
	Roles Roles
	// Leaving is set once the instance is about to stop; it stays set until the process ends.
	Leaving bool
	// Bridge means that the instance exchanges updates with other failure domains.
	Bridge bool
	// Revision is the table revision in force; it lags by up to the interval of load reports.
	Revision uint64
	Upstream Upstream
	// Watches are the services whose upstreams in other domains the instance needs.
	Watches []gypsumhoist.Service
	// UnreachableDomains are the domains that the instance, as a bridge, can't reach.
	UnreachableDomains []gypsumhoist.FailureDomain
}

// AcceptsWork reports whether new work may be sent to the member's upstream.
func (mb Member) AcceptsWork() bool {
	if mb.Leaving || mb.Status > StatusSuspect {
		return false
	}
	return mb.Upstream.State == UpstreamWarming || mb.Upstream.State == UpstreamReady
}

// present reports whether the member is alive or suspect.
func (mb *Member) present() bool { return mb.Status <= StatusSuspect }

// fleetWide reports whether every instance of the fleet keeps the member.
func (mb *Member) fleetWide() bool { return mb.Bridge || mb.Roles.Has(RoleControl) }

func (mb *Member) watches(svc gypsumhoist.Service) bool {
	return svc != "" && slices.Contains(mb.Watches, svc)
}

// newer reports whether a report takes precedence over another one of the same instance.
func (mb *Member) newer(old *Member) bool {
	if mb.Incarnation != old.Incarnation {
		return mb.Incarnation > old.Incarnation
	}
	return mb.Status > old.Status
}

// Rumor is a small update that reaches every instance, also one that joins before it expires.
// Of two with the same topic and key the one with the higher version wins, then the one with the greater payload.
type Rumor struct {
	Topic   string
	Key     string
	Version uint64
	// Payload holds up to MaxRumorPayloadBytes.
	Payload []byte
	// TTL is how much longer the rumor is kept.
	TTL time.Duration
}

// Bounds of rumors.
const (
	MaxRumorPayloadBytes = 512
	MaxRumorNameBytes    = 128
	MaxRumors            = 4096
	MaxRumorTTL          = 7 * 24 * time.Hour
)
