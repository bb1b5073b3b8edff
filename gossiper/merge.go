package gossiper

import (
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// learn takes in what a packet tells.
func (cr *Core) learn(pk Packet) {
	for _, mb := range pk.Members {
		cr.merge(mb, pk.From)
	}
	for _, rm := range pk.Rumors {
		cr.mergeRumor(rm, pk.From)
	}
	rec := cr.records[pk.From]
	if rec != nil && rec.doubted && rec.member.Boot == pk.Boot {
		cr.trustAgain()
	}
}

// merge takes in one report of a member.
func (cr *Core) merge(mb Member, from gypsumhoist.Instance) {
	if !mb.valid() {
		return
	}
	if mb.Instance == cr.self.member.Instance {
		cr.object(mb)
		return
	}
	old := cr.records[mb.Instance]
	if old == nil {
		cr.add(mb, from)
		return
	}
	if !mb.newer(&old.member) {
		cr.known(from, &mb, old)
		return
	}
	if mb.Status == StatusSuspect && mb.Domain != cr.self.member.Domain {
		return
	}
	cr.replace(old, mb, from)
}

// known drops a record from what is owed to a neighbour that has it already,
// and corrects a neighbour whose record is older.
func (cr *Core) known(from gypsumhoist.Instance, mb *Member, rec *record) {
	ln := cr.links[from]
	switch {
	case ln == nil:
	case !rec.member.newer(mb):
		delete(ln.members, mb.Instance)
	case mb.Settled != rec.member.Settled || mb.present() != rec.member.present():
		ln.members[mb.Instance] = struct{}{}
		ln.urgent = true
	}
}

// incarnationMax keeps a broken peer from making this instance's incarnation overflow.
const incarnationMax = 1 << 63

// valid tells whether a report can be true at all.
func (mb *Member) valid() bool {
	return mb.Instance != "" && mb.Domain != "" && mb.Peer.IsValid() && mb.Status <= StatusLeft &&
		mb.Incarnation < incarnationMax
}

func (cr *Core) add(mb Member, from gypsumhoist.Instance) {
	// Also what does not matter here is kept for a while, as an older report that would may come later.
	rec := newRecord(mb, cr.now)
	cr.records[mb.Instance] = rec
	cr.supersede(rec)
	if !cr.electAt.IsZero() && mb.Domain == cr.self.member.Domain {
		cr.electAt = cr.now.Add(electAfter)
		if cr.electAt.After(cr.latestElect) {
			cr.electAt = cr.latestElect
		}
	}
	cr.changed(rec, nil, from, true)
}

// replace stores a newer report of a member.
func (cr *Core) replace(rec *record, mb Member, from gypsumhoist.Instance) {
	old := rec.member
	rec.member = mb
	rec.sum = sumOf(&mb)
	rec.changed = cr.now
	if mb.Incarnation != old.Incarnation {
		rec.doubted = false
	}
	if mb.Peer != old.Peer {
		cr.supersede(rec)
	}
	urgent := mb.Settled != old.Settled || mb.Status != old.Status || mb.Boot != old.Boot
	cr.changed(rec, &old, from, urgent)
}

// changed draws the conclusions from a record that was added or replaced.
func (cr *Core) changed(rec *record, old *Member, from gypsumhoist.Instance, urgent bool) {
	if cr.interesting(&rec.member, true) || old != nil && cr.interesting(old, true) {
		cr.outdate(urgent)
	}
	if urgent && (cr.self.member.Bridge || rec.member.Domain == cr.self.member.Domain || old != nil && old.Domain == cr.self.member.Domain) {
		cr.linksStale = true
	}
	if old == nil || old.Status != rec.member.Status || old.Boot != rec.member.Boot {
		cr.do(Noticed{Member: rec.member})
	}
	if ln := cr.links[from]; ln != nil {
		delete(ln.members, rec.member.Instance)
	}
	cr.spread(rec, old, from, urgent)
	if ln := cr.links[rec.member.Instance]; ln != nil && old != nil {
		cr.widen(ln, old)
	}
}

// widen queues what a neighbour came to want by a change of its own record.
func (cr *Core) widen(ln *link, old *Member) {
	now := &ln.to.member
	if now.Boot != old.Boot || now.Bridge != old.Bridge {
		ln.digestDue = cr.now
	}
	if now.Boot != old.Boot || !slices.Equal(now.Watches, old.Watches) {
		cr.owe(ln, cr.watchedBy(ln))
		ln.urgent = ln.urgent || cr.hurries(ln)
	}
}

// supersede takes members for gone whose address a later one has.
func (cr *Core) supersede(rec *record) {
	for _, other := range cr.records {
		same := other != rec && other != cr.self && other.member.Peer == rec.member.Peer
		if same && other.member.Status != StatusLeft && rec.member.Boot > other.member.Boot {
			mb := other.member
			mb.Status = StatusLeft
			cr.replace(other, mb, "")
		}
	}
}

// object answers a report about this instance itself that is wrong.
func (cr *Core) object(mb Member) {
	self := &cr.self.member
	same := mb.Boot == self.Boot
	if mb.Incarnation < self.Incarnation || same && mb.Incarnation == self.Incarnation && mb.Status == self.Status {
		return
	}
	if same {
		self.Incarnation = mb.Incarnation
		cr.settle()
		return
	}
	if mb.Boot > self.Boot && mb.present() && mb.Incarnation > cr.claimed {
		cr.do(Duplicated{Member: mb})
	}
	cr.claimed = max(cr.claimed, mb.Incarnation)
	cr.goBeyond()
}

// goBeyond raises the own incarnation above one that another life of the instance, or another
// process of the same name, has used. Two living ones do this in turns, but slowly.
func (cr *Core) goBeyond() {
	if cr.claimed < cr.self.member.Incarnation || cr.now.Before(cr.objectAt) {
		return
	}
	cr.objectAt = cr.now.Add(objectEvery)
	cr.self.member.Incarnation = cr.claimed
	cr.settle()
}

// settle tells a change of the own record to all at once.
func (cr *Core) settle() {
	self := &cr.self.member
	self.Incarnation++
	self.Settled = self.Incarnation
	cr.takeHints()
	cr.publish(true)
}

func (cr *Core) publish(urgent bool) {
	cr.self.sum = sumOf(&cr.self.member)
	cr.self.changed = cr.now
	cr.outdate(urgent)
	cr.linksStale = cr.linksStale || urgent
	cr.spread(cr.self, nil, "", urgent)
}
