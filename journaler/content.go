package journaler

import (
	"fmt"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// logContent is the content of the journal, built up from frames. It retains the entries for the next base frame.
type logContent struct {
	state    replicator.State
	snapshot uint64 // index
	entries  []replicator.Entry
}

func (ct *logContent) lastIndex() uint64 { return ct.snapshot + uint64(len(ct.entries)) }

// apply applies one batch; its snapshot replaces the entries up to its index.
func (ct *logContent) apply(bt replicator.Batch) error {
	if bt.State != nil {
		ct.state = *bt.State
	}
	if bt.Reset {
		ct.entries = nil
	}
	if bt.Snapshot != nil {
		ct.dropThrough(bt.Snapshot.Index)
	}
	if len(bt.Entries) == 0 {
		return nil
	}
	first := bt.Entries[0].Index
	if first <= ct.snapshot || first > ct.lastIndex()+1 {
		return fmt.Errorf("entry %d does not continue a log that ends at %d", first, ct.lastIndex())
	}
	for ix, en := range bt.Entries {
		if en.Index != first+uint64(ix) {
			return fmt.Errorf("entry has index %d, want %d", en.Index, first+uint64(ix))
		}
	}
	keep := first - ct.snapshot - 1
	ct.entries = append(ct.entries[:keep], bt.Entries...)
	return nil
}

// dropThrough drops the entries that a snapshot with the given index covers.
func (ct *logContent) dropThrough(index uint64) {
	drop := min(max(index, ct.snapshot)-ct.snapshot, uint64(len(ct.entries)))
	ct.entries = append([]replicator.Entry(nil), ct.entries[drop:]...)
	ct.snapshot = index
}
