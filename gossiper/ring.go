package gossiper

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

func newRecord(mb Member, now time.Time) *record {
	return &record{member: mb, hash: recordHash(&mb), ringPosition: ringPosition(mb.Instance), changedAt: now}
}

// ringPosition returns an instance's position on the ring, which is the same on every instance.
func ringPosition(in gypsumhoist.Instance) uint64 { return hasher.Name(string(in)) }

// recordHash returns what a record adds to digests. It leaves out hints, and a suspect counts as alive.
func recordHash(mb *Member) uint64 {
	hs := fnv.New64a()
	var buf [9]byte
	binary.LittleEndian.PutUint64(buf[:8], mb.UrgentIncarnation)
	if !mb.present() {
		buf[8] = byte(mb.Status)
	}
	_, _ = hs.Write([]byte(mb.Instance))
	_, _ = hs.Write(buf[:])
	return hasher.Mix(hs.Sum64())
}

func compareRingPosition(ra, rb *record) int {
	if ra.ringPosition != rb.ringPosition {
		return cmp.Compare(ra.ringPosition, rb.ringPosition)
	}
	return cmp.Compare(ra.member.Instance, rb.member.Instance)
}

// fingerOffsets returns the distances of the probed neighbours on a ring of size members: the next member, then at
// distances that grow geometrically, so that any member is a few hops away.
func fingerOffsets(size int) []int {
	var out []int
	last := 0
	for ix := range ringFingers {
		step := int(math.Round(math.Pow(float64(size), float64(ix)/ringFingers)))
		last = max(last+1, step)
		if last >= size {
			break
		}
		out = append(out, last)
	}
	return out
}

// onRing reports whether a record is on the ring of its domain.
func onRing(rec *record) bool { return rec.member.present() && !rec.locallyUnreachable }

// ring returns the members of this instance's domain, itself included, in ring order.
func (cr *Core) ring() []*record {
	out := append(cr.domainPeers(onRing), cr.self)
	slices.SortFunc(out, compareRingPosition)
	return out
}

// neighbours returns the members that this instance probes and those that probe it.
func neighbours(ring []*record, self *record) (probed, probing []*record) {
	at := slices.Index(ring, self)
	for _, off := range fingerOffsets(len(ring)) {
		probed = append(probed, ring[(at+off)%len(ring)])
		probing = append(probing, ring[(at-off+len(ring))%len(ring)])
	}
	return probed, probing
}

// electBridges sets whether this instance is a bridge, which the first bridgesPerDomain members on the ring are.
// It returns the instance's index on the ring.
func (cr *Core) electBridges(ring []*record) int {
	rank := slices.Index(ring, cr.self)
	on := rank < bridgesPerDomain && cr.electionAt.IsZero()
	if on == cr.self.member.Bridge {
		return rank
	}
	cr.self.member.Bridge = on
	cr.self.member.UnreachableDomains = nil
	clear(cr.domains)
	for _, ln := range cr.links {
		cr.queueMatching(ln, cr.watchedBy(ln))
	}
	cr.publishUrgent()
	return rank
}
