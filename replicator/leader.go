package replicator

import (
	"slices"
	"time"
)

// leaderState is the state that a member has only while it is the leader.
type leaderState struct {
	peers            []*progress // in the order in which they became members
	termStart        uint64      // index of the no-op entry that began the term
	electedAt        time.Time
	now              time.Time // time of the last call
	heartbeatAt      time.Time
	leaseSince       time.Time // zero until the lease is first held in this term
	transferDeadline time.Time // when the transfer in progress is aborted; zero for none
	transferTo       MemberID
	reads            []pendingRead
	matchBuf         []uint64
	sentBuf          []time.Duration
}

// progress is the leader's record of another member's log.
type progress struct {
	member      Member
	match, next uint64
	ackedSent   time.Duration // newest Sent that it returned
	answered    bool          // ackedSent is valid
	probing     bool          // next is an estimate; only one message is sent at a time
	probeSent   bool          // a probe is unanswered
	leaving     bool          // the entry that removes it isn't committed yet
	snapshot    *Snapshot     // being sent; nil for none
	offset      uint64
}

// setPeers updates the peers to match a configuration.
func (ls *leaderState) setPeers(now time.Time, cf Configuration, self MemberID, last uint64) {
	ls.now = now
	for _, pg := range ls.peers {
		pg.leaving = cf.index(pg.member.ID()) < 0
	}
	for _, mp := range cf {
		id := mp.Member.ID()
		if id != self && ls.peer(id) == nil {
			ls.peers = append(ls.peers, &progress{member: mp.Member, next: last + 1, probing: true})
		}
	}
}

// peer returns the progress of a member, or nil if it is unknown.
func (ls *leaderState) peer(id MemberID) *progress {
	for _, pg := range ls.peers {
		if pg.member.ID() == id {
			return pg
		}
	}
	return nil
}

func (co *Core) becomeLeader(now time.Time) {
	co.role, co.leader, co.votes = RoleLeader, co.self, nil
	co.lead = leaderState{electedAt: now, heartbeatAt: co.nextHeartbeat(now)}
	co.lead.setPeers(now, co.config(), co.self.ID(), co.log.last())
	en := co.appendEntry(now, Entry{Kind: KindNoop})
	co.lead.termStart = en.Index
	for _, pg := range co.lead.peers {
		co.sendAppend(now, pg, true)
	}
	co.advanceCommit()
	co.recordLease(now)
}

// appendEntry appends an entry to the leader's own log.
func (co *Core) appendEntry(now time.Time, en Entry) Entry {
	en.Index, en.Term = co.log.last()+1, co.state.Term
	en.Proposed = now.Round(0).UTC()
	if floor := co.lastProposed(); en.Proposed.Before(floor) {
		en.Proposed = floor
	}
	co.log.append(en)
	return en
}

func (co *Core) lastProposed() time.Time {
	if len(co.log.entries) == 0 {
		return co.log.snapshot.Proposed
	}
	return co.log.entries[len(co.log.entries)-1].Proposed
}

// acceptsProposals reports whether the member accepts proposals: it is the leader and not transferring leadership.
func (co *Core) acceptsProposals() bool {
	return co.role == RoleLeader && co.lead.transferDeadline.IsZero()
}

// Propose appends commands in one batch and returns the index of the first. The second result is
// false, and nothing was accepted, if this member is not the leader or is transferring leadership.
func (co *Core) Propose(now time.Time, commands ...[]byte) (uint64, bool) {
	if !co.acceptsProposals() || len(commands) == 0 {
		return 0, false
	}
	first := co.log.last() + 1
	for _, cm := range commands {
		co.appendEntry(now, Entry{Kind: KindCommand, Command: cm})
	}
	for _, pg := range co.lead.peers {
		if co.responsive(now, pg) && !(pg.probing && pg.probeSent) {
			co.sendAppend(now, pg, true)
		}
	}
	co.advanceCommit()
	return first, true
}

func (co *Core) tickLeader(now time.Time) {
	co.lead.now = now
	if now.Sub(co.quorumContact(now)) > co.tm.ElectionMin || co.transferExpired(now) {
		co.becomeFollower(now, co.state.Term, Member{})
		return
	}
	co.recordLease(now)
	co.completeReads(now)
	if now.Before(co.lead.heartbeatAt) {
		return
	}
	co.lead.heartbeatAt = co.nextHeartbeat(now)
	for _, pg := range co.lead.peers {
		pg.probeSent = false
	}
	co.sendAll(now)
}

// nextHeartbeat returns the next multiple of the heartbeat interval on the wall clock, so that all groups of a process
// send at the same time and share requests.
func (co *Core) nextHeartbeat(now time.Time) time.Time {
	wall := now.Round(0)
	return now.Add(co.tm.Heartbeat - wall.Sub(wall.Truncate(co.tm.Heartbeat)))
}

func (co *Core) transferExpired(now time.Time) bool {
	return !co.lead.transferDeadline.IsZero() && now.After(co.lead.transferDeadline)
}

// quorumContact returns the time up to which a majority is known to have acknowledged this leader,
// or the time of its election.
func (co *Core) quorumContact(now time.Time) time.Time {
	at := co.lead.electedAt
	if qu, ok := co.quorumAcked(now); ok && co.start.Add(qu).After(at) {
		at = co.start.Add(qu)
	}
	return at
}

// quorumAcked returns the latest time of sending that a majority of the voters has acknowledged.
func (co *Core) quorumAcked(now time.Time) (time.Duration, bool) {
	cf := co.config()
	stamps := co.lead.sentBuf[:0]
	for _, mp := range cf {
		id := mp.Member.ID()
		if !mp.Voter {
			continue
		}
		if id == co.self.ID() {
			stamps = append(stamps, now.Sub(co.start))
			continue
		}
		if pg := co.lead.peer(id); pg != nil && pg.answered {
			stamps = append(stamps, pg.ackedSent)
		}
	}
	co.lead.sentBuf = stamps
	need := cf.Majority()
	if len(stamps) < need {
		return 0, false
	}
	slices.Sort(stamps)
	return stamps[len(stamps)-need], true
}

// advanceCommit commits what a majority holds, but counts replicas only for entries of the leader's own term,
// as in Raft: an entry of an older term may still be overwritten although a majority holds it.
func (co *Core) advanceCommit() {
	cf := co.config()
	held := co.lead.matchBuf[:0]
	for _, mp := range cf {
		id := mp.Member.ID()
		if !mp.Voter {
			continue
		}
		if id == co.self.ID() {
			held = append(held, co.log.last())
		} else if pg := co.lead.peer(id); pg != nil {
			held = append(held, pg.match)
		}
	}
	co.lead.matchBuf = held
	need := cf.Majority()
	if len(held) < need {
		return
	}
	slices.Sort(held)
	index := held[len(held)-need]
	if term, ok := co.log.term(index); !ok || term != co.state.Term || index <= co.commit {
		return
	}
	co.commitTo(index)
	co.dropRemoved()
}

// dropRemoved drops the peers whose removal is committed, after a last message from which they learn of it.
func (co *Core) dropRemoved() {
	if co.role != RoleLeader || co.configs[len(co.configs)-1].index > co.commit {
		return
	}
	remaining := co.lead.peers[:0]
	for _, pg := range co.lead.peers {
		if !pg.leaving {
			remaining = append(remaining, pg)
			continue
		}
		co.sendAppend(co.lead.now, pg, true)
	}
	clear(co.lead.peers[len(remaining):])
	co.lead.peers = remaining
}
