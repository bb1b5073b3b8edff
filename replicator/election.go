package replicator

import "time"

// startPreVote starts a pre-vote if the member is eligible.
func (co *Core) startPreVote(now time.Time) {
	co.resetElectionTimer(now)
	co.leader = Member{}
	if !co.eligible() {
		return
	}
	co.role = RolePreCandidate
	co.votes = map[MemberID]bool{co.self.ID(): true}
	co.requestVotes(co.state.Term+1, VoteRequest{Pre: true})
	co.countVotes(now)
}

// eligible reports whether the member may become a candidate: it is a voter in a configuration that may still be in effect.
// This includes a member whose removal is not known to be committed: it may be the only one that has the entry,
// and then no other member can win the election against its longer log.
func (co *Core) eligible() bool {
	for _, ce := range co.configs {
		if ce.config.votes(co.self.ID()) {
			return true
		}
	}
	return false
}

// campaign starts an election in the next term.
func (co *Core) campaign(now time.Time, transfer bool) {
	co.state = State{Term: co.state.Term + 1, Vote: co.self.ID()}
	co.role, co.leader = RoleCandidate, Member{}
	co.votes = map[MemberID]bool{co.self.ID(): true}
	co.resetElectionTimer(now)
	co.requestVotes(co.state.Term, VoteRequest{Transfer: transfer})
	co.countVotes(now)
}

func (co *Core) requestVotes(term uint64, req VoteRequest) {
	req.LastIndex, req.LastTerm = co.log.last(), co.log.lastTerm()
	for _, mp := range co.config() {
		if mp.Voter && mp.Member.ID() != co.self.ID() {
			co.sendIn(term, mp.Member, req)
		}
	}
}

func (co *Core) countVotes(now time.Time) {
	cf, count := co.config(), 0
	for id := range co.votes {
		if cf.votes(id) {
			count++
		}
	}
	if count < cf.Majority() {
		return
	}
	if co.role == RolePreCandidate {
		co.campaign(now, false)
		return
	}
	co.becomeLeader(now)
}

func (co *Core) stepVoteResponse(now time.Time, ms Message, resp VoteResponse) {
	switch {
	case !resp.Granted:
	case resp.Pre && co.role == RolePreCandidate && ms.Term == co.state.Term+1,
		!resp.Pre && co.role == RoleCandidate && ms.Term == co.state.Term:
		co.votes[ms.From.ID()] = true
		co.countVotes(now)
	}
}

// stepVoteRequest responds to a candidate. A member that heard from a leader within ElectionMin sends no response
// and keeps its term, as the leader's lease rests on that. The exception is an election that the leader
// itself initiated, because it gave up its lease first.
func (co *Core) stepVoteRequest(now time.Time, ms Message, req VoteRequest) {
	if !req.Transfer && co.withholdsVote(now) {
		co.notifyNonMember(now, ms, req)
		return
	}
	if req.Pre {
		co.respondPreVote(ms, req)
		return
	}
	if ms.Term > co.state.Term {
		co.becomeFollower(now, ms.Term, Member{})
	}
	free := co.state.Vote == MemberID{} || co.state.Vote == ms.From.ID()
	granted := ms.Term == co.state.Term && free && co.upToDate(req) && co.role == RoleFollower
	if granted {
		co.state.Vote = ms.From.ID()
		co.resetElectionTimer(now)
	}
	co.send(ms.From, VoteResponse{Granted: granted})
}

func (co *Core) respondPreVote(ms Message, req VoteRequest) {
	if ms.Term > co.state.Term && co.upToDate(req) {
		co.sendIn(ms.Term, ms.From, VoteResponse{Pre: true, Granted: true})
		return
	}
	co.send(ms.From, VoteResponse{Pre: true})
}

// withholdsVote reports whether the member must not grant votes yet, as a leader's lease may rest on that.
func (co *Core) withholdsVote(now time.Time) bool {
	if co.role == RoleLeader || now.Before(co.noVoteBefore) {
		return true
	}
	return !co.lastContact.IsZero() && now.Before(co.lastContact.Add(co.tm.ElectionMin))
}

func (co *Core) upToDate(req VoteRequest) bool {
	term := co.log.lastTerm()
	return req.LastTerm > term || req.LastTerm == term && req.LastIndex >= co.log.last()
}

// notifyNonMember lets a candidate that is not a member learn of its removal. Only a leader that holds the lease, and whose
// configuration is committed, may send the notice. A follower forwards the request to the leader,
// which may be unknown to the candidate.
func (co *Core) notifyNonMember(now time.Time, ms Message, req VoteRequest) {
	if _, ok := co.config().Find(ms.From.ID()); ok {
		return
	}
	switch {
	case co.role == RoleLeader:
		if co.configs[len(co.configs)-1].index <= co.commit && co.Lease(now).Held {
			co.send(ms.From, RemovedNotice{})
		}
	case co.leader != Member{} && !req.Forwarded:
		req.Forwarded = true
		co.messages = append(co.messages, Message{From: ms.From, To: co.leader, Term: ms.Term, Body: req})
	}
}
