package gossiper

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

type rumorKey struct{ topic, key string }

type rumorRecord struct {
	rumor Rumor
	ends  time.Time
	sum   uint64
}

// left returns the rumor with what is left of its life.
func (rr *rumorRecord) left(now time.Time) Rumor {
	rm := rr.rumor
	rm.Life = rr.ends.Sub(now)
	return rm
}

func (rm *Rumor) valid() bool {
	return rm.Topic != "" && len(rm.Topic) <= RumorNameMax && len(rm.Key) <= RumorNameMax &&
		len(rm.Payload) <= RumorPayloadMax && rm.Life > 0
}

func (rm *Rumor) newer(old *Rumor) bool {
	if rm.Version != old.Version {
		return rm.Version > old.Version
	}
	return bytes.Compare(rm.Payload, old.Payload) > 0
}

// Rumors returns the rumors of a topic, or all of them for an empty one, in the order of topic and key.
func (cr *Core) Rumors(topic string) []Rumor {
	var out []Rumor
	for _, key := range sortedRumors(cr.rumors) {
		if topic == "" || key.topic == topic {
			out = append(out, cr.rumors[key].left(cr.now))
		}
	}
	return out
}

// tell spreads a rumor of this instance.
func (cr *Core) tell(rm Rumor) { cr.mergeRumor(rm, "") }

func (cr *Core) mergeRumor(rm Rumor, from gypsumhoist.Instance) {
	if !rm.valid() {
		return
	}
	rm.Life = min(rm.Life, RumorLifeMax)
	key := rumorKey{rm.Topic, rm.Key}
	old := cr.rumors[key]
	if old == nil && len(cr.rumors) >= RumorsMax {
		return
	}
	if old != nil && !rm.newer(&old.rumor) {
		if ln := cr.links[from]; ln != nil && !old.rumor.newer(&rm) {
			delete(ln.rumors, key)
		}
		return
	}
	cr.rumors[key] = &rumorRecord{rumor: rm, ends: cr.now.Add(rm.Life), sum: rumorSumOf(&rm)}
	cr.rumorsStale = true
	for to, ln := range cr.links {
		if to != from && ln.kind != linkClient {
			ln.rumors[key] = struct{}{}
			ln.urgent = true
		}
	}
}

func rumorSumOf(rm *Rumor) uint64 {
	hs := fnv.New64a()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], rm.Version)
	for _, part := range [][]byte{[]byte(rm.Topic), {0}, []byte(rm.Key), {0}, buf[:], rm.Payload} {
		_, _ = hs.Write(part)
	}
	return hasher.Mix(hs.Sum64())
}

func (cr *Core) rumorSum() uint64 {
	var sum uint64
	for _, rr := range cr.rumors {
		sum += rr.sum
	}
	return sum
}

func (cr *Core) expireRumors() {
	for key, rr := range cr.rumors {
		if !cr.now.Before(rr.ends) {
			delete(cr.rumors, key)
			cr.rumorsStale = true
		}
	}
}

func sortedRumors[V any](mp map[rumorKey]V) []rumorKey {
	out := make([]rumorKey, 0, len(mp))
	for key := range mp {
		out = append(out, key)
	}
	slices.SortFunc(out, func(ka, kb rumorKey) int {
		return cmp.Or(cmp.Compare(ka.topic, kb.topic), cmp.Compare(ka.key, kb.key))
	})
	return out
}
