package sharder_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

func ExampleHome() {
	fds := []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"}
	fmt.Println(sharder.Home("order-7", fds) == sharder.Home("order-7", []gypsumhoist.FailureDomain{fds[2], fds[0], fds[1]}))
	// Output: true
}

func ExampleGroupSize() {
	for _, instances := range []int{1, 2, 3, 4, 7, 212} {
		fmt.Print(sharder.GroupSize(instances), " ")
	}
	// Output: 1 1 3 3 5 5
}

func TestHomeMovesOnlyKeysOfRemovedDomain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		key := rapid.String().Draw(rt, "key")
		fds := []gypsumhoist.FailureDomain{"a", "b", "c", "d"}
		removed := rapid.IntRange(0, 3).Draw(rt, "gone")
		home := sharder.Home(key, fds)
		rest := append(append([]gypsumhoist.FailureDomain{}, fds[:removed]...), fds[removed+1:]...)
		if next := sharder.Home(key, rest); home != fds[removed] && next != home {
			rt.Fatalf("%q moved from %s to %s when %s was removed", key, home, next, fds[removed])
		}
		if shard := sharder.Shard(key); shard < 0 || shard >= sharder.ShardCount {
			rt.Fatalf("shard %d", shard)
		}
	})
}

func member(number int, boot string) replicator.Member {
	return replicator.Member{Instance: gypsumhoist.Instance(fmt.Sprint("n", number)), Boot: boot}
}

// TestRepairConverges applies the leader's changes to a model of a domain until there are no more:
// the group must then be as large as the domain allows, without members whose processes have ended, and no step may
// leave fewer healthy voters than a majority.
func TestRepairConverges(t *testing.T) {
	now := time.Unix(1e9, 0)
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 9).Draw(rt, "instances")
		voters := rapid.IntRange(1, min(count, sharder.MaxVoters)).Draw(rt, "voters")
		var candidates []sharder.Candidate
		su := replicator.Status{Self: member(0, "1"), Role: replicator.RoleLeader, LastIndex: 10}
		su.Lease = replicator.Lease{Held: true, Since: now.Add(-time.Hour)}
		dead, fresh := map[replicator.MemberID]bool{}, map[replicator.MemberID]bool{}
		for number := range count {
			ca := sharder.Candidate{Member: member(number, "1"), Domain: "a", State: sharder.StateAlive}
			if number < voters {
				su.Configuration = append(su.Configuration, replicator.Membership{Member: ca.Member, Voter: true})
			}
			fate := rapid.IntRange(0, 4).Draw(rt, "fate")
			bad := number < voters && number > 0 && 2*(len(dead)+1) < voters
			switch {
			case bad && fate == 1:
				ca.Member.Boot = "2"
			case bad && fate == 2:
				ca.State = sharder.StateLeft
			case bad && fate >= 3:
				ca.State = sharder.StateSuspect
			}
			if bad && fate >= 1 {
				// With fate 4 it has just failed, so that its last responses are still recent.
				fresh[member(number, "1").ID()] = fate == 4
				dead[member(number, "1").ID()] = true
			}
			candidates = append(candidates, ca)
		}
		for step := 0; ; step++ {
			su.Peers = nil
			healthy := 0
			for _, ms := range su.Configuration {
				ps := replicator.PeerStatus{Member: ms.Member, Voter: ms.Voter, Match: 10, CaughtUp: true, Answered: now}
				if dead[ms.Member.ID()] {
					ps.CaughtUp = false
					if !fresh[ms.Member.ID()] {
						ps.Answered = time.Time{}
					}
				} else if ms.Voter {
					healthy++
				}
				su.Peers = append(su.Peers, ps)
			}
			if healthy < su.Configuration.Majority() {
				rt.Fatalf("step %d left %d healthy voters of %v", step, healthy, su.Configuration)
			}
			ch, ok := sharder.Repair{Key: sharder.Key{Domain: "a"}, Status: su, Candidates: candidates, UnresponsiveAfter: time.Second}.Next(now)
			if !ok && len(fresh) > 0 {
				clear(fresh) // the responses are no longer recent
				continue
			}
			if !ok {
				expectStable(rt, su.Configuration, candidates, dead)
				return
			}
			if step > 40 {
				rt.Fatalf("does not converge: %v of %v", ch, su.Configuration)
			}
			su.Configuration = applyChange(su.Configuration, ch)
			su.LastIndex++
		}
	})
}

func applyChange(cf replicator.Configuration, ch replicator.Change) replicator.Configuration {
	var next replicator.Configuration
	for _, ms := range cf {
		if ms.Member.ID() != ch.Member.ID() {
			next = append(next, ms)
		} else if ch.Kind == replicator.ChangePromote {
			next = append(next, replicator.Membership{Member: ms.Member, Voter: true})
		}
	}
	if ch.Kind == replicator.ChangeAdd {
		next = append(next, replicator.Membership{Member: ch.Member})
	}
	return next
}

func expectStable(rt *rapid.T, cf replicator.Configuration, candidates []sharder.Candidate, dead map[replicator.MemberID]bool) {
	alive, healthy := 0, 0
	for _, ca := range candidates {
		if ca.State == sharder.StateAlive {
			alive++
		}
	}
	for _, ms := range cf {
		if !dead[ms.Member.ID()] {
			healthy++
			continue
		}
		for _, ca := range candidates {
			if ca.Member.Instance == ms.Member.Instance && ca.State != sharder.StateSuspect {
				rt.Fatalf("%s has ended but is still a member", ms.Member.ID())
			}
		}
	}
	if healthy < sharder.GroupSize(alive) {
		rt.Fatalf("%d healthy voters with %d alive instances after the last change", healthy, alive)
	}
}

func BenchmarkShard(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		sharder.Shard("0199c2f0-7b1e-7cc0-8d2a-3f0f6a9d1c55")
	}
}
