package gossiper

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// contactSeeds joins the fleet by its seeds. A bridge goes on to contact seeds, less often, so that parts of the fleet
// that don't know each other merge.
func (cr *Core) contactSeeds() {
	if len(cr.links) > 0 && !cr.self.member.Bridge {
		return
	}
	if len(cr.seeds) == 0 || cr.hasLeft() || cr.now.Before(cr.nextSeedAt) {
		return
	}
	cr.nextSeedAt = cr.now.Add(joinInterval)
	if len(cr.links) > 0 {
		jitter := time.Duration(cr.rand.Int64N(int64(seedCheckInterval)))
		cr.nextSeedAt = cr.now.Add(seedCheckInterval/2 + jitter)
	}
	seeds := cr.unknownSeeds()
	if len(seeds) == 0 {
		seeds = cr.seeds
	} else if len(cr.links) > 0 {
		cr.nextSeedAt = cr.now.Add(cr.seedInterval())
	}
	count := 1
	if len(cr.links) == 0 {
		count = min(seedFanout, len(seeds))
	}
	for range count {
		seed := seeds[cr.seedIndex%len(seeds)]
		cr.seedIndex++
		pk := cr.newPacket()
		pk.Members = []Member{cr.self.member}
		cr.addDigests(&pk, &Member{})
		id := cr.newCall(call{kind: callContact, seed: seed})
		cr.emit(Exchange{ID: id, To: seed, Packet: pk, Timeout: bridgeProbeTimeout})
	}
}

// unknownSeeds returns the seeds whose address is that of no present member, and that have never answered or whose member has left: it may come
// back without knowing anyone.
func (cr *Core) unknownSeeds() []netip.AddrPort {
	known := maps.Clone(cr.answeredSeeds)
	for _, rec := range cr.records {
		if rec.member.Status == StatusLeft {
			delete(known, rec.member.Peer)
		}
	}
	for _, rec := range cr.records {
		known[rec.member.Peer] = known[rec.member.Peer] || rec.member.present()
	}
	return slices.DeleteFunc(slices.Clone(cr.seeds), func(ap netip.AddrPort) bool { return known[ap] })
}

// seedInterval returns after which time a bridge contacts the next unknown seed. While a seed that has just left may come back, that is
// soon: instances that start with it would take themselves for the whole fleet.
func (cr *Core) seedInterval() time.Duration {
	if cr.now.Before(cr.seedReturnsUntil) {
		return joinInterval
	}
	return unknownSeedInterval
}

// seedLeft schedules a contact to a seed that has just left.
func (cr *Core) seedLeft() {
	cr.seedReturnsUntil = cr.now.Add(seedReturnTime)
	if at := cr.now.Add(joinInterval); at.Before(cr.nextSeedAt) {
		cr.nextSeedAt = at
	}
}

// reconnect contacts a random unreachable member of this instance's domain.
func (cr *Core) reconnect() {
	if cr.now.Before(cr.reconnectAt) || cr.hasLeft() {
		return
	}
	on := cr.domainPeers(onRing)
	interval := max(reconnectInterval, time.Duration(len(on))*100*time.Millisecond)
	cr.reconnectAt = cr.now.Add(interval/2 + time.Duration(cr.rand.Int64N(int64(interval))))
	unreachable := cr.domainPeers(func(rec *record) bool { return rec.locallyUnreachable || rec.member.Status == StatusUnreachable })
	if len(unreachable) == 0 {
		return
	}
	cr.contact(unreachable[cr.rand.IntN(len(unreachable))])
}

// contact sends a member the records and digests by which it can refute a wrong report of it and find what it missed.
func (cr *Core) contact(rec *record) {
	pk := cr.newPacket()
	pk.Members = []Member{cr.self.member}
	if !rec.member.present() {
		pk.Members = append(pk.Members, rec.member)
	}
	cr.addDigests(&pk, &rec.member)
	id := cr.newCall(call{kind: callContact, target: rec.member.Instance})
	cr.emit(Exchange{ID: id, To: rec.member.Peer, Packet: pk, Timeout: bridgeProbeTimeout})
}

// foreignBridges returns the bridge of each other domain that this bridge, at its rank on the ring, probes.
func (cr *Core) foreignBridges(rank int) []*record {
	byDomain := map[gypsumhoist.FailureDomain][]*record{}
	for _, rec := range cr.records {
		fd := rec.member.Domain
		if fd != cr.self.member.Domain && rec.member.Status != StatusLeft {
			byDomain[fd] = append(byDomain[fd], rec)
		}
	}
	cr.pruneDomains(byDomain)
	var out []*record
	for _, fd := range sortedKeys(byDomain) {
		rc := cr.domains[fd]
		if rc == nil {
			rc = &reachability{lastAnswer: cr.now}
			cr.domains[fd] = rc
		}
		recs := byDomain[fd]
		slices.SortFunc(recs, compareBridges)
		out = append(out, recs[(rank+rc.bridgeIndex)%candidateCount(recs, rc)])
	}
	return out
}

// candidateCount returns how many members of a domain are probed in rotation: its bridges,
// or all members if it has no bridge or its bridges keep failing.
func candidateCount(recs []*record, rc *reachability) int {
	count := 0
	for _, rec := range recs {
		if rec.member.Bridge && rec.member.present() {
			count++
		}
	}
	if count == 0 || rc.failures >= 2*count {
		return len(recs)
	}
	return count
}

// compareBridges orders present bridges first, then other present members.
func compareBridges(ra, rb *record) int {
	if da := bridgeOrder(ra) - bridgeOrder(rb); da != 0 {
		return da
	}
	return compareRingPosition(ra, rb)
}

func bridgeOrder(rec *record) int {
	switch {
	case rec.member.Bridge && rec.member.present():
		return 0
	case rec.member.present():
		return 1
	default:
		return 2
	}
}

// pruneDomains drops the domains without a known member.
func (cr *Core) pruneDomains(known map[gypsumhoist.FailureDomain][]*record) {
	for fd := range cr.domains {
		if known[fd] == nil {
			delete(cr.domains, fd)
		}
	}
}

// bridgeFailed counts a failed probe of another domain and moves on to its next bridge.
func (cr *Core) bridgeFailed(ln *link) {
	if ln.kind != linkBridge {
		return
	}
	if rc := cr.domains[ln.to.member.Domain]; rc != nil {
		rc.bridgeIndex++
		rc.failures++
		cr.linksStale = true
	}
}

// domainFailing reports whether so many probes of a member's domain in a row have failed that a new link to it
// need not send at once.
func (cr *Core) domainFailing(rec *record) bool {
	rc := cr.domains[rec.member.Domain]
	return rc != nil && rc.failures >= bridgesPerDomain
}

// domainAnswered records that a domain can be reached.
func (cr *Core) domainAnswered(fd gypsumhoist.FailureDomain) {
	rc := cr.domains[fd]
	if rc == nil {
		return
	}
	rc.lastAnswer = cr.now
	rc.failures = 0
	if rc.unreachable {
		rc.unreachable = false
		cr.publishUnreachable()
	}
}

// checkDomains marks the domains unreachable that have not answered within domainTimeout.
func (cr *Core) checkDomains() {
	found := false
	for _, rc := range cr.domains {
		if cr.self.member.Bridge && !rc.unreachable && rc.failures > 0 && cr.now.Sub(rc.lastAnswer) > domainTimeout {
			rc.unreachable = true
			found = true
		}
	}
	if found {
		cr.publishUnreachable()
	}
}

// publishUnreachable publishes which domains this bridge can't reach.
func (cr *Core) publishUnreachable() {
	var unreachable []gypsumhoist.FailureDomain
	for _, fd := range sortedKeys(cr.domains) {
		if cr.domains[fd].unreachable {
			unreachable = append(unreachable, fd)
		}
	}
	cr.self.member.UnreachableDomains = unreachable
	cr.publishUrgent()
}
