package replicator

// Journal persists the state of a member. It has one owner and needs no locks.
type Journal interface {
	// Load returns the saved state; an empty journal returns the zero Stored.
	Load() (Stored, error)
	// Save returns once the whole batch is durable, as far as the journal protects against faults.
	// After an error the journal's content is undefined and the member must stop.
	Save(bt Batch) error
	// Close releases the journal's resources.
	Close() error
}

// Stored is the content of a journal.
type Stored struct {
	State    State
	Snapshot Snapshot // none if its Index is zero
	Entries  []Entry  // entries after Snapshot.Index, without gaps
}

// Empty reports whether nothing was ever saved.
func (sd Stored) Empty() bool {
	return sd.State == State{} && sd.Snapshot.Index == 0 && len(sd.Entries) == 0
}

// Batch is the content of one Save. It takes effect in the order of its fields.
type Batch struct {
	State *State // nil if unchanged
	// Snapshot, if not nil, replaces all entries up to and including its index.
	Snapshot *Snapshot
	// Reset removes all entries in the journal.
	Reset bool
	// Entries are appended and replace the existing entries from Entries[0].Index on.
	Entries []Entry
}

// Empty reports whether there is nothing to save.
func (bt Batch) Empty() bool {
	return bt.State == nil && bt.Snapshot == nil && !bt.Reset && len(bt.Entries) == 0
}

// MemoryJournal persists nothing: its member loses its state, and thus its identity, when the process ends.
// The zero value is ready for use.
type MemoryJournal struct{}

// Load returns the zero Stored.
func (MemoryJournal) Load() (Stored, error) { return Stored{}, nil }

// Save returns nil.
func (MemoryJournal) Save(Batch) error { return nil }

// Close returns nil.
func (MemoryJournal) Close() error { return nil }
