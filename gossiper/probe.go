package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

type callKind uint8

const (
	callLink callKind = iota
	callRelay
	// callContact goes to a seed or to an unreachable member.
	callContact
)

// call is an outgoing call that awaits its outcome.
type call struct {
	kind   callKind
	target gypsumhoist.Instance
	link   *link
	// round groups the relays that probe the same member.
	round *relayRound
	// seed is the address of the seed that was contacted.
	seed     netip.AddrPort
	deadline time.Time
}

// relayRound counts the relays that probe one member and have not ended.
type relayRound struct{ pending int }

// receive merges and answers a packet of another instance.
func (cr *Core) receive(pk Packet) {
	cr.mergePacket(pk)
	reply := cr.newPacket()
	rec := cr.records[pk.From]
	ln := cr.links[pk.From]
	switch {
	case rec == cr.self:
		rec = nil
	case ln != nil:
		cr.finish(ln, &ln.replied, pk.Seen != ln.replies)
	case rec != nil:
		ln = cr.newLink(rec, linkProber)
	}
	if rec == nil {
		cr.emit(Reply{Packet: reply})
		return
	}
	if len(pk.Digests) > 0 {
		reply.Digests = cr.compare(ln, &pk)
		reply.Domain = pk.Domain
		reply.Deep = pk.Deep
	}
	if !rec.member.present() || rec.member.Status == StatusSuspect {
		ln.members[pk.From] = struct{}{}
	}
	cr.fill(&reply, ln, &ln.replied)
	ln.replies++
	reply.Reply = ln.replies
	if !ln.probes() {
		ln.dueAt = cr.now.Add(3 * ln.interval())
	}
	cr.emit(Reply{Packet: reply})
}

func (cr *Core) answered(id CallID, pk Packet) {
	cl, ok := cr.calls[id]
	if !ok {
		return
	}
	delete(cr.calls, id)
	if cl.target != "" && pk.From != cl.target {
		cr.exchangeFailed(cl)
		cr.mergePacket(pk)
		return
	}
	if ln := cl.link; ln != nil {
		cr.finish(ln, &ln.sent, false)
		ln.inFlight = false
		ln.failing = false
		ln.lastReply = pk.Reply
		if pk.Boot != ln.to.member.Boot {
			// A process start unknown here may not know this instance either.
			ln.members[cr.self.member.Instance] = struct{}{}
			ln.digestAt = cr.now
		}
	}
	if cl.seed.IsValid() {
		cr.answeredSeeds[cl.seed] = true
	}
	cr.mergePacket(pk)
	cr.memberAnswered(cl.target)
	if cl.link != nil && len(pk.Digests) > 0 {
		cr.compare(cl.link, &pk)
		cl.link.urgent = cl.link.urgent || len(cl.link.members)+len(cl.link.rumors) > 0
	}
}

func (cr *Core) failed(id CallID) {
	cl, ok := cr.calls[id]
	if !ok {
		return
	}
	delete(cr.calls, id)
	if cl.kind == callRelay {
		cr.relayEnded(cl, false)
		return
	}
	cr.exchangeFailed(cl)
}

func (cr *Core) relayed(id CallID, alive bool) {
	cl, ok := cr.calls[id]
	if !ok {
		return
	}
	delete(cr.calls, id)
	cr.relayEnded(cl, alive)
}

// expireCalls fails the calls whose outcome was lost because the inbox was full.
func (cr *Core) expireCalls() {
	for _, id := range sortedKeys(cr.calls) {
		if cl, ok := cr.calls[id]; ok && cr.now.After(cl.deadline) {
			cr.failed(id)
		}
	}
}

// exchangeFailed handles an Exchange that got no answer.
func (cr *Core) exchangeFailed(cl call) {
	ln := cl.link
	if ln == nil {
		return
	}
	cr.finish(ln, &ln.sent, true)
	ln.inFlight = false
	ln.urgent = false
	ln.failing = true
	ln.dueAt = cr.now.Add(ln.interval())
	if ln.to.member.Domain != cr.self.member.Domain {
		cr.bridgeFailed(ln)
		return
	}
	if rec := cr.records[cl.target]; rec == ln.to && rec.member.Status == StatusAlive {
		cr.requestRelays(rec)
	}
}

// requestRelays has other members probe one that did not answer; with no other member it is suspected at once.
func (cr *Core) requestRelays(rec *record) {
	helpers := cr.domainPeers(func(other *record) bool {
		return other != rec && other.member.Status == StatusAlive && !other.locallyUnreachable
	})
	if len(helpers) == 0 {
		cr.markSuspect(rec)
		return
	}
	cr.rand.Shuffle(len(helpers), func(ix, jx int) { helpers[ix], helpers[jx] = helpers[jx], helpers[ix] })
	helpers = helpers[:min(relayFanout, len(helpers))]
	round := &relayRound{pending: len(helpers)}
	for _, hp := range helpers {
		id := cr.newCall(call{kind: callRelay, target: rec.member.Instance, round: round})
		cr.emit(Relay{
			ID:         id,
			To:         hp.member.Peer,
			Target:     rec.member.Instance,
			TargetPeer: rec.member.Peer,
			Timeout:    relayTimeout,
		})
	}
}

func (cr *Core) relayEnded(cl call, alive bool) {
	cl.round.pending--
	if alive {
		// Keeps the count above zero, so that relays of this round that fail later do not make the member a suspect.
		cl.round.pending += relayFanout
		return
	}
	rec := cr.records[cl.target]
	if cl.round.pending == 0 && rec != nil && rec.member.Status == StatusAlive {
		cr.markSuspect(rec)
	}
}

func (cr *Core) markSuspect(rec *record) {
	mb := rec.member
	mb.Status = StatusSuspect
	cr.replaceMember(rec, mb, "")
}

// expireSuspects marks suspects as unreachable that did not refute the suspicion in time, or as left if they were leaving.
func (cr *Core) expireSuspects() {
	for _, rec := range cr.domainPeers(func(rec *record) bool { return rec.member.Status == StatusSuspect }) {
		if cr.now.Sub(rec.changedAt) < suspicionTimeout {
			continue
		}
		mb := rec.member
		switch {
		case cr.isolated():
			cr.markLocallyUnreachable(rec)
			continue
		case mb.Leaving:
			mb.Status = StatusLeft
		default:
			mb.Status = StatusUnreachable
		}
		cr.replaceMember(rec, mb, "")
	}
}

// isolated reports whether this instance rather than its peers seems to be cut off:
// most of its domain doesn't answer, nor does any other domain.
func (cr *Core) isolated() bool {
	all := cr.domainPeers(func(rec *record) bool { return rec.member.Status < StatusUnreachable })
	silent := 0
	for _, rec := range all {
		if rec.locallyUnreachable || rec.member.Status == StatusSuspect {
			silent++
		}
	}
	if 2*silent <= len(all) {
		return false
	}
	for _, rc := range cr.domains {
		if cr.now.Sub(rc.lastAnswer) < domainTimeout {
			return false
		}
	}
	return true
}

// markLocallyUnreachable shows a member as unreachable only in this instance's view, because an isolated instance
// must not report others as unreachable.
func (cr *Core) markLocallyUnreachable(rec *record) {
	rec.locallyUnreachable = true
	rec.member.Status = StatusAlive
	rec.hash = recordHash(&rec.member)
	cr.linksStale = true
	cr.markViewStale(true)
	mb := rec.member
	mb.Status = StatusUnreachable
	cr.emit(MemberChanged{Member: mb})
}

// clearLocallyUnreachable clears the mark of all members, as this instance is no longer isolated.
func (cr *Core) clearLocallyUnreachable() {
	for _, rec := range cr.records {
		if rec.locallyUnreachable {
			rec.locallyUnreachable = false
			rec.changedAt = cr.now
			cr.emit(MemberChanged{Member: rec.member})
		}
	}
	cr.linksStale = true
	cr.markViewStale(true)
}

// memberAnswered records that a member answered this instance.
func (cr *Core) memberAnswered(in gypsumhoist.Instance) {
	rec := cr.records[in]
	if rec == nil {
		return
	}
	if rec.locallyUnreachable {
		cr.clearLocallyUnreachable()
	}
	if fd := rec.member.Domain; fd != cr.self.member.Domain {
		cr.domainAnswered(fd)
	}
}

// unreachableDomains returns the domains that no bridge of this instance's domain reaches.
func (cr *Core) unreachableDomains() map[gypsumhoist.FailureDomain]bool {
	out := map[gypsumhoist.FailureDomain]bool{}
	first := true
	own := cr.domainPeers(func(rec *record) bool { return rec.member.Bridge && rec.member.present() && !rec.locallyUnreachable })
	if cr.self.member.Bridge {
		own = append(own, cr.self)
	}
	for _, rec := range own {
		if first {
			for _, fd := range rec.member.UnreachableDomains {
				out[fd] = true
			}
			first = false
			continue
		}
		for fd := range out {
			if !slices.Contains(rec.member.UnreachableDomains, fd) {
				delete(out, fd)
			}
		}
	}
	return out
}
