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
	// shared means that another instance holds the rumor.
	shared bool
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
		same := !old.rumor.newer(&rm)
		old.shared = old.shared || same && from != ""
		if ln := cr.links[from]; ln != nil && same {
			delete(ln.rumors, key)
		}
		return
	}
	cr.rumors[key] = &rumorRecord{rumor: rm, expiresAt: cr.now.Add(rm.TTL), hash: rumorHash(&rm), shared: from != ""}
	cr.rumorsStale = true
	for to, ln := range cr.links {
		if to != from && ln.kind != linkWatcher {
			ln.rumors[key] = struct{}{}
			ln.urgent = true
		}
	}
}

// RumorShared reports whether every neighbour that answers holds the current version of a rumor, and at least one other instance does.
// An instance that has neither neighbours nor seeds has nobody to share it with.
func (cr *Core) RumorShared(topic, key string) bool {
	rk := rumorKey{topic, key}
	rr := cr.rumors[rk]
	if rr == nil {
		return false
	}
	for _, ln := range cr.links {
		if !ln.failing && ln.hasPendingRumor(rk) {
			return false
		}
	}
	return rr.shared || len(cr.links)+len(cr.seeds) == 0
}

// markShared records that a neighbour has received the rumors of a packet. One that is queued again has a newer version.
func (cr *Core) markShared(ln *link, ct *contents) {
	for _, key := range ct.rumors {
		_, queued := ln.rumors[key]
		if rr := cr.rumors[key]; rr != nil && !queued {
			rr.shared = true
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
