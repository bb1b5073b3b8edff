package replicator

import "time"

// Kind is the purpose of an Entry.
type Kind uint8

// Kinds of entries.
const (
	// KindCommand carries a command for the state machine.
	KindCommand Kind = iota
	// KindNoop is the empty entry with which a leader begins its term.
	KindNoop
	// KindConfiguration carries a new configuration.
	KindConfiguration
)

// Entry is one entry of the log. It is immutable.
type Entry struct {
	Index, Term uint64
	Kind        Kind
	// Proposed is the leader's wall-clock time when it appended the entry, never before that of the previous entry.
	Proposed time.Time
	Command  []byte
	// Configuration is the new configuration in a KindConfiguration entry, nil in others.
	Configuration Configuration
}

func (en Entry) size() int {
	return entryOverhead + len(en.Command) + len(en.Configuration)*membershipSize
}

const (
	entryOverhead  = 32 // bytes
	membershipSize = 64 // bytes
)

// Snapshot replaces all entries up to and including Index.
type Snapshot struct {
	Index, Term   uint64
	Proposed      time.Time // of the entry at Index
	Configuration Configuration
	Data          []byte // the state machine's state in its own format
}

// State is what a member must persist before it responds: its term, and its vote in that term.
type State struct {
	Term uint64
	Vote MemberID // the zero value means no vote
}

// StateMachine is the state machine that a group keeps identical on all its members.
// Its methods are called from the group's goroutine only.
type StateMachine interface {
	// Apply applies one command and returns the result for its proposer.
	// It must be deterministic: the result depends only on the state and the entry.
	Apply(en Entry) []byte
	// Snapshot returns the whole state.
	Snapshot() []byte
	// Restore replaces the state with one that Snapshot returned.
	Restore(data []byte) error
}
