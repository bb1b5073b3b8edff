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

// call is what an answer belongs to.
type call struct {
	kind   callKind
	target gypsumhoist.Instance
	link   *link
	// round joins the relays that ask for the same member.
	round *relayRound
	// seed is the address that a contact with a seed went to.
	seed  netip.AddrPort
	until time.Time
}

// relayRound follows the relays that ask for one member.
type relayRound struct{ open int }

// receive answers a packet of another instance.
func (cr *Core) receive(pk Packet) {
	cr.learn(pk)
	reply := cr.newPacket()
	rec := cr.records[pk.From]
	ln := cr.links[pk.From]
	switch {
	case rec == cr.self:
		rec = nil
	case ln != nil:
		ln.settle(&ln.replied, pk.Seen != ln.replies)
	case rec != nil:
		ln = cr.newLink(rec, linkProbing)
	}
	if rec == nil {
		cr.do(Reply{Packet: reply})
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
	cr.load(&reply, ln, &ln.replied)
	ln.replies++
	reply.Reply = ln.replies
	if !ln.probes() {
		ln.due = cr.now.Add(3 * ln.every())
	}
	cr.do(Reply{Packet: reply})
}

func (cr *Core) answered(id CallID, pk Packet) {
	cl, ok := cr.calls[id]
	if !ok {
		return
	}
	delete(cr.calls, id)
	if cl.target != "" && pk.From != cl.target {
		cr.missed(cl)
		cr.learn(pk)
		return
	}
	if ln := cl.link; ln != nil {
		ln.settle(&ln.sent, false)
		ln.busy = false
		ln.failing = false
		ln.seen = pk.Reply
		if pk.Boot != ln.to.member.Boot {
			// A life that this instance has not heard of may not know this instance either.
			ln.members[cr.self.member.Instance] = struct{}{}
			ln.digestDue = cr.now
		}
	}
	if cl.seed.IsValid() {
		cr.met[cl.seed] = true
	}
	cr.learn(pk)
	cr.reached(cl.target)
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
	cr.missed(cl)
}

func (cr *Core) relayed(id CallID, alive bool) {
	cl, ok := cr.calls[id]
	if !ok {
		return
	}
	delete(cr.calls, id)
	cr.relayEnded(cl, alive)
}

// expireCalls fails the calls whose outcome was lost to a full ring.
func (cr *Core) expireCalls() {
	for _, id := range sortedKeys(cr.calls) {
		if cl, ok := cr.calls[id]; ok && cr.now.After(cl.until) {
			cr.failed(id)
		}
	}
}

// missed handles a packet that got no answer.
func (cr *Core) missed(cl call) {
	ln := cl.link
	if ln == nil {
		return
	}
	ln.settle(&ln.sent, true)
	ln.busy = false
	ln.urgent = false
	ln.failing = true
	ln.due = cr.now.Add(ln.every())
	if ln.to.member.Domain != cr.self.member.Domain {
		cr.missedBridge(ln)
		return
	}
	if rec := cr.records[cl.target]; rec == ln.to && rec.member.Status == StatusAlive {
		cr.askRelays(rec)
	}
}

// askRelays has other members probe one that did not answer.
func (cr *Core) askRelays(rec *record) {
	helpers := cr.others(func(other *record) bool {
		return other != rec && other.member.Status == StatusAlive && !other.doubted
	})
	if len(helpers) == 0 {
		cr.suspect(rec)
		return
	}
	cr.rand.Shuffle(len(helpers), func(ix, jx int) { helpers[ix], helpers[jx] = helpers[jx], helpers[ix] })
	helpers = helpers[:min(relays, len(helpers))]
	round := &relayRound{open: len(helpers)}
	for _, hp := range helpers {
		id := cr.newCall(call{kind: callRelay, target: rec.member.Instance, round: round})
		cr.do(Relay{
			ID:         id,
			To:         hp.member.Peer,
			Target:     rec.member.Instance,
			TargetPeer: rec.member.Peer,
			Timeout:    relayTimeout,
		})
	}
}

func (cr *Core) relayEnded(cl call, alive bool) {
	cl.round.open--
	if alive {
		// No further end of this round brings the count to zero.
		cl.round.open += relays
		return
	}
	rec := cr.records[cl.target]
	if cl.round.open == 0 && rec != nil && rec.member.Status == StatusAlive {
		cr.suspect(rec)
	}
}

func (cr *Core) suspect(rec *record) {
	mb := rec.member
	mb.Status = StatusSuspect
	cr.replace(rec, mb, "")
}

// expireSuspects takes suspects that did not object in time for unreachable.
func (cr *Core) expireSuspects() {
	for _, rec := range cr.others(func(rec *record) bool { return rec.member.Status == StatusSuspect }) {
		if cr.now.Sub(rec.changed) < suspectFor {
			continue
		}
		mb := rec.member
		switch {
		case cr.isolated():
			cr.doubt(rec)
			continue
		case mb.Leaving:
			mb.Status = StatusLeft
		default:
			mb.Status = StatusUnreachable
		}
		cr.replace(rec, mb, "")
	}
}

// isolated tells whether this instance rather than its peers seems to be cut off:
// most of its domain doesn't answer, nor does any other domain.
func (cr *Core) isolated() bool {
	all := cr.others(func(rec *record) bool { return rec.member.Status < StatusUnreachable })
	silent := 0
	for _, rec := range all {
		if rec.doubted || rec.member.Status == StatusSuspect {
			silent++
		}
	}
	if 2*silent <= len(all) {
		return false
	}
	for _, rc := range cr.domains {
		if cr.now.Sub(rc.answered) < cutAfter {
			return false
		}
	}
	return true
}

// doubt takes a member for unreachable in the own view only, as nobody else should believe it.
func (cr *Core) doubt(rec *record) {
	rec.doubted = true
	rec.member.Status = StatusAlive
	rec.sum = sumOf(&rec.member)
	cr.linksStale = true
	cr.outdate(true)
	mb := rec.member
	mb.Status = StatusUnreachable
	cr.do(Noticed{Member: mb})
}

// trustAgain ends all doubts, as this instance is no longer cut off.
func (cr *Core) trustAgain() {
	for _, rec := range cr.records {
		if rec.doubted {
			rec.doubted = false
			rec.changed = cr.now
			cr.do(Noticed{Member: rec.member})
		}
	}
	cr.linksStale = true
	cr.outdate(true)
}

// reached notes that a member answered this instance.
func (cr *Core) reached(in gypsumhoist.Instance) {
	rec := cr.records[in]
	if rec == nil {
		return
	}
	if rec.doubted {
		cr.trustAgain()
	}
	if fd := rec.member.Domain; fd != cr.self.member.Domain {
		cr.answeredFrom(fd)
	}
}

// cutDomains returns the domains that no bridge of the own domain reaches.
func (cr *Core) cutDomains() map[gypsumhoist.FailureDomain]bool {
	out := map[gypsumhoist.FailureDomain]bool{}
	first := true
	own := cr.others(func(rec *record) bool { return rec.member.Bridge && rec.member.present() && !rec.doubted })
	if cr.self.member.Bridge {
		own = append(own, cr.self)
	}
	for _, rec := range own {
		if first {
			for _, fd := range rec.member.CutFrom {
				out[fd] = true
			}
			first = false
			continue
		}
		for fd := range out {
			if !slices.Contains(rec.member.CutFrom, fd) {
				delete(out, fd)
			}
		}
	}
	return out
}
