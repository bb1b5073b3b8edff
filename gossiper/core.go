package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Core is the protocol's state machine: it holds what one instance knows of the fleet and decides whom it contacts.
// It has no goroutine, clock or I/O of its own and is not safe for concurrent use.
type Core struct {
	self    *record
	records map[gypsumhoist.Instance]*record
	rumors  map[rumorKey]*rumorRecord
	links   map[gypsumhoist.Instance]*link
	calls   map[CallID]call
	domains map[gypsumhoist.FailureDomain]*reachability
	seeds   []netip.AddrPort
	// seedIndex is the next seed to contact; instances start at different ones.
	seedIndex int
	// answeredSeeds holds the seeds that have answered.
	answeredSeeds map[netip.AddrPort]bool
	// seedReturnsUntil is until when a seed that has left is expected to come back.
	seedReturnsUntil time.Time
	rand             *rand.Rand

	lastCall CallID
	now      time.Time
	actions  []Action
	// linksStale means that the neighbours must be selected anew, viewStale that the view is out of date,
	// viewUrgent that it differs in more than hints.
	linksStale, viewStale, viewUrgent bool
	nextSeedAt, reconnectAt           time.Time
	// electionAt is from when on the instance may become a bridge, at latest latestElectionAt; zero once it may.
	electionAt, latestElectionAt time.Time
	pruneAt, hintAt              time.Time
	// pendingHints is what the instance publishes from hintAt on.
	pendingHints hints
	// rumorsStale means that rumors were added or have expired.
	rumorsStale bool
	leaving     bool
	// rank is the instance's index on the ring of its domain, bridgeCount how many of the ring are bridges.
	rank, bridgeCount int
	// rivalIncarnation is the highest incarnation reported of another process under this instance's name;
	// from refuteAt on the instance raises its own above it.
	rivalIncarnation uint64
	refuteAt         time.Time
}

// hints are the parts of the instance's record that change often and may be sent late.
type hints struct {
	load     int
	cutOff   gypsumhoist.Importance
	revision uint64
}

type record struct {
	member Member
	// hash is what the record adds to digests.
	hash uint64
	// ringPosition is the hash of the name, by which the ring is ordered.
	ringPosition uint64
	// changedAt is when the record last changed here.
	changedAt time.Time
	// locallyUnreachable is set while this instance is itself isolated and can't reach the member.
	locallyUnreachable bool
	// foreignHintAt is when the record may next be sent to other domains only for its hints, foreignHintDue that it shall.
	foreignHintAt  time.Time
	foreignHintDue bool
}

// reachability is what a bridge knows of how it can reach another domain.
type reachability struct {
	// lastAnswer is when a bridge of the domain last answered.
	lastAnswer time.Time
	// bridgeIndex rotates the bridge to probe, failures counts the failed probes since the last answer.
	bridgeIndex, failures int
	unreachable           bool
}

// NewCore returns the core of an instance that knows no other member yet.
// The member's incarnation starts at its boot id. Random numbers are drawn from rnd only.
func NewCore(self Member, seeds []netip.AddrPort, rnd *rand.Rand, now time.Time) *Core {
	self.Incarnation = max(self.Incarnation, uint64(self.Boot), 1)
	self.UrgentIncarnation = self.Incarnation
	self.Status = StatusAlive
	cr := &Core{
		records:       map[gypsumhoist.Instance]*record{},
		rumors:        map[rumorKey]*rumorRecord{},
		links:         map[gypsumhoist.Instance]*link{},
		calls:         map[CallID]call{},
		domains:       map[gypsumhoist.FailureDomain]*reachability{},
		answeredSeeds: map[netip.AddrPort]bool{},
		seeds:         withoutSelf(seeds, self),
		rand:          rnd,
		now:           now,
		linksStale:    true,
		viewStale:     true,
		viewUrgent:    true,
		nextSeedAt:    now,
		reconnectAt:   now.Add(reconnectInterval),
	}
	if len(cr.seeds) > 0 {
		cr.seedIndex = rnd.IntN(len(cr.seeds))
		cr.electionAt = now.Add(electionDelay)
		cr.latestElectionAt = now.Add(maxElectionDelay)
	}
	cr.pendingHints.revision = self.Revision
	cr.self = newRecord(self, now)
	cr.records[self.Instance] = cr.self
	return cr
}

// Handle processes one message and returns the actions to perform, in order.
func (cr *Core) Handle(now time.Time, msg Message) []Action {
	cr.now = now
	cr.actions = nil
	switch ms := msg.(type) {
	case Ticked:
		cr.tick()
	case Received:
		cr.receive(ms.Packet)
	case Answered:
		cr.answered(ms.ID, ms.Packet)
	case Failed:
		cr.failed(ms.ID)
	case Relayed:
		cr.relayed(ms.ID, ms.Alive)
	case Announced:
		cr.setUpstream(ms.Upstream)
	case RevisionApplied:
		cr.pendingHints.revision = ms.Revision
	case SeedsChanged:
		cr.setSeeds(ms.Seeds)
	case Watched:
		cr.watch(ms.Service)
	case RumorAdded:
		cr.addRumor(ms.Rumor)
	case Leaving:
		cr.startLeaving()
	case Left:
		cr.leave()
	}
	cr.updateLinks()
	cr.flush()
	return cr.actions
}

// Spread reports whether every neighbour that answers has acknowledged the current record of this instance.
func (cr *Core) Spread() bool {
	for _, ln := range cr.links {
		if !ln.failing && ln.hasPending(cr.self.member.Instance) {
			return false
		}
	}
	return true
}

// Self returns the instance's own record.
func (cr *Core) Self() Member { return cr.self.member }

// Changed reports whether View would differ from the one that it returned last.
func (cr *Core) Changed() bool { return cr.viewStale }

// Urgent reports whether View would differ in more than hints.
func (cr *Core) Urgent() bool { return cr.viewUrgent }

// markViewStale records that the view has changed; urgent means in more than hints.
func (cr *Core) markViewStale(urgent bool) {
	cr.viewStale = true
	cr.viewUrgent = cr.viewUrgent || urgent
}

// RumorsChanged reports whether Rumors would differ from what it returned last, and resets that.
func (cr *Core) RumorsChanged() bool {
	stale := cr.rumorsStale
	cr.rumorsStale = false
	return stale
}

// View returns what the instance knows.
func (cr *Core) View() *View {
	cr.viewStale, cr.viewUrgent = false, false
	var shown []*record
	for _, rec := range cr.records {
		if rec.member.Status != StatusLeft && cr.relevant(&rec.member, true) {
			shown = append(shown, rec)
		}
	}
	members := make([]Member, 0, len(shown))
	for _, rec := range shown {
		mb := rec.member
		if rec.locallyUnreachable {
			mb.Status = StatusUnreachable
		}
		members = append(members, mb)
	}
	return newView(members, cr.unreachableDomains())
}

func (cr *Core) tick() {
	cr.expireCalls()
	cr.expireSuspects()
	cr.expireRumors()
	cr.raiseIncarnation()
	if !cr.electionAt.IsZero() && !cr.now.Before(cr.electionAt) {
		cr.electionAt = time.Time{}
		cr.linksStale = true
	}
	cr.publishHints()
	cr.checkDomains()
	cr.contactSeeds()
	cr.reconnect()
	cr.prune()
}

func (cr *Core) emit(ac Action) { cr.actions = append(cr.actions, ac) }

func (cr *Core) newCall(cl call) CallID {
	cr.lastCall++
	cl.deadline = cr.now.Add(callTimeout)
	cr.calls[cr.lastCall] = cl
	return cr.lastCall
}

// prune drops the records of members that have been gone for tombstoneRetention, and of those that this instance
// has not needed for irrelevantRetention.
func (cr *Core) prune() {
	if cr.now.Before(cr.pruneAt) {
		return
	}
	cr.pruneAt = cr.now.Add(digestInterval)
	for in, rec := range cr.records {
		gone := !rec.member.present() && cr.now.Sub(rec.changedAt) > tombstoneRetention
		idle := !cr.relevant(&rec.member, false) && cr.now.Sub(rec.changedAt) > irrelevantRetention
		if rec != cr.self && (gone || idle) {
			delete(cr.records, in)
			cr.linksStale = true
			cr.markViewStale(true)
		}
	}
}

// relevant reports whether this instance needs a member.
// A bridge needs all; ignoreBridge asks whether it would need this one if it were no bridge.
func (cr *Core) relevant(mb *Member, ignoreBridge bool) bool {
	self := &cr.self.member
	return !ignoreBridge && self.Bridge || mb.Domain == self.Domain || mb.fleetWide() || self.watches(mb.Upstream.Service)
}

// domainPeers returns the other members of this instance's domain that meet a condition, in ring order.
func (cr *Core) domainPeers(cond func(*record) bool) []*record {
	var out []*record
	for _, rec := range cr.records {
		if rec != cr.self && rec.member.Domain == cr.self.member.Domain && cond(rec) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, compareRingPosition)
	return out
}
