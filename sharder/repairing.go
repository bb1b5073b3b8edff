package sharder

import (
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// memberState is how a leader classifies a member of its group.
type memberState uint8

const (
	memberHealthy      memberState = iota
	memberUnresponsive             // has not responded for too long
	memberLeaving                  // works, but is about to leave
	memberEnded                    // its process is proven to have ended
)

// Repair is the input from which a group's leader determines the next membership change.
type Repair struct {
	Key        Key
	Status     replicator.Status // of the leader
	Candidates []Candidate
	// UnresponsiveAfter is after how long without a response a member is replaced.
	UnresponsiveAfter time.Duration
}

// minVotersKept is how many healthy voters must remain when a voter that is merely unresponsive, or a surplus one,
// is removed without a replacement.
const minVotersKept = 3

// spareRotation is how many of the preferred spares take turns.
const spareRotation = 3

// Next returns the next membership change that the group needs; false means none. An unresponsive voter is replaced
// in steps: a candidate is added as a learner and promoted once it has caught up, and only then is
// the unresponsive one removed.
func (rp Repair) Next(now time.Time) (replicator.Change, bool) {
	healthy, bad, learners := rp.classify(now)
	alive := aliveMembers(rp.Key.Domain, rp.Candidates)
	wanted := GroupSize(len(alive))
	if ch, ok := rp.learnerChange(now, learners, len(healthy) < wanted || len(bad) > 0); ok || len(learners) > 0 {
		return ch, ok
	}
	spares := rp.spares(alive)
	if len(bad) > 0 {
		return rp.replaceVoter(len(healthy), wanted, bad, spares)
	}
	if len(healthy) < wanted && len(spares) > 0 {
		return rp.addLearner(spares), true
	}
	return rp.shrink(healthy, wanted)
}

// badVoter is a voter that should be replaced or removed.
type badVoter struct {
	member replicator.Member
	state  memberState
}

// classify splits the members into healthy voters, bad voters (those proven to have ended first), and learners.
func (rp Repair) classify(now time.Time) (healthy []replicator.Member, bad []badVoter, learners []replicator.Member) {
	for _, ms := range rp.Status.Configuration {
		state := rp.state(now, ms.Member)
		switch {
		case !ms.Voter:
			learners = append(learners, ms.Member)
		case state == memberHealthy:
			healthy = append(healthy, ms.Member)
		case state == memberEnded:
			bad = append([]badVoter{{ms.Member, state}}, bad...)
		default:
			bad = append(bad, badVoter{ms.Member, state})
		}
	}
	return healthy, bad, learners
}

func (rp Repair) state(now time.Time, mb replicator.Member) memberState {
	if processEnded(mb, rp.Candidates) {
		return memberEnded
	}
	for _, ca := range rp.Candidates {
		if ca.Member.Instance == mb.Instance && ca.State == StateLeaving {
			return memberLeaving
		}
	}
	if mb.ID() == rp.Status.Self.ID() {
		return memberHealthy
	}
	answered := rp.Status.Lease.Since
	for _, ps := range rp.Status.Peers {
		if ps.Member.ID() == mb.ID() && ps.Answered.After(answered) {
			answered = ps.Answered
		}
	}
	if now.Sub(answered) >= rp.UnresponsiveAfter {
		return memberUnresponsive
	}
	return memberHealthy
}

// learnerChange removes learners that are not healthy or not needed, and promotes one that has caught up.
func (rp Repair) learnerChange(now time.Time, learners []replicator.Member, needed bool) (replicator.Change, bool) {
	for _, mb := range learners {
		if !needed || rp.state(now, mb) != memberHealthy {
			return replicator.Change{Kind: replicator.ChangeRemove, Member: mb}, true
		}
		for _, ps := range rp.Status.Peers {
			if ps.Member.ID() == mb.ID() && ps.CaughtUp && ps.Match > 0 {
				return replicator.Change{Kind: replicator.ChangePromote, Member: mb}, true
			}
		}
	}
	return replicator.Change{}, false
}

// replaceVoter adds a replacement for a bad voter, or removes the bad voter if there are enough healthy ones.
func (rp Repair) replaceVoter(healthy, wanted int, bad []badVoter, spares []replicator.Member) (replicator.Change, bool) {
	worst := bad[0]
	enough := healthy >= wanted && healthy > 0
	if worst.state == memberUnresponsive {
		enough = healthy >= max(wanted, minVotersKept)
	}
	switch {
	case enough:
		return replicator.Change{Kind: replicator.ChangeRemove, Member: worst.member}, true
	case len(spares) > 0:
		return rp.addLearner(spares), true
	case worst.state == memberEnded && healthy > 0:
		return replicator.Change{Kind: replicator.ChangeRemove, Member: worst.member}, true
	default:
		return replicator.Change{}, false
	}
}

// shrink removes a voter if there are more healthy ones than the domain needs. It waits while gossip suspects any of
// them: one that has just failed still counts as healthy, as its last responses are recent, and another one would be removed.
func (rp Repair) shrink(healthy []replicator.Member, wanted int) (replicator.Change, bool) {
	if len(healthy) <= max(wanted, minVotersKept) || slices.ContainsFunc(healthy, rp.notAlive) {
		return replicator.Change{}, false
	}
	sorted := byPreference(rp.Key, healthy)
	for ix := len(sorted) - 1; ix >= 0; ix-- {
		if sorted[ix].ID() != rp.Status.Self.ID() {
			return replicator.Change{Kind: replicator.ChangeRemove, Member: sorted[ix]}, true
		}
	}
	return replicator.Change{}, false
}

// notAlive reports whether gossip does not list a member's instance as alive.
func (rp Repair) notAlive(mb replicator.Member) bool {
	return !slices.ContainsFunc(rp.Candidates, func(ca Candidate) bool {
		return ca.Member.Instance == mb.Instance && ca.State == StateAlive
	})
}

// spares returns the domain's alive candidates that are not members of the group, in order of preference.
func (rp Repair) spares(alive []replicator.Member) []replicator.Member {
	var free []replicator.Member
	for _, mb := range alive {
		if !rp.hasMember(mb) {
			free = append(free, mb)
		}
	}
	return byPreference(rp.Key, free)
}

func (rp Repair) hasMember(mb replicator.Member) bool {
	for _, ms := range rp.Status.Configuration {
		if ms.Member.Instance == mb.Instance && processBoot(ms.Member.Boot) >= mb.Boot {
			return true
		}
	}
	return false
}

// addLearner returns the change that adds a spare under an identity that no member of the group ever had, as its process may have
// been a member before and have dropped the state: the identity includes the index of the entry that adds it.
// The preferred spares take turns, so that an unreachable one does not block the repair.
func (rp Repair) addLearner(spares []replicator.Member) replicator.Change {
	turn := rp.Status.LastIndex / 2 // a failed try takes two entries: one that adds the spare, one that removes it
	mb := spares[turn%uint64(min(len(spares), spareRotation))]
	mb.Boot = fmt.Sprintf("%s%s%d", mb.Boot, memberMark, rp.Status.LastIndex+1)
	return replicator.Change{Kind: replicator.ChangeAdd, Member: mb}
}
