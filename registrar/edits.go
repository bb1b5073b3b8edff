package registrar

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// editEntry is the remembered answer to one edit.
type editEntry struct {
	id     EditID
	digest []byte
	answer []byte
}

// editHistory keeps the answers to the latest edits, so that a resend gets the same answer.
type editHistory struct {
	byID map[EditID]*editEntry
	// order is a ring buffer with the oldest entry at head.
	order []*editEntry
	head  int
	size  int
}

func newEditHistory(size int) *editHistory {
	return &editHistory{byID: map[EditID]*editEntry{}, size: size}
}

// find returns the entry with the id, or nil.
func (eh *editHistory) find(id EditID) *editEntry { return eh.byID[id] }

// add stores an entry; at capacity it replaces the oldest one.
func (eh *editHistory) add(ee *editEntry) {
	eh.byID[ee.id] = ee
	if len(eh.order) < eh.size {
		eh.order = append(eh.order, ee)
		return
	}
	delete(eh.byID, eh.order[eh.head].id)
	eh.order[eh.head] = ee
	eh.head = (eh.head + 1) % eh.size
}

// messages returns all entries, oldest first.
func (eh *editHistory) messages() []*registrarpb.EditMemory {
	all := make([]*registrarpb.EditMemory, len(eh.order))
	for ix := range eh.order {
		ee := eh.order[(eh.head+ix)%len(eh.order)]
		all[ix] = &registrarpb.EditMemory{EditId: string(ee.id), Digest: ee.digest, Answer: ee.answer}
	}
	return all
}

// sorted yields the entries of a map in key order.
func sorted[K cmp.Ordered, V any](all map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, ky := range slices.Sorted(maps.Keys(all)) {
			if !yield(ky, all[ky]) {
				return
			}
		}
	}
}
