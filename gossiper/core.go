package gossiper

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Core decides what one instance believes of the fleet and whom it asks.
// It has no goroutine, clock or I/O of its own and is not safe for concurrent use.
type Core struct {
	self    *record
	records map[gypsumhoist.Instance]*record
	rumors  map[rumorKey]*rumorRecord
	links   map[gypsumhoist.Instance]*link
	calls   map[CallID]call
	domains map[gypsumhoist.FailureDomain]*reach
	seeds   []netip.AddrPort
	// seedTurn is the next seed to ask; instances start at different ones.
	seedTurn int
	// met holds the seeds that have answered.
	met  map[netip.AddrPort]bool
	rand *rand.Rand

	lastCall CallID
	now      time.Time
	actions  []Action
	// linksStale asks for new neighbours, viewStale for a new view, viewUrgent for one at once: more than hints have changed.
	linksStale, viewStale, viewUrgent bool
	seedAt, retryAt                   time.Time
	// electAt is when the instance may become a bridge, not later than latestElect; zero when it may.
	electAt, latestElect time.Time
	pruneAt, hintAt      time.Time
	// hint is what the instance tells once hintAt has come.
	hint hints
	// rumorsStale asks for a new list of rumors.
	rumorsStale bool
	departing   bool
	// rank is the place on the ring of the own domain, elected how many of it are bridges.
	rank, elected int
	// claimed is the highest incarnation that somebody else's report of this instance had;
	// the instance goes beyond it from objectAt on.
	claimed  uint64
	objectAt time.Time
}

// hints are the parts of the own record that change often and may lag.
type hints struct {
	load     int
	cutOff   gypsumhoist.Importance
	revision uint64
}

type record struct {
	member Member
	// sum stands for the record in digests.
	sum uint64
	// order is the place on the ring.
	order uint64
	// changed is when the record last changed here.
	changed time.Time
	// doubted tells that this instance, itself cut off, can't reach the member.
	doubted bool
	// crossAt is when the record may next go to other domains for its hints alone, crossDue that it should.
	crossAt  time.Time
	crossDue bool
}

// reach is what a bridge knows of its way to another domain.
type reach struct {
	// answered is when a bridge of the domain last answered.
	answered time.Time
	// turn picks the bridge to try, fails counts its failures since the last answer.
	turn, fails int
	cut         bool
}

// NewCore returns the core of an instance that knows nobody yet.
// The member's incarnation starts at its boot id. Random numbers are drawn from rnd only.
func NewCore(self Member, seeds []netip.AddrPort, rnd *rand.Rand, now time.Time) *Core {
	self.Incarnation = max(self.Incarnation, uint64(self.Boot), 1)
	self.Settled = self.Incarnation
	self.Status = StatusAlive
	cr := &Core{
		records:    map[gypsumhoist.Instance]*record{},
		rumors:     map[rumorKey]*rumorRecord{},
		links:      map[gypsumhoist.Instance]*link{},
		calls:      map[CallID]call{},
		domains:    map[gypsumhoist.FailureDomain]*reach{},
		met:        map[netip.AddrPort]bool{},
		seeds:      withoutSelf(seeds, self),
		rand:       rnd,
		now:        now,
		linksStale: true,
		viewStale:  true,
		viewUrgent: true,
		seedAt:     now,
		retryAt:    now.Add(retryEvery),
	}
	if len(cr.seeds) > 0 {
		cr.seedTurn = rnd.IntN(len(cr.seeds))
		cr.electAt = now.Add(electAfter)
		cr.latestElect = now.Add(electLatest)
	}
	cr.hint.revision = self.Revision
	cr.self = newRecord(self, now)
	cr.records[self.Instance] = cr.self
	return cr
}

// Handle takes one message and returns what is to be done, in order.
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
		cr.announce(ms.Upstream)
	case Applied:
		cr.hint.revision = ms.Revision
	case Reseeded:
		cr.reseed(ms.Seeds)
	case Watched:
		cr.watch(ms.Service)
	case Told:
		cr.tell(ms.Rumor)
	case Departing:
		cr.depart()
	case Departed:
		cr.leave()
	}
	cr.relink()
	cr.flush()
	return cr.actions
}

// Spread tells whether every neighbour that answers has the present record of the instance itself.
func (cr *Core) Spread() bool {
	for _, ln := range cr.links {
		if !ln.failing && ln.carries(cr.self.member.Instance) {
			return false
		}
	}
	return true
}

// Self returns the instance's own record.
func (cr *Core) Self() Member { return cr.self.member }

// Changed tells whether View would differ from the one that it returned last.
func (cr *Core) Changed() bool { return cr.viewStale }

// Urgent tells whether View would differ in more than hints.
func (cr *Core) Urgent() bool { return cr.viewUrgent }

// outdate notes that the view has changed, in more than hints if it is urgent.
func (cr *Core) outdate(urgent bool) {
	cr.viewStale = true
	cr.viewUrgent = cr.viewUrgent || urgent
}

// RumorsChanged tells whether Rumors would differ from what it returned last, and resets that.
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
		if rec.member.Status != StatusLeft && cr.interesting(&rec.member, true) {
			shown = append(shown, rec)
		}
	}
	members := make([]Member, 0, len(shown))
	for _, rec := range shown {
		mb := rec.member
		if rec.doubted {
			mb.Status = StatusUnreachable
		}
		members = append(members, mb)
	}
	return newView(members, cr.cutDomains())
}

func (cr *Core) tick() {
	cr.expireCalls()
	cr.expireSuspects()
	cr.expireRumors()
	cr.goBeyond()
	if !cr.electAt.IsZero() && !cr.now.Before(cr.electAt) {
		cr.electAt = time.Time{}
		cr.linksStale = true
	}
	cr.publishHints()
	cr.checkDomains()
	cr.askSeed()
	cr.retryUnreachable()
	cr.prune()
}

func (cr *Core) do(ac Action) { cr.actions = append(cr.actions, ac) }

func (cr *Core) newCall(cl call) CallID {
	cr.lastCall++
	cl.until = cr.now.Add(callLost)
	cr.calls[cr.lastCall] = cl
	return cr.lastCall
}

// prune forgets who has been gone for long and who no longer matters here.
func (cr *Core) prune() {
	if cr.now.Before(cr.pruneAt) {
		return
	}
	cr.pruneAt = cr.now.Add(digestEvery)
	for in, rec := range cr.records {
		gone := !rec.member.present() && cr.now.Sub(rec.changed) > keepGone
		idle := !cr.interesting(&rec.member, false) && cr.now.Sub(rec.changed) > keepIdle
		if rec != cr.self && (gone || idle) {
			delete(cr.records, in)
			cr.linksStale = true
			cr.outdate(true)
		}
	}
}

// interesting tells whether this instance keeps a member.
// A bridge keeps all; narrow asks for those that it would keep otherwise.
func (cr *Core) interesting(mb *Member, narrow bool) bool {
	self := &cr.self.member
	return !narrow && self.Bridge || mb.Domain == self.Domain || mb.wide() || self.watches(mb.Upstream.Service)
}

// others returns the other members of the own domain that meet a condition, in ring order.
func (cr *Core) others(cond func(*record) bool) []*record {
	var out []*record
	for _, rec := range cr.records {
		if rec != cr.self && rec.member.Domain == cr.self.member.Domain && cond(rec) {
			out = append(out, rec)
		}
	}
	slices.SortFunc(out, byOrder)
	return out
}
