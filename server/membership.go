package server

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// promoteDelay is how long a new member stays a learner while another member of its failure domain votes:
// it may be the replacement of that voter, and gossip needs about 3 s to detect that a member is lost.
const promoteDelay = 4 * time.Second

// joinStep is a configuration change that a leader makes for a member that introduced itself.
type joinStep uint8

const (
	joinNone    joinStep = iota
	joinAdd              // as a learner
	joinPromote          // to a voter
	joinReplace          // of another member
)

// joinState is what a leader bases its decision on when a member introduces itself.
type joinState struct {
	config replicator.Configuration
	member replicator.Member
	// gossipMember returns gossip's record of an instance; one that gossip has forgotten but the table lists counts as left.
	gossipMember func(gypsumhoist.Instance) (gossiper.Member, bool)
	// waited is the time since the member's first introduction.
	waited time.Duration
}

// next returns the next step, and for joinReplace the member to replace: an earlier identity of the same instance,
// whose disk was lost, or a lost member of the same failure domain. Without one the new member is added.
func (js joinState) next() (joinStep, replicator.Member) {
	ms, isMember := js.config.Find(js.member.ID())
	if old, ok := earlierIdentity(js.config, js.member); ok {
		return joinReplace, old
	}
	if isMember && ms.Voter {
		return joinNone, replicator.Member{}
	}
	if old, ok := js.domainMember(func(_ replicator.Membership, mb gossiper.Member) bool { return js.lost(mb.Status) }); ok {
		return joinReplace, old
	}
	_, voterInDomain := js.domainMember(func(ms replicator.Membership, _ gossiper.Member) bool { return ms.Voter })
	switch {
	case !isMember && js.config.Voters() < maxControlVoters:
		return joinAdd, replicator.Member{}
	case isMember && (!voterInDomain || js.waited >= promoteDelay):
		return joinPromote, replicator.Member{}
	default:
		return joinNone, replicator.Member{}
	}
}

// lost reports whether a member of that status is not expected back. A member that left may be restarting, and a leader
// that has just started has not heard of all members yet; both become known within promoteDelay.
func (js joinState) lost(st gossiper.Status) bool {
	return st == gossiper.StatusUnreachable || st == gossiper.StatusLeft && js.waited >= promoteDelay
}

// domainMember returns another member of the same failure domain for which fits returns true.
func (js joinState) domainMember(fits func(replicator.Membership, gossiper.Member) bool) (replicator.Member, bool) {
	own, known := js.gossipMember(js.member.Instance)
	if !known {
		return replicator.Member{}, false
	}
	for _, ms := range js.config {
		mb, seen := js.gossipMember(ms.Member.Instance)
		if seen && ms.Member.ID() != js.member.ID() && mb.Domain == own.Domain && fits(ms, mb) {
			return ms.Member, true
		}
	}
	return replicator.Member{}, false
}

// earlierIdentity returns a member of the same instance with another boot.
func earlierIdentity(cfg replicator.Configuration, mb replicator.Member) (replicator.Member, bool) {
	for _, ms := range cfg {
		if ms.Member.Instance == mb.Instance && ms.Member.Boot != mb.Boot {
			return ms.Member, true
		}
	}
	return replicator.Member{}, false
}

// introductionTimes holds the time of each member's first introduction.
type introductionTimes map[replicator.MemberID]time.Time

// maxIntroductions bounds introductionTimes; when it is reached, all entries are dropped.
const maxIntroductions = 64

// waited records an introduction and returns the time since the member's first one.
func (it introductionTimes) waited(mb replicator.Member, now time.Time) time.Duration {
	first, known := it[mb.ID()]
	if !known {
		if len(it) >= maxIntroductions {
			clear(it)
		}
		it[mb.ID()], first = now, now
	}
	return now.Sub(first)
}

// removeDelay is how long a control instance must have left before it is removed; a restart takes less.
const removeDelay = 6 * time.Second

// spareVoter returns a voter that need not vote: it is gone or about to stop, while a live member of its failure domain votes,
// as after a planned replacement. Its vote would count against the majority. One that comes back gets its vote again.
func spareVoter(
	cfg replicator.Configuration, self replicator.MemberID, find func(gypsumhoist.Instance) (gossiper.Member, bool),
) (replicator.Member, bool) {
	for _, ms := range cfg {
		mb, known := find(ms.Member.Instance)
		gone := known && (mb.Leaving || mb.Status >= gossiper.StatusUnreachable)
		if gone && ms.Voter && ms.Member.ID() != self && hasSuccessor(cfg, ms.Member, find) {
			return ms.Member, true
		}
	}
	return replicator.Member{}, false
}

// hasSuccessor reports whether another member of the same failure domain votes that is alive and stays.
func hasSuccessor(cfg replicator.Configuration, mb replicator.Member, find func(gypsumhoist.Instance) (gossiper.Member, bool)) bool {
	_, found := joinState{
		config: cfg, member: mb, gossipMember: find,
	}.domainMember(func(other replicator.Membership, on gossiper.Member) bool {
		return other.Voter && on.Status == gossiper.StatusAlive && !on.Leaving
	})
	return found
}

// replacedIdentity returns a member whose instance is a member again under a later identity: its state is lost.
func replacedIdentity(cfg replicator.Configuration) (replicator.Member, bool) {
	for ix, ms := range cfg {
		if _, again := earlierIdentity(cfg[ix+1:], ms.Member); again {
			return ms.Member, true
		}
	}
	return replicator.Member{}, false
}

// departures holds when members were first seen to have left.
type departures map[replicator.MemberID]time.Time

// removable returns a member to remove: one that left at least removeDelay ago while a live member
// of its failure domain votes, as after a planned replacement.
func (dp departures) removable(
	cfg replicator.Configuration, find func(gypsumhoist.Instance) (gossiper.Member, bool), now time.Time,
) (replicator.Member, bool) {
	for _, ms := range cfg {
		mb, known := find(ms.Member.Instance)
		if !known || mb.Status != gossiper.StatusLeft {
			delete(dp, ms.Member.ID())
			continue
		}
		if _, recorded := dp[ms.Member.ID()]; !recorded {
			dp[ms.Member.ID()] = now
		}
		if hasSuccessor(cfg, ms.Member, find) && now.Sub(dp[ms.Member.ID()]) >= removeDelay {
			return ms.Member, true
		}
	}
	return replicator.Member{}, false
}
