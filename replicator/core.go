package replicator

import (
	"math/rand/v2"
	"time"
)

// Role is what a member does in its term.
type Role string

// Roles of a member.
const (
	RoleFollower     Role = "follower"
	RolePreCandidate Role = "pre_candidate"
	RoleCandidate    Role = "candidate"
	RoleLeader       Role = "leader"
	// RoleRemoved is the role of a member that was removed from the group; it is inactive.
	RoleRemoved Role = "removed"
)

const (
	maxAppendBytes  = 256 << 10 // bytes of entries in one message
	maxInFlight     = 4096      // entries sent and not acknowledged yet, for each member
	snapshotChunk   = 256 << 10 // bytes of a snapshot in one message
	maxSnapshot     = 1 << 30   // bytes of a whole snapshot
	initialTerm     = 1         // of the initial snapshot; the first leader's term is higher
	trailingEntries = 256       // entries retained before a snapshot's index, for members that lag a little
	trailingBytes   = 1 << 20   // maximum size of these entries
)

// Core is the consensus algorithm of one member as a pure state machine: messages and times go in, and
// TakeOutput returns what has to be saved, sent and applied. It is not safe for concurrent use.
type Core struct {
	self  Member
	tm    Timings
	rnd   *rand.Rand
	start time.Time

	state        State
	role         Role
	leader       Member
	log          entryLog
	commit       uint64
	appliedIndex uint64 // last index returned in Output.Committed
	configs      []configEntry

	lastContact  time.Time // when a message of the leader last arrived
	noVoteBefore time.Time // time before which no vote is granted; set by a restart
	electionAt   time.Time
	votes        map[MemberID]bool

	lead     leaderState
	incoming incomingSnapshot

	savedIndex    uint64 // entries above it have not been returned in an Output yet
	savedState    State
	restore       *Snapshot // received from the leader and not in an Output yet
	localSnapshot *Snapshot // made by Compact and not in an Output yet
	reset         bool
	messages      []Message
	reads         []ReadDone
}

// configEntry is a configuration and the index of its entry or snapshot.
type configEntry struct {
	index  uint64
	config Configuration
}

// Output is the result of the calls since the last TakeOutput. Batch must be saved before anything else is done,
// above all before Messages are sent; Restore comes before Committed.
type Output struct {
	Batch     Batch
	Restore   *Snapshot // the state machine's new state; nil for none
	Committed []Entry
	Messages  []Message
	Reads     []ReadDone
}

// ReadDone is the result of a read that Core.Read began.
type ReadDone struct {
	ID uint64
	// Index must be applied before the read. It is valid only if OK is true.
	Index uint64
	OK    bool
}

// NewCore returns the Core of a member with the state that its journal holds.
// The state machine must have been restored from the snapshot in it. A restarted member grants no votes
// during the first ElectionMin, as a leader's lease may rest on what it acknowledged before it stopped.
func NewCore(self Member, tm Timings, sd Stored, now time.Time, rnd *rand.Rand) *Core {
	co := &Core{self: self, tm: tm.orDefaults(), rnd: rnd, start: now, role: RoleFollower, state: sd.State, savedState: sd.State}
	co.log.reset(sd.Snapshot)
	if sd.Snapshot.Index > 0 {
		co.configs = []configEntry{{index: sd.Snapshot.Index, config: sd.Snapshot.Configuration}}
	}
	if len(sd.Entries) > 0 {
		co.log.append(sd.Entries...)
		co.addConfigs(sd.Entries)
	}
	co.commit, co.appliedIndex = sd.Snapshot.Index, sd.Snapshot.Index
	co.savedIndex = co.log.last()
	if sd.State.Term <= initialTerm {
		// No leader has existed up to this term, so no lease can rest on this member.
		spread := co.tm.ElectionMax - co.tm.ElectionMin
		co.electionAt = now.Add(time.Duration(rnd.Int64N(int64(spread))))
		return co
	}
	co.noVoteBefore = now.Add(co.tm.ElectionMin)
	co.resetElectionTimer(now)
	return co
}

// InitialSnapshot returns the snapshot with which the log of a new group begins on each of its initial members:
// the state machine's initial state, with all of them as voters.
func InitialSnapshot(members []Member, data []byte) Snapshot {
	return Snapshot{Index: 1, Term: initialTerm, Configuration: VoterConfiguration(members...), Data: data}
}

// Tick advances the core's time. It must be called at Deadline and may be called at any other time.
func (co *Core) Tick(now time.Time) {
	switch co.role {
	case RoleRemoved:
	case RoleLeader:
		co.tickLeader(now)
	default:
		if !now.Before(co.electionAt) || co.soleVoter() {
			co.startPreVote(now)
		}
	}
}

// Deadline returns the time at which Tick has to be called next.
func (co *Core) Deadline() time.Time {
	if co.role == RoleLeader {
		return co.lead.heartbeatAt
	}
	if co.soleVoter() {
		return co.start
	}
	return co.electionAt
}

// Step processes a message from another member.
func (co *Core) Step(now time.Time, ms Message) {
	if co.role == RoleRemoved || ms.To.ID() != co.self.ID() {
		return
	}
	if req, ok := ms.Body.(VoteRequest); ok {
		co.stepVoteRequest(now, ms, req)
		return
	}
	if _, ok := ms.Body.(RemovedNotice); ok {
		co.becomeRemoved() // valid in any term, as an identity is never added again
		return
	}
	if ms.Term < co.state.Term {
		co.rejectStale(ms)
		return
	}
	if ms.Term > co.state.Term && !grantsPreVote(ms.Body) {
		co.becomeFollower(now, ms.Term, Member{})
	}
	co.stepBody(now, ms)
}

// grantsPreVote reports whether a message grants a pre-vote. The term of such a message has not begun, so the receiver must not adopt it.
func grantsPreVote(bd Body) bool {
	vr, ok := bd.(VoteResponse)
	return ok && vr.Pre && vr.Granted
}

func (co *Core) stepBody(now time.Time, ms Message) {
	switch bd := ms.Body.(type) {
	case VoteResponse:
		co.stepVoteResponse(now, ms, bd)
	case AppendRequest:
		co.acceptLeader(now, ms.From)
		co.stepAppend(ms, bd)
	case SnapshotRequest:
		co.acceptLeader(now, ms.From)
		co.stepSnapshot(ms, bd)
	case AppendResponse:
		co.stepAppendResponse(now, ms, bd)
	case SnapshotResponse:
		co.stepSnapshotResponse(now, ms, bd)
	case TimeoutNow:
		if co.eligible() && co.role != RoleLeader {
			co.campaign(now, true)
		}
	case ReadIndexRequest:
		co.stepReadRequest(now, ms, bd)
	case ReadIndexResponse:
		co.reads = append(co.reads, ReadDone{ID: bd.ID, Index: bd.Index, OK: true})
	}
}

// rejectStale responds to a leader of an older term, so that it learns of the newer term.
func (co *Core) rejectStale(ms Message) {
	switch bd := ms.Body.(type) {
	case AppendRequest:
		co.send(ms.From, AppendResponse{Reject: true, PrevIndex: bd.PrevIndex, Sent: bd.Sent})
	case SnapshotRequest:
		co.send(ms.From, AppendResponse{Reject: true, Sent: bd.Sent})
	default:
	}
}

// TakeOutput returns the output that has accumulated and clears it.
func (co *Core) TakeOutput() Output {
	var out Output
	if co.state != co.savedState {
		st := co.state
		out.Batch.State = &st
		co.savedState = st
	}
	co.takeSnapshot(&out)
	if co.savedIndex < co.log.last() {
		rest := co.log.entries[co.savedIndex-co.log.base:]
		out.Batch.Entries = rest[:len(rest):len(rest)]
		co.savedIndex = co.log.last()
	}
	if co.appliedIndex < co.commit {
		rest := co.log.entries[co.appliedIndex-co.log.base : co.commit-co.log.base]
		out.Committed = rest[:len(rest):len(rest)]
		co.appliedIndex = co.commit
	}
	out.Messages, co.messages = co.messages, nil
	out.Reads, co.reads = co.reads, nil
	return out
}

func (co *Core) takeSnapshot(out *Output) {
	out.Batch.Reset, co.reset = co.reset, false
	out.Batch.Snapshot, co.localSnapshot = co.localSnapshot, nil
	if co.restore != nil {
		out.Batch.Snapshot = co.restore
		out.Restore, co.restore = co.restore, nil
	}
}

func (co *Core) send(to Member, bd Body) {
	co.sendIn(co.state.Term, to, bd)
}

func (co *Core) sendIn(term uint64, to Member, bd Body) {
	co.messages = append(co.messages, Message{From: co.self, To: to, Term: term, Body: bd})
}

// sendLazy sends a message that may be delayed a little to share a request with others to the same process.
func (co *Core) sendLazy(to Member, bd Body) {
	co.messages = append(co.messages, Message{From: co.self, To: to, Term: co.state.Term, Body: bd, lazy: true})
}

// becomeFollower makes the member a follower in a term; the zero Member means that the leader isn't known yet.
func (co *Core) becomeFollower(now time.Time, term uint64, leader Member) {
	if term > co.state.Term {
		co.state = State{Term: term}
	}
	if co.role == RoleLeader {
		co.failReads()
		co.lead = leaderState{}
	}
	if co.role != RoleFollower || leader != co.leader {
		co.resetElectionTimer(now)
	}
	co.role, co.leader = RoleFollower, leader
	co.votes = nil
}

// acceptLeader records a message from the leader of the current term.
func (co *Core) acceptLeader(now time.Time, leader Member) {
	co.becomeFollower(now, co.state.Term, leader)
	co.lastContact = now
	co.resetElectionTimer(now)
}

func (co *Core) resetElectionTimer(now time.Time) {
	spread := int64(co.tm.ElectionMax - co.tm.ElectionMin)
	co.electionAt = now.Add(co.tm.ElectionMin + time.Duration(co.rnd.Int64N(spread)))
}

// soleVoter reports whether the member is the only voter and may start an election at once. It may only if it was not
// restarted and has followed no leader, as that leader's lease might rest on the member's withheld vote.
func (co *Core) soleVoter() bool {
	if co.role != RoleFollower || !co.noVoteBefore.IsZero() || !co.lastContact.IsZero() {
		return false
	}
	cf := co.config()
	return cf.Voters() == 1 && cf.votes(co.self.ID())
}
