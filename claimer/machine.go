package claimer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer/claimerpb"
)

// Machine is the replicated state machine that stores the claims of one shard of one failure domain.
// It is deterministic: the same commands with the same times give the same replies and the same state.
// It is not safe for concurrent use. Call NewMachine.
type Machine struct {
	st         Settings
	generation uint64
	formedAt   time.Time

	now        time.Time
	records    map[Key]*record
	byToken    map[Token]*record
	expiry     expiryQueue
	released   map[Token]struct{}
	tombstones []tombstone // in order of arrival, which is the order of expiry

	bytes        int
	answerBytes  int
	perWorkspace map[gypsumhoist.Workspace]int
}

// NewMachine returns an empty machine for a generation of a shard group.
// Before generation 1 there were no claims; a later generation has lost those made before formedAt.
// A zero setting means its default.
func NewMachine(st Settings, generation uint64, formedAt time.Time) *Machine {
	ma := &Machine{st: st.orDefault(), generation: generation, formedAt: formedAt}
	ma.clear()
	return ma
}

func (st Settings) orDefault() Settings {
	df := DefaultSettings()
	if st.Retention <= 0 {
		st.Retention = df.Retention
	}
	if st.CallerSkew <= 0 {
		st.CallerSkew = df.CallerSkew
	}
	if st.LeaderSkew <= 0 {
		st.LeaderSkew = df.LeaderSkew
	}
	if st.MaxBytes <= 0 {
		st.MaxBytes = df.MaxBytes
	}
	return st
}

func (ma *Machine) clear() {
	ma.now = time.Time{}
	ma.records = map[Key]*record{}
	ma.byToken = map[Token]*record{}
	ma.expiry = nil
	ma.released = map[Token]struct{}{}
	ma.tombstones = nil
	ma.bytes, ma.answerBytes = 0, 0
	ma.perWorkspace = map[gypsumhoist.Workspace]int{}
}

// Apply runs one command and returns the reply to it.
// proposed is the wall clock time of the leader that proposed it; the machine's time never goes back.
// An invalid command gets the reply CODE_BAD_COMMAND and changes nothing but the time.
func (ma *Machine) Apply(cmd []byte, proposed time.Time) []byte {
	ma.advance(proposed)
	var msg claimerpb.Command
	if err := proto.Unmarshal(cmd, &msg); err != nil {
		return encodeReply(&claimerpb.Reply{Code: claimerpb.Code_CODE_BAD_COMMAND})
	}
	return encodeReply(ma.apply(&msg))
}

func (ma *Machine) apply(msg *claimerpb.Command) *claimerpb.Reply {
	switch op := msg.Op.(type) {
	case *claimerpb.Command_Claim:
		return ma.claim(op.Claim)
	case *claimerpb.Command_Finish:
		return ma.finish(op.Finish)
	case *claimerpb.Command_Release:
		return ma.release(op.Release)
	case *claimerpb.Command_MayHaveRun:
		return ma.mayHaveRun(op.MayHaveRun)
	default:
		return &claimerpb.Reply{Code: claimerpb.Code_CODE_BAD_COMMAND}
	}
}

// Len returns the number of claims.
func (ma *Machine) Len() int { return len(ma.records) }

// Bytes returns the memory in bytes that is accounted for the claims.
func (ma *Machine) Bytes() int { return ma.bytes }

func (ma *Machine) advance(to time.Time) {
	if to.After(ma.now) {
		ma.now = to
	}
	ma.expire()
	ma.expireTombstones()
}

func encodeReply(rp *claimerpb.Reply) []byte {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(rp)
	if err != nil {
		return nil
	}
	return raw
}
