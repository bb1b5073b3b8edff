package gossiper

import (
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// mergePacket merges the records and rumors of a packet.
func (cr *Core) mergePacket(pk Packet) {
	for _, mb := range pk.Members {
		cr.mergeMember(mb, pk.From)
	}
	for _, rm := range pk.Rumors {
		cr.mergeRumor(rm, pk.From)
	}
	rec := cr.records[pk.From]
	if rec != nil && rec.locallyUnreachable && rec.member.Boot == pk.Boot {
		cr.clearLocallyUnreachable()
	}
}

// mergeMember merges one report of a member.
func (cr *Core) mergeMember(mb Member, from gypsumhoist.Instance) {
	if !mb.valid() {
		return
	}
	if mb.Instance == cr.self.member.Instance {
		cr.refute(mb)
		return
	}
	old := cr.records[mb.Instance]
	if old == nil {
		cr.addMember(mb, from)
		return
	}
	if !mb.newer(&old.member) {
		cr.reconcile(from, &mb, old)
		return
	}
	if mb.Status == StatusSuspect && mb.Domain != cr.self.member.Domain {
		return
	}
	cr.replaceMember(old, mb, from)
}

// reconcile drops a record from the queue of a neighbour that has it already,
// and queues it for a neighbour whose report is older.
func (cr *Core) reconcile(from gypsumhoist.Instance, mb *Member, rec *record) {
	ln := cr.links[from]
	switch {
	case ln == nil:
	case !rec.member.newer(mb):
		delete(ln.members, mb.Instance)
	case mb.UrgentIncarnation != rec.member.UrgentIncarnation || mb.present() != rec.member.present():
		ln.members[mb.Instance] = struct{}{}
		ln.urgent = true
	}
}

// incarnationLimit bounds reported incarnations, so that a faulty peer can't make this instance's own overflow.
const incarnationLimit = 1 << 63

// valid reports whether a report is complete and within bounds.
func (mb *Member) valid() bool {
	return mb.Instance != "" && mb.Domain != "" && mb.Peer.IsValid() && mb.Status <= StatusLeft &&
		mb.Incarnation < incarnationLimit
}

func (cr *Core) addMember(mb Member, from gypsumhoist.Instance) {
	// A member that this instance doesn't need is kept for a while too, as an older report by which it would need it may
	// still arrive.
	rec := newRecord(mb, cr.now)
	cr.records[mb.Instance] = rec
	cr.retireAddress(rec)
	if !cr.electionAt.IsZero() && mb.Domain == cr.self.member.Domain {
		cr.electionAt = cr.now.Add(electionDelay)
		if cr.electionAt.After(cr.latestElectionAt) {
			cr.electionAt = cr.latestElectionAt
		}
	}
	cr.recordChanged(rec, nil, from, true)
}

// replaceMember replaces the record of a member.
func (cr *Core) replaceMember(rec *record, mb Member, from gypsumhoist.Instance) {
	old := rec.member
	rec.member = mb
	rec.hash = recordHash(&mb)
	rec.changedAt = cr.now
	if mb.Incarnation != old.Incarnation {
		rec.locallyUnreachable = false
	}
	if mb.Peer != old.Peer {
		cr.retireAddress(rec)
	}
	urgent := mb.UrgentIncarnation != old.UrgentIncarnation || mb.Status != old.Status || mb.Boot != old.Boot
	cr.recordChanged(rec, &old, from, urgent)
}

// recordChanged updates view, links and queues after a record was added or replaced.
func (cr *Core) recordChanged(rec *record, old *Member, from gypsumhoist.Instance, urgent bool) {
	if cr.relevant(&rec.member, true) || old != nil && cr.relevant(old, true) {
		cr.markViewStale(urgent)
	}
	if urgent && (cr.self.member.Bridge || rec.member.Domain == cr.self.member.Domain || old != nil && old.Domain == cr.self.member.Domain) {
		cr.linksStale = true
	}
	if old == nil || old.Status != rec.member.Status || old.Boot != rec.member.Boot {
		cr.emit(MemberChanged{Member: rec.member})
	}
	if rec.member.Status == StatusLeft && slices.Contains(cr.seeds, rec.member.Peer) {
		cr.seedLeft()
	}
	if ln := cr.links[from]; ln != nil {
		delete(ln.members, rec.member.Instance)
	}
	cr.queueChange(rec, old, from, urgent)
	if ln := cr.links[rec.member.Instance]; ln != nil && old != nil {
		cr.neighbourChanged(ln, old)
	}
}

// neighbourChanged queues what a neighbour needs after a change of its own record.
func (cr *Core) neighbourChanged(ln *link, old *Member) {
	current := &ln.to.member
	if current.Boot != old.Boot || current.Bridge != old.Bridge {
		ln.digestAt = cr.now
	}
	if current.Boot != old.Boot || !slices.Equal(current.Watches, old.Watches) {
		cr.queueMatching(ln, cr.watchedBy(ln))
		ln.urgent = ln.urgent || cr.sendsAtOnce(ln)
	}
}

// retireAddress marks members as left whose address a member with a later boot has taken over.
func (cr *Core) retireAddress(rec *record) {
	for _, other := range cr.records {
		same := other != rec && other != cr.self && other.member.Peer == rec.member.Peer
		if same && other.member.Status != StatusLeft && rec.member.Boot > other.member.Boot {
			mb := other.member
			mb.Status = StatusLeft
			cr.replaceMember(other, mb, "")
		}
	}
}

// refute overrides a wrong report of this instance by a higher incarnation.
func (cr *Core) refute(mb Member) {
	self := &cr.self.member
	same := mb.Boot == self.Boot
	if mb.Incarnation < self.Incarnation || same && mb.Incarnation == self.Incarnation && mb.Status == self.Status {
		return
	}
	if same {
		self.Incarnation = mb.Incarnation
		cr.publishUrgent()
		return
	}
	if mb.Boot > self.Boot && mb.present() && mb.Incarnation > cr.rivalIncarnation {
		cr.emit(DuplicateName{Member: mb})
	}
	cr.rivalIncarnation = max(cr.rivalIncarnation, mb.Incarnation)
	cr.raiseIncarnation()
}

// raiseIncarnation raises the instance's incarnation above one that an earlier process of the instance, or another
// process of the same name, has used. Two running processes raise it in turn, each at most once in minRefuteInterval.
func (cr *Core) raiseIncarnation() {
	if cr.rivalIncarnation < cr.self.member.Incarnation || cr.now.Before(cr.refuteAt) {
		return
	}
	cr.refuteAt = cr.now.Add(minRefuteInterval)
	cr.self.member.Incarnation = cr.rivalIncarnation
	cr.publishUrgent()
}

// publishUrgent publishes a change of the instance's record that is sent at once.
func (cr *Core) publishUrgent() {
	self := &cr.self.member
	self.Incarnation++
	self.UrgentIncarnation = self.Incarnation
	cr.applyHints()
	cr.publishSelf(true)
}

func (cr *Core) publishSelf(urgent bool) {
	cr.self.hash = recordHash(&cr.self.member)
	cr.self.changedAt = cr.now
	cr.markViewStale(urgent)
	cr.linksStale = cr.linksStale || urgent
	cr.queueChange(cr.self, nil, "", urgent)
}
