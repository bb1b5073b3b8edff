package sharder_test

import (
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// TestPlanRequiresProof checks what proves that a generation has lost its majority and what does not.
func TestPlanRequiresProof(t *testing.T) {
	now := time.Unix(1e9, 0)
	old := []replicator.Member{member(1, "1"), member(2, "1"), member(3, "1")}
	var pls []sharder.Placement
	for shard := range sharder.ShardCount {
		pls = append(pls, sharder.Placement{Domain: "a", Shard: shard, Generation: 4, InitialMembers: old})
	}
	candidate := func(number int, boot string, state sharder.State) sharder.Candidate {
		return sharder.Candidate{Member: member(number, boot), Domain: "a", State: state}
	}
	report := func(age time.Duration, voters ...replicator.Member) []sharder.Report {
		return []sharder.Report{{Key: sharder.Key{Domain: "a"}, Generation: 4, Voters: voters, ReceivedAt: now.Add(-age)}}
	}
	cases := map[string]struct {
		candidates []sharder.Candidate
		reports    []sharder.Report
		want       int
	}{
		"two suspects": {[]sharder.Candidate{
			candidate(1, "1", sharder.StateAlive), candidate(2, "1", sharder.StateSuspect), candidate(3, "1", sharder.StateSuspect),
		}, nil, 0},
		"one restarted": {[]sharder.Candidate{
			candidate(1, "1", sharder.StateAlive), candidate(2, "2", sharder.StateAlive), candidate(3, "1", sharder.StateAlive),
		}, nil, 0},
		"an older boot": {[]sharder.Candidate{
			candidate(1, "0", sharder.StateAlive), candidate(2, "0", sharder.StateAlive), candidate(3, "0", sharder.StateAlive),
		}, nil, 0},
		"two restarted": {[]sharder.Candidate{
			candidate(1, "1", sharder.StateAlive), candidate(2, "2", sharder.StateAlive), candidate(3, "2", sharder.StateAlive),
		}, nil, sharder.ShardCount},
		"one left, one restarted": {[]sharder.Candidate{
			candidate(1, "1", sharder.StateAlive), candidate(2, "1", sharder.StateLeft), candidate(3, "2", sharder.StateAlive),
		}, nil, sharder.ShardCount},
		"a recent report from the group of one shard": {[]sharder.Candidate{
			candidate(2, "2", sharder.StateAlive), candidate(3, "2", sharder.StateAlive),
		}, report(-15*time.Second, old...), sharder.ShardCount - 1},
		"a report of one shard with new members": {[]sharder.Candidate{
			candidate(2, "2", sharder.StateAlive), candidate(3, "2", sharder.StateAlive),
		}, report(time.Hour, member(7, "1"), member(8, "1"), member(2, "1")), sharder.ShardCount - 1},
		"a report without voters": {[]sharder.Candidate{candidate(1, "1", sharder.StateAlive)}, report(time.Hour), 0},
	}
	for name, ca := range cases {
		var pn sharder.Planner
		if plan := pn.Plan(now, pls, ca.candidates, ca.reports); len(plan) > 0 {
			t.Errorf("%s: planned without a delay", name)
		}
		plan := pn.Plan(now.Add(2*sharder.GenerationDelay), pls, ca.candidates, ca.reports)
		if len(plan) != ca.want {
			t.Errorf("%s: %d planned, want %d", name, len(plan), ca.want)
		}
		for _, pl := range plan {
			if pl.Generation != 5 || len(pl.InitialMembers) == 0 {
				t.Errorf("%s: planned %+v", name, pl)
			}
		}
	}
}
