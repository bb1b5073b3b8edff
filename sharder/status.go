package sharder

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// GroupStatus is the status of a shard group as seen by this process, which is a member.
type GroupStatus struct {
	Key        Key
	Generation uint64
	Role       replicator.Role
	Leader     replicator.Member // the zero value means that none is known
	Lease      replicator.Lease
	Voters     []replicator.Member
	Learners   []replicator.Member
	// Unresponsive lists the voters that don't respond to the leader; it is set at the leader only.
	Unresponsive []replicator.Member
	// FaultTolerance is how many more voters may fail at once without loss of the majority; below zero, it is lost already.
	FaultTolerance int
	// Warning is a sentence on the failures that would stop the group; empty if it survives the loss of two voters.
	Warning string
}

// Status returns the status of each group that this process is a member of, ordered by shard.
func (sh *Sharder) Status() []GroupStatus {
	var all []GroupStatus
	for _, gr := range sh.allRunners() {
		all = append(all, gr.status())
	}
	slices.SortFunc(all, func(ga, gb GroupStatus) int { return cmp.Compare(ga.Key.Shard, gb.Key.Shard) })
	return all
}

func (gr *groupRunner) status() GroupStatus {
	su := gr.group.Status()
	gs := GroupStatus{Key: gr.key, Generation: gr.generation, Role: su.Role, Leader: su.Leader, Lease: su.Lease}
	now := time.Now()
	for _, ms := range su.Configuration {
		if !ms.Voter {
			gs.Learners = append(gs.Learners, ms.Member)
			continue
		}
		gs.Voters = append(gs.Voters, ms.Member)
		if su.Role == replicator.RoleLeader && ms.Member.ID() != su.Self.ID() && !responsive(su, ms.Member, now) {
			gs.Unresponsive = append(gs.Unresponsive, ms.Member)
		}
	}
	gs.FaultTolerance = len(gs.Voters) - len(gs.Unresponsive) - su.Configuration.Majority()
	gs.Warning = warning(gs)
	return gs
}

const responsiveWithin = time.Second

func responsive(su replicator.Status, mb replicator.Member, now time.Time) bool {
	for _, ps := range su.Peers {
		if ps.Member.ID() == mb.ID() {
			return now.Sub(ps.Answered) < responsiveWithin
		}
	}
	return false
}

func warning(gs GroupStatus) string {
	switch {
	case len(gs.Voters) == 0:
		return "this instance has not copied the group yet"
	case gs.FaultTolerance < 0:
		return "the group has no majority: requests that need it are refused"
	case gs.FaultTolerance == 0:
		return fmt.Sprintf("the loss of any voter among %d that answer stops the group", len(gs.Voters)-len(gs.Unresponsive))
	case gs.FaultTolerance == 1:
		return "the loss of two voters at once stops the group"
	default:
		return ""
	}
}
