package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

type linkKind uint8

const (
	// linkProbed is a ring neighbour that this instance probes.
	linkProbed linkKind = iota
	// linkProber is a ring neighbour that probes this instance.
	linkProber
	// linkBridge joins two bridges.
	linkBridge
	// linkWatcher goes from a bridge to an instance of its domain that watches services.
	linkWatcher
)

// link is the state of the exchange with one neighbour, and the updates queued for it.
type link struct {
	to   *record
	kind linkKind
	// dueAt is when the next packet is due, digestAt when digests are compared next, batchUntil until when updates are batched.
	dueAt, digestAt, batchUntil time.Time
	// urgent asks for a packet as soon as batching allows; inFlight means that one awaits its answer,
	// failing that the last got none.
	urgent, inFlight, failing bool
	members                   map[gypsumhoist.Instance]struct{}
	rumors                    map[rumorKey]struct{}
	// sent is what the packet in flight carries, replied what the last answer carried.
	sent, replied contents
	// replies counts the answers given, lastReply is the number of the last one received.
	replies, lastReply uint64
}

// contents lists the records and rumors that a packet carries.
type contents struct {
	members []gypsumhoist.Instance
	rumors  []rumorKey
}

// probes reports whether packets are sent over the link also without updates.
func (ln *link) probes() bool { return ln.kind == linkProbed || ln.kind == linkBridge }

func (ln *link) interval() time.Duration {
	if ln.kind == linkBridge {
		return bridgeProbeInterval
	}
	return ringProbeInterval
}

func (ln *link) timeout() time.Duration {
	if ln.kind == linkBridge {
		return bridgeProbeTimeout
	}
	return ringProbeTimeout
}

// hasPending reports whether the record of an instance is queued or awaits an acknowledgement.
func (ln *link) hasPending(in gypsumhoist.Instance) bool {
	if _, ok := ln.members[in]; ok {
		return true
	}
	return slices.Contains(ln.sent.members, in)
}

// hasPendingRumor reports whether a rumor is queued or awaits an acknowledgement.
func (ln *link) hasPendingRumor(key rumorKey) bool {
	if _, ok := ln.rumors[key]; ok {
		return true
	}
	return slices.Contains(ln.sent.rumors, key)
}

// shouldSend reports whether the record of a member is sent over the link. A neighbour gets its own record
// only where that says it is not alive, so that it can refute it.
func (cr *Core) shouldSend(ln *link, mb *Member) bool {
	to := &ln.to.member
	self := &cr.self.member
	if mb.Instance == to.Instance {
		return mb.Status != StatusAlive
	}
	switch {
	case ln.kind == linkWatcher:
		return mb.Domain != self.Domain && to.watches(mb.Upstream.Service)
	case to.Domain != self.Domain && mb.Status == StatusSuspect:
		return false
	case to.Bridge && (self.Bridge || mb.Domain == to.Domain):
		return true
	case mb.Domain == to.Domain || mb.fleetWide():
		return true
	default:
		return self.Bridge && to.Domain == self.Domain && to.watches(mb.Upstream.Service)
	}
}

// watchedBy returns a condition for the members of other domains that a neighbour watches.
func (cr *Core) watchedBy(ln *link) func(*record) bool {
	return func(rec *record) bool {
		mb := &rec.member
		return mb.Domain != cr.self.member.Domain && ln.to.member.watches(mb.Upstream.Service)
	}
}

// updateLinks selects the neighbours anew after the membership changed.
func (cr *Core) updateLinks() {
	for range 2 { // the election can change this instance's record once
		if !cr.linksStale {
			return
		}
		cr.linksStale = false
		ring := cr.ring()
		cr.rank, cr.bridgeCount = cr.electBridges(ring), min(bridgesPerDomain, len(ring))
		cr.applyLinks(cr.selectLinks(ring, cr.rank))
	}
}

// selectLinks returns the neighbours and the kind of link to each; where two kinds apply, the first counts.
func (cr *Core) selectLinks(ring []*record, rank int) map[gypsumhoist.Instance]linkKind {
	want := map[gypsumhoist.Instance]linkKind{}
	add := func(kind linkKind, recs ...*record) {
		for _, rec := range recs {
			if _, ok := want[rec.member.Instance]; !ok && rec != cr.self {
				want[rec.member.Instance] = kind
			}
		}
	}
	probed, probing := neighbours(ring, cr.self)
	add(linkProbed, probed...)
	add(linkProber, probing...)
	if !cr.self.member.Bridge {
		return want
	}
	add(linkBridge, ring[:min(bridgesPerDomain, len(ring))]...)
	add(linkBridge, cr.foreignBridges(rank)...)
	for _, rec := range ring {
		if len(rec.member.Watches) > 0 {
			add(linkWatcher, rec)
		}
	}
	return want
}

func (cr *Core) applyLinks(want map[gypsumhoist.Instance]linkKind) {
	for in, ln := range cr.links {
		kind, ok := want[in]
		if !ok || cr.records[in] != ln.to {
			delete(cr.links, in)
			continue
		}
		ln.kind = kind
	}
	for _, in := range sortedKeys(want) {
		if cr.links[in] == nil {
			cr.links[in] = cr.newLink(cr.records[in], want[in])
		}
	}
}

func (cr *Core) newLink(to *record, kind linkKind) *link {
	ln := &link{
		to:      to,
		kind:    kind,
		members: map[gypsumhoist.Instance]struct{}{},
		rumors:  map[rumorKey]struct{}{},
	}
	ln.dueAt = cr.now.Add(time.Duration(cr.rand.Int64N(int64(ln.interval()))))
	ln.digestAt = cr.now
	if to.member.Domain != cr.self.member.Domain {
		// While many links to other domains are new, what differs now may soon be updated over another link.
		ln.digestAt = cr.now.Add(time.Duration(cr.rand.Int64N(int64(len(cr.links)+1) * int64(digestJitterPerLink))))
	}
	if kind != linkWatcher {
		ln.members[cr.self.member.Instance] = struct{}{}
	}
	if cr.self.member.Bridge && to.member.Domain == cr.self.member.Domain {
		cr.queueMatching(ln, cr.watchedBy(ln))
	}
	// The first packet carries digests of all that this instance knows; a neighbour that it probes gets it at once.
	ln.urgent = ln.probes() && !cr.domainFailing(to) || kind == linkWatcher && len(ln.members) > 0
	return ln
}

// queueMatching queues the records on a link that meet a condition and are to be sent over it.
func (cr *Core) queueMatching(ln *link, cond func(*record) bool) {
	for in, rec := range cr.records {
		if cond(rec) && cr.shouldSend(ln, &rec.member) && !cr.tombstoneExpiring(rec) {
			ln.members[in] = struct{}{}
		}
	}
}

// queueChange queues a changed record on every link but the one it came over.
func (cr *Core) queueChange(rec *record, old *Member, from gypsumhoist.Instance, urgent bool) {
	in := rec.member.Instance
	for to, ln := range cr.links {
		foreign := ln.to.member.Domain != cr.self.member.Domain
		if foreign && (rec.member.Status == StatusSuspect || rec.member.Domain != cr.self.member.Domain) {
			// The member's own domain updates the others; where it can't reach them, digests do so later.
			continue
		}
		if to == from || !cr.shouldSend(ln, &rec.member) && (old == nil || !cr.shouldSend(ln, old)) {
			continue
		}
		if !urgent && foreign {
			rec.foreignHintDue = rec.foreignHintDue || rec.member.Domain == cr.self.member.Domain
			continue
		}
		ln.members[in] = struct{}{}
		ln.urgent = ln.urgent || urgent && (rec == cr.self || cr.sendsAtOnce(ln))
	}
}

// sendsAtOnce reports whether updates about other members go over a link at once. Where other instances send them too,
// they wait for the next packet.
func (cr *Core) sendsAtOnce(ln *link) bool {
	switch ln.kind {
	case linkProber:
		return false
	case linkWatcher:
		return ln.to.ringPosition%uint64(cr.bridgeCount) == uint64(cr.rank)
	default:
		return true
	}
}

// flush sends the packets that are due.
func (cr *Core) flush() {
	for _, in := range sortedKeys(cr.links) {
		ln := cr.links[in]
		if !ln.inFlight && (ln.urgent && !cr.now.Before(ln.batchUntil) || ln.hasWork() && !cr.now.Before(ln.dueAt)) {
			cr.send(ln)
		}
	}
}

// hasWork reports whether the link has something to send once it is due.
func (ln *link) hasWork() bool { return ln.probes() || len(ln.members)+len(ln.rumors) > 0 }

func (cr *Core) send(ln *link) {
	pk := cr.newPacket()
	cr.fill(&pk, ln, &ln.sent)
	pk.Seen = ln.lastReply
	if !cr.now.Before(ln.digestAt) && ln.kind != linkWatcher {
		cr.addDigests(&pk, &ln.to.member)
		ln.digestAt = cr.now.Add(digestInterval)
	}
	ln.urgent = len(ln.members)+len(ln.rumors) > 0
	ln.inFlight = true
	ln.dueAt = cr.now.Add(ln.interval())
	ln.batchUntil = cr.now.Add(minUpdateInterval)
	id := cr.newCall(call{kind: callLink, target: ln.to.member.Instance, link: ln})
	cr.emit(Exchange{ID: id, To: ln.to.member.Peer, Packet: pk, Timeout: ln.timeout()})
}

func (cr *Core) newPacket() Packet {
	return Packet{From: cr.self.member.Instance, Boot: cr.self.member.Boot}
}

// fill moves queued updates into a packet and lists them in ct.
func (cr *Core) fill(pk *Packet, ln *link, ct *contents) {
	for _, in := range sortedKeys(ln.members) {
		if len(pk.Members) == maxPacketMembers {
			break
		}
		delete(ln.members, in)
		if rec := cr.records[in]; rec != nil {
			pk.Members = append(pk.Members, rec.member)
			ct.members = append(ct.members, in)
		}
	}
	for _, key := range sortedRumorKeys(ln.rumors) {
		if len(pk.Rumors) == maxPacketRumors {
			break
		}
		delete(ln.rumors, key)
		if rr := cr.rumors[key]; rr != nil {
			pk.Rumors = append(pk.Rumors, rr.remaining(cr.now))
			ct.rumors = append(ct.rumors, key)
		}
	}
}

// finish ends a packet; the contents of a lost one are queued again.
func (cr *Core) finish(ln *link, ct *contents, lost bool) {
	if !lost {
		cr.markShared(ln, ct)
	} else {
		for _, in := range ct.members {
			ln.members[in] = struct{}{}
		}
		for _, key := range ct.rumors {
			ln.rumors[key] = struct{}{}
		}
	}
	*ct = contents{}
}

func sortedKeys[K cmp.Ordered, V any](mp map[K]V) []K {
	out := make([]K, 0, len(mp))
	for key := range mp {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
