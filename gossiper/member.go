package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Boot identifies one life of an instance's process. A later life has another one.
type Boot uint64

// Status says whether a member answers.
// The order is that of precedence between two reports of one incarnation.
type Status uint8

// Statuses.
const (
	// StatusAlive means that nobody missed the member.
	StatusAlive Status = iota
	// StatusSuspect means that a neighbour got no answer and waits for the member to object.
	StatusSuspect
	// StatusUnreachable means that the member did not object in time. It is retried slowly.
	StatusUnreachable
	// StatusLeft means that the member said it was leaving and is gone, or that another one took its address.
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

// Roles is a set of what an instance does.
type Roles uint8

// Members of Roles.
const (
	RoleNode Roles = 1 << iota
	RoleControl
)

// Has tells whether the set holds all of the given roles.
func (rl Roles) Has(other Roles) bool { return rl&other == other }

// UpstreamState is what an upstream says of itself.
type UpstreamState uint8

// States of an upstream.
const (
	// UpstreamGone means that there is no upstream or that its announcement has lapsed.
	UpstreamGone UpstreamState = iota
	// UpstreamWarming takes little work yet.
	UpstreamWarming
	// UpstreamReady takes work.
	UpstreamReady
	// UpstreamDraining takes no new work.
	UpstreamDraining
)

// String returns the state as it stands in announcements.
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

// Upstream is what a node tells about the upstream beside it.
// The zero value is no upstream.
type Upstream struct {
	Service gypsumhoist.Service
	State   UpstreamState
	// Slots and Connections are the announced bounds.
	Slots       int
	Connections int
	// Started is when it started, to the millisecond, by the clock of its machine; zero if it did not say.
	Started time.Time
	// Load is the announced load in thousandths; a hint that lags and may mislead.
	Load int
	// CutOff is the least importance that the node admits at present; a hint that lags.
	CutOff gypsumhoist.Importance
}

// settled returns the part of the announcement that others must learn at once.
func (up Upstream) settled() Upstream {
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
	// Settled is the incarnation of the last change that others must learn at once.
	Settled uint64
	Status  Status
	Domain  gypsumhoist.FailureDomain
	// Peer is where the instance's peer port listens.
	Peer  netip.AddrPort
	Roles Roles
	// Leaving is set once the instance is about to stop; it stays set for that life.
	Leaving bool
	// Bridge tells that the instance exchanges news with other failure domains.
	Bridge bool
	// Revision is the table revision in force; it lags by up to the interval of load reports.
	Revision uint64
	Upstream Upstream
	// Watches are the services whose upstreams in other domains the instance follows.
	Watches []gypsumhoist.Service
	// CutFrom are the domains that a bridge can't reach.
	CutFrom []gypsumhoist.FailureDomain
}

// Takes tells whether new work may go to the member's upstream.
func (mb Member) Takes() bool {
	if mb.Leaving || mb.Status > StatusSuspect {
		return false
	}
	return mb.Upstream.State == UpstreamWarming || mb.Upstream.State == UpstreamReady
}

// present tells whether the member counts as running.
func (mb *Member) present() bool { return mb.Status <= StatusSuspect }

// wide tells whether every instance of the fleet keeps the member.
func (mb *Member) wide() bool { return mb.Bridge || mb.Roles.Has(RoleControl) }

func (mb *Member) watches(svc gypsumhoist.Service) bool {
	return svc != "" && slices.Contains(mb.Watches, svc)
}

// newer tells whether a report replaces another one of the same instance.
func (mb *Member) newer(old *Member) bool {
	if mb.Incarnation != old.Incarnation {
		return mb.Incarnation > old.Incarnation
	}
	return mb.Status > old.Status
}

// Rumor is a small piece of news that reaches every instance, also one that joins before it expires.
// Of two with the same topic and key the higher version wins, then the greater payload.
type Rumor struct {
	Topic   string
	Key     string
	Version uint64
	// Payload holds up to RumorPayloadMax bytes.
	Payload []byte
	// Life is how long the rumor is kept from now on.
	Life time.Duration
}

// Bounds of rumors.
const (
	RumorPayloadMax = 512
	RumorNameMax    = 128
	RumorsMax       = 4096
	RumorLifeMax    = 7 * 24 * time.Hour
)
