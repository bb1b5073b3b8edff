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
	// linkProbing is a ring neighbour that probes this instance.
	linkProbing
	// linkBridge joins two bridges.
	linkBridge
	// linkClient goes from a bridge to an instance of its domain that watches services.
	linkClient
)

// link is what an instance owes to a neighbour.
type link struct {
	to   *record
	kind linkKind
	// due is when the neighbour is probed next; digestDue, when all is compared next; pacedTo, until when news is collected.
	due, digestDue, pacedTo time.Time
	// urgent asks for a packet at once; busy tells that one is on its way; failing, that the last got no answer.
	urgent, busy, failing bool
	members               map[gypsumhoist.Instance]struct{}
	rumors                map[rumorKey]struct{}
	// sent is what the packet on its way carries, replied what the last answer carried.
	sent, replied cargo
	// replies counts the answers given, seen is the number of the last one received.
	replies, seen uint64
}

// cargo names what a packet carries.
type cargo struct {
	members []gypsumhoist.Instance
	rumors  []rumorKey
}

// probes tells whether the link is used also without news.
func (ln *link) probes() bool { return ln.kind == linkProbed || ln.kind == linkBridge }

func (ln *link) every() time.Duration {
	if ln.kind == linkBridge {
		return bridgeProbeEvery
	}
	return ringProbeEvery
}

func (ln *link) timeout() time.Duration {
	if ln.kind == linkBridge {
		return bridgeProbeTimeout
	}
	return ringProbeTimeout
}

func (ln *link) carries(in gypsumhoist.Instance) bool {
	if _, ok := ln.members[in]; ok {
		return true
	}
	return slices.Contains(ln.sent.members, in)
}

// wants tells whether a member is sent over the link.
func (cr *Core) wants(ln *link, mb *Member) bool {
	to := &ln.to.member
	self := &cr.self.member
	if mb.Instance == to.Instance {
		return mb.Status != StatusAlive
	}
	switch {
	case ln.kind == linkClient:
		return mb.Domain != self.Domain && to.watches(mb.Upstream.Service)
	case to.Domain != self.Domain && mb.Status == StatusSuspect:
		return false
	case to.Bridge && (self.Bridge || mb.Domain == to.Domain):
		return true
	case mb.Domain == to.Domain || mb.wide():
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

// relink chooses the neighbours anew after the membership changed.
func (cr *Core) relink() {
	for range 2 { // the election can change the own record once
		if !cr.linksStale {
			return
		}
		cr.linksStale = false
		ring := cr.ring()
		cr.rank, cr.elected = cr.electBridges(ring), min(bridges, len(ring))
		cr.keepLinks(cr.wantedLinks(ring, cr.rank))
	}
}

// wantedLinks returns the neighbours; where one has two kinds the first counts.
func (cr *Core) wantedLinks(ring []*record, rank int) map[gypsumhoist.Instance]linkKind {
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
	add(linkProbing, probing...)
	if !cr.self.member.Bridge {
		return want
	}
	add(linkBridge, ring[:min(bridges, len(ring))]...)
	add(linkBridge, cr.foreignBridges(rank)...)
	for _, rec := range ring {
		if len(rec.member.Watches) > 0 {
			add(linkClient, rec)
		}
	}
	return want
}

func (cr *Core) keepLinks(want map[gypsumhoist.Instance]linkKind) {
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
	ln.due = cr.now.Add(time.Duration(cr.rand.Int64N(int64(ln.every()))))
	ln.digestDue = cr.now
	if to.member.Domain != cr.self.member.Domain {
		// While many links to other domains are new, what differs now may soon not.
		ln.digestDue = cr.now.Add(time.Duration(cr.rand.Int64N(int64(len(cr.links)+1) * int64(digestStagger))))
	}
	if kind != linkClient {
		ln.members[cr.self.member.Instance] = struct{}{}
	}
	if cr.self.member.Bridge && to.member.Domain == cr.self.member.Domain {
		cr.owe(ln, cr.watchedBy(ln))
	}
	// The first packet compares all that both know; a probed neighbour gets it at once.
	ln.urgent = ln.probes() && !cr.tired(to) || kind == linkClient && len(ln.members) > 0
	return ln
}

// owe queues the records that meet a condition.
func (cr *Core) owe(ln *link, cond func(*record) bool) {
	for in, rec := range cr.records {
		if cond(rec) && cr.wants(ln, &rec.member) && !cr.fading(rec) {
			ln.members[in] = struct{}{}
		}
	}
}

// spread queues a changed record on every link but the one it came over.
func (cr *Core) spread(rec *record, old *Member, from gypsumhoist.Instance, urgent bool) {
	in := rec.member.Instance
	for to, ln := range cr.links {
		foreign := ln.to.member.Domain != cr.self.member.Domain
		if foreign && (rec.member.Status == StatusSuspect || rec.member.Domain != cr.self.member.Domain) {
			// The member's own domain tells the others; where that way is cut, digests do it later.
			continue
		}
		if to == from || !cr.wants(ln, &rec.member) && (old == nil || !cr.wants(ln, old)) {
			continue
		}
		if !urgent && foreign {
			rec.crossDue = rec.crossDue || rec.member.Domain == cr.self.member.Domain
			continue
		}
		ln.members[in] = struct{}{}
		ln.urgent = ln.urgent || urgent && (rec == cr.self || cr.hurries(ln))
	}
}

// hurries tells whether news of others goes over a link at once. Where others bring it too, it waits for the next packet.
func (cr *Core) hurries(ln *link) bool {
	switch ln.kind {
	case linkProbing:
		return false
	case linkClient:
		return ln.to.order%uint64(cr.elected) == uint64(cr.rank)
	default:
		return true
	}
}

// flush sends what is due.
func (cr *Core) flush() {
	for _, in := range sortedKeys(cr.links) {
		ln := cr.links[in]
		if !ln.busy && (ln.urgent && !cr.now.Before(ln.pacedTo) || ln.wanted() && !cr.now.Before(ln.due)) {
			cr.send(ln)
		}
	}
}

// wanted tells whether the link has something to send once it is due.
func (ln *link) wanted() bool { return ln.probes() || len(ln.members)+len(ln.rumors) > 0 }

func (cr *Core) send(ln *link) {
	pk := cr.newPacket()
	cr.load(&pk, ln, &ln.sent)
	pk.Seen = ln.seen
	if !cr.now.Before(ln.digestDue) && ln.kind != linkClient {
		cr.addDigests(&pk, &ln.to.member)
		ln.digestDue = cr.now.Add(digestEvery)
	}
	ln.urgent = len(ln.members)+len(ln.rumors) > 0
	ln.busy = true
	ln.due = cr.now.Add(ln.every())
	ln.pacedTo = cr.now.Add(newsEvery)
	id := cr.newCall(call{kind: callLink, target: ln.to.member.Instance, link: ln})
	cr.do(Exchange{ID: id, To: ln.to.member.Peer, Packet: pk, Timeout: ln.timeout()})
}

func (cr *Core) newPacket() Packet {
	return Packet{From: cr.self.member.Instance, Boot: cr.self.member.Boot}
}

// load moves queued news into a packet and notes it.
func (cr *Core) load(pk *Packet, ln *link, cg *cargo) {
	for _, in := range sortedKeys(ln.members) {
		if len(pk.Members) == packetMembers {
			break
		}
		delete(ln.members, in)
		if rec := cr.records[in]; rec != nil {
			pk.Members = append(pk.Members, rec.member)
			cg.members = append(cg.members, in)
		}
	}
	for _, key := range sortedRumors(ln.rumors) {
		if len(pk.Rumors) == packetRumors {
			break
		}
		delete(ln.rumors, key)
		if rr := cr.rumors[key]; rr != nil {
			pk.Rumors = append(pk.Rumors, rr.left(cr.now))
			cg.rumors = append(cg.rumors, key)
		}
	}
}

// settle ends a packet; what a lost one carried is queued again.
func (ln *link) settle(cg *cargo, lost bool) {
	if lost {
		for _, in := range cg.members {
			ln.members[in] = struct{}{}
		}
		for _, key := range cg.rumors {
			ln.rumors[key] = struct{}{}
		}
	}
	*cg = cargo{}
}

func sortedKeys[K cmp.Ordered, V any](mp map[K]V) []K {
	out := make([]K, 0, len(mp))
	for key := range mp {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
