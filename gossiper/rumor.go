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
	rumor     Rumor
	expiresAt time.Time
	hash      uint64
}

// remaining returns the rumor with the rest of its lifetime.
func (rr *rumorRecord) remaining(now time.Time) Rumor {
	rm := rr.rumor
	rm.TTL = rr.expiresAt.Sub(now)
	return rm
}

func (rm *Rumor) valid() bool {
	return rm.Topic != "" && len(rm.Topic) <= MaxRumorNameBytes && len(rm.Key) <= MaxRumorNameBytes &&
		len(rm.Payload) <= MaxRumorPayloadBytes && rm.TTL > 0
}

func (rm *Rumor) newer(old *Rumor) bool {
	if rm.Version != old.Version {
		return rm.Version > old.Version
	}
	return bytes.Compare(rm.Payload, old.Payload) > 0
}

// Rumors returns the rumors of a topic, or of all topics for an empty one, in the order of topic and key.
func (cr *Core) Rumors(topic string) []Rumor {
	var out []Rumor
	for _, key := range sortedRumorKeys(cr.rumors) {
		if topic == "" || key.topic == topic {
			out = append(out, cr.rumors[key].remaining(cr.now))
		}
	}
	return out
}

// addRumor spreads a rumor of this instance.
func (cr *Core) addRumor(rm Rumor) { cr.mergeRumor(rm, "") }

func (cr *Core) mergeRumor(rm Rumor, from gypsumhoist.Instance) {
	if !rm.valid() {
		return
	}
	rm.TTL = min(rm.TTL, MaxRumorTTL)
	key := rumorKey{rm.Topic, rm.Key}
	old := cr.rumors[key]
	if old == nil && len(cr.rumors) >= MaxRumors {
		return
	}
	if old != nil && !rm.newer(&old.rumor) {
		if ln := cr.links[from]; ln != nil && !old.rumor.newer(&rm) {
			delete(ln.rumors, key)
		}
		return
	}
	cr.rumors[key] = &rumorRecord{rumor: rm, expiresAt: cr.now.Add(rm.TTL), hash: rumorHash(&rm)}
	cr.rumorsStale = true
	for to, ln := range cr.links {
		if to != from && ln.kind != linkWatcher {
			ln.rumors[key] = struct{}{}
			ln.urgent = true
		}
	}
}

func rumorHash(rm *Rumor) uint64 {
	hs := fnv.New64a()
	var buf [8]byte
	binary.LittleEndian.PutUint64(buf[:], rm.Version)
	for _, part := range [][]byte{[]byte(rm.Topic), {0}, []byte(rm.Key), {0}, buf[:], rm.Payload} {
		_, _ = hs.Write(part)
	}
	return hasher.Mix(hs.Sum64())
}

func (cr *Core) rumorDigest() uint64 {
	var sum uint64
	for _, rr := range cr.rumors {
		sum += rr.hash
	}
	return sum
}

func (cr *Core) expireRumors() {
	for key, rr := range cr.rumors {
		if !cr.now.Before(rr.expiresAt) {
			delete(cr.rumors, key)
			cr.rumorsStale = true
		}
	}
}

func sortedRumorKeys[V any](mp map[rumorKey]V) []rumorKey {
	out := make([]rumorKey, 0, len(mp))
	for key := range mp {
		out = append(out, key)
	}
	slices.SortFunc(out, func(ka, kb rumorKey) int {
		return cmp.Or(cmp.Compare(ka.topic, kb.topic), cmp.Compare(ka.key, kb.key))
	})
	return out
}
