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
	return &record{member: mb, sum: sumOf(&mb), order: orderOf(mb.Instance), changed: now}
}

// orderOf returns an instance's place on the ring; it is the same everywhere.
func orderOf(in gypsumhoist.Instance) uint64 { return hasher.Name(string(in)) }

// sumOf returns the part of a record in digests. Hints don't count, and a suspect is as good as alive.
func sumOf(mb *Member) uint64 {
	hs := fnv.New64a()
	var buf [9]byte
	binary.LittleEndian.PutUint64(buf[:8], mb.Settled)
	if !mb.present() {
		buf[8] = byte(mb.Status)
	}
	_, _ = hs.Write([]byte(mb.Instance))
	_, _ = hs.Write(buf[:])
	return hasher.Mix(hs.Sum64())
}

func byOrder(ra, rb *record) int {
	if ra.order != rb.order {
		return cmp.Compare(ra.order, rb.order)
	}
	return cmp.Compare(ra.member.Instance, rb.member.Instance)
}

// offsets returns how far along a ring of size members the probed neighbours are:
// the next one, then at steps that grow evenly, so that any member is a few hops away.
func offsets(size int) []int {
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

// onRing tells whether a record takes part in the ring of its domain.
func onRing(rec *record) bool { return rec.member.present() && !rec.doubted }

// ring returns the members of the own domain, this instance among them, in ring order.
func (cr *Core) ring() []*record {
	out := append(cr.others(onRing), cr.self)
	slices.SortFunc(out, byOrder)
	return out
}

// neighbours returns whom this instance probes and who probes it.
func neighbours(ring []*record, self *record) (probed, probing []*record) {
	at := slices.Index(ring, self)
	for _, off := range offsets(len(ring)) {
		probed = append(probed, ring[(at+off)%len(ring)])
		probing = append(probing, ring[(at-off+len(ring))%len(ring)])
	}
	return probed, probing
}

// electBridges sets whether this instance is a bridge: the first on the ring are.
func (cr *Core) electBridges(ring []*record) int {
	rank := slices.Index(ring, cr.self)
	on := rank < bridges && cr.electAt.IsZero()
	if on == cr.self.member.Bridge {
		return rank
	}
	cr.self.member.Bridge = on
	cr.self.member.CutFrom = nil
	clear(cr.domains)
	for _, ln := range cr.links {
		cr.owe(ln, cr.watchedBy(ln))
	}
	cr.settle()
	return rank
}
