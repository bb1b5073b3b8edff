package gossiper

import (
	"maps"
	"strconv"

	"github.com/gypsumhoist/gypsumhoist"
)

// Prefixes of a Digest's Scope, followed by the name of a domain or the number of a part.
const (
	scopePart      = "part:" // one part of the members of the requester's domain
	scopeAll       = "all:"  // all members of the domain
	scopeFleetWide = "wide:" // its bridges and control instances
	// scopeRumors is the scope of all rumors.
	scopeRumors = "rumors"
)

// scopeParts is how many scopes the requester's domain is split into, so that one difference transfers few records.
const scopeParts = 16

// scopeOf returns the scope that covers a record, as seen from the domain viewpoint; "" for none.
// With deep all members of other domains are covered, else those that every instance keeps.
func scopeOf(rec *record, viewpoint gypsumhoist.FailureDomain, deep bool) string {
	switch mb := &rec.member; {
	case mb.Domain == viewpoint:
		return scopePart + strconv.FormatUint(rec.ringPosition%scopeParts, scopeParts)
	case deep:
		return scopeAll + string(mb.Domain)
	case mb.fleetWide():
		return scopeFleetWide + string(mb.Domain)
	default:
		return ""
	}
}

// tombstoneExpiring reports whether a member has been gone for so long that its record is no longer sent.
// That is well before any instance drops the record, so that none gets it back afterwards.
func (cr *Core) tombstoneExpiring(rec *record) bool {
	return !rec.member.present() && cr.now.Sub(rec.changedAt) > tombstoneRetention/2
}

// digests returns the digests by scope, as seen from the domain viewpoint.
func (cr *Core) digests(viewpoint gypsumhoist.FailureDomain, deep bool) map[string]uint64 {
	out := map[string]uint64{scopeRumors: cr.rumorDigest()}
	for _, rec := range cr.records {
		scope := scopeOf(rec, viewpoint, deep)
		// Suspects are in it as if alive, because suspicions are not sent to other domains.
		if scope != "" && !cr.tombstoneExpiring(rec) {
			out[scope] += rec.hash
		}
	}
	return out
}

// addDigests adds digests of what this instance knows to a packet for a member.
func (cr *Core) addDigests(pk *Packet, to *Member) {
	self := &cr.self.member
	pk.Domain = self.Domain
	pk.Deep = self.Bridge && to.Bridge
	sums := cr.digests(pk.Domain, pk.Deep)
	if pk.Deep && to.Domain != self.Domain {
		cr.dropThirdDomains(sums, to.Domain)
	}
	pk.Digests = listDigests(sums)
}

// dropThirdDomains omits the domains whose own bridges update this one: all but the two domains of a link
// and those that this bridge can't reach.
func (cr *Core) dropThirdDomains(sums map[string]uint64, to gypsumhoist.FailureDomain) {
	for fd, rc := range cr.domains {
		if fd != to && !rc.unreachable {
			delete(sums, scopeAll+string(fd))
		}
	}
}

func listDigests(sums map[string]uint64) []Digest {
	out := make([]Digest, 0, len(sums))
	for _, scope := range sortedKeys(sums) {
		out = append(out, Digest{Scope: scope, Sum: sums[scope]})
	}
	return out
}

// compare queues on a link the records in scopes whose digests differ, and returns this instance's digests.
func (cr *Core) compare(ln *link, pk *Packet) []Digest {
	local := cr.digests(pk.Domain, pk.Deep)
	remote := map[string]uint64{}
	for _, dg := range pk.Digests {
		remote[dg.Scope] = dg.Sum
	}
	if pk.Deep && ln.to.member.Domain != cr.self.member.Domain {
		own := scopeAll + string(cr.self.member.Domain)
		maps.DeleteFunc(local, func(scope string, _ uint64) bool {
			_, requested := remote[scope]
			return !requested && scope != own
		})
	}
	cr.queueMatching(ln, func(rec *record) bool {
		scope := scopeOf(rec, pk.Domain, pk.Deep)
		return scope != "" && local[scope] != remote[scope]
	})
	if local[scopeRumors] != remote[scopeRumors] {
		for key := range cr.rumors {
			ln.rumors[key] = struct{}{}
		}
	}
	return listDigests(local)
}
