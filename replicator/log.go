package replicator

import "sort"

// entryLog is the part of the log that a member holds in memory.
type entryLog struct {
	snapshot Snapshot // the newest; its Index is at least base
	// base and baseTerm are the index and term of the entry before entries[0].
	base, baseTerm uint64
	entries        []Entry
}

func (lo *entryLog) last() uint64 { return lo.base + uint64(len(lo.entries)) }

func (lo *entryLog) lastTerm() uint64 {
	if len(lo.entries) == 0 {
		return lo.baseTerm
	}
	return lo.entries[len(lo.entries)-1].Term
}

// term returns the term of the entry at an index; the second result is false when the log doesn't hold the entry.
func (lo *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == lo.base:
		return lo.baseTerm, true
	case index == lo.snapshot.Index:
		return lo.snapshot.Term, true
	case index < lo.base || index > lo.last():
		return 0, false
	default:
		return lo.entries[index-lo.base-1].Term, true
	}
}

func (lo *entryLog) at(index uint64) Entry { return lo.entries[index-lo.base-1] }

// after returns the held entries above index, limited to bound bytes in total but at least one.
func (lo *entryLog) after(index uint64, bound int) []Entry {
	if index < lo.base || index >= lo.last() {
		return nil
	}
	rest := lo.entries[index-lo.base:]
	size := 0
	for ix, en := range rest {
		size += en.size()
		if size > bound && ix > 0 {
			return rest[:ix:ix]
		}
	}
	return rest[:len(rest):len(rest)]
}

// append adds entries and replaces those that the log holds from the first one's index on.
func (lo *entryLog) append(ens ...Entry) {
	keep := int(ens[0].Index - lo.base - 1)
	if keep < len(lo.entries) {
		// A new array, as an unsent message may still refer to the old one.
		lo.entries = append(make([]Entry, 0, keep+len(ens)), lo.entries[:keep]...)
	}
	lo.entries = append(lo.entries, ens...)
}

// compact replaces entries by a newer snapshot. It retains up to keep entries before the snapshot's index,
// but not more than trailingBytes of them.
func (lo *entryLog) compact(snap Snapshot, keep uint64) {
	lo.snapshot = snap
	base := snap.Index
	for size := 0; base > lo.base && snap.Index-base < keep; base-- {
		if size += lo.at(base).size(); size > trailingBytes {
			break
		}
	}
	if base == lo.base {
		return
	}
	baseTerm, _ := lo.term(base)
	lo.entries = append([]Entry(nil), lo.entries[base-lo.base:]...)
	lo.base, lo.baseTerm = base, baseTerm
}

// reset replaces the whole log by a snapshot.
func (lo *entryLog) reset(snap Snapshot) {
	*lo = entryLog{snapshot: snap, base: snap.Index, baseTerm: snap.Term}
}

// conflictHint returns the index that the leader should try next after a mismatch at prev: below prev, but not below floor.
func (lo *entryLog) conflictHint(prev, floor uint64) uint64 {
	if prev > lo.last() {
		return max(lo.last(), floor)
	}
	if prev <= lo.base {
		return floor
	}
	term := lo.at(prev).Term
	first := sort.Search(int(prev-lo.base), func(ix int) bool { return lo.entries[ix].Term >= term })
	return max(lo.base+uint64(first), floor)
}
