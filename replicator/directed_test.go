package replicator_test

import (
	"slices"
	"testing"
	"time"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// deliverOnly delivers the messages that match, including those that result from them, and loses all others.
func (sim *simulation) deliverOnly(want func(ms rp.Message) bool) {
	for {
		at := slices.IndexFunc(sim.inFlight, want)
		if at < 0 {
			sim.inFlight = nil
			return
		}
		ms := sim.inFlight[at]
		sim.inFlight = slices.Delete(sim.inFlight, at, at+1)
		if nd := sim.find(ms.To.ID()); nd.core != nil {
			nd.core.Step(nd.now(sim.elapsed), ms)
			sim.processOutput(nd, 0)
		}
	}
}

// between matches messages among the given nodes.
func between(nds ...*node) func(ms rp.Message) bool {
	return func(ms rp.Message) bool {
		in := func(mb rp.Member) bool {
			return slices.ContainsFunc(nds, func(nd *node) bool { return nd.member == mb })
		}
		return in(ms.From) && in(ms.To)
	}
}

// elect makes a node campaign until the given voters elect it. It takes several terms if they have voted in some already.
func (sim *simulation) elect(nd *node, voters ...*node) {
	for range 5 {
		trigger := rp.Message{From: nd.member, To: nd.member, Term: nd.core.Term(), Body: rp.TimeoutNow{}}
		nd.core.Step(nd.now(sim.elapsed), trigger)
		sim.processOutput(nd, 0)
		sim.deliverOnly(func(ms rp.Message) bool {
			switch ms.Body.(type) {
			case rp.VoteRequest, rp.VoteResponse:
				return between(append(voters, nd)...)(ms)
			default:
				return false
			}
		})
		if nd.core.Role() == rp.RoleLeader {
			return
		}
	}
	sim.fail("%s was not elected", nd.member.ID())
}

func TestCoreCommitsOnlyThroughAnEntryOfItsOwnTerm(t *testing.T) {
	sim := newSimulation(1, 5, true, t.Fatalf)
	n1, n2, n3, n4, n5 := sim.nodes[0], sim.nodes[1], sim.nodes[2], sim.nodes[3], sim.nodes[4]
	sim.elect(n1, n2, n3)
	big := make([]byte, 300<<10) // too big to share a message with another entry
	if _, ok := n1.core.Propose(n1.now(sim.elapsed), big); !ok {
		t.Fatal("proposal rejected")
	}
	sim.processOutput(n1, 0)
	sim.runFor(110*time.Millisecond, 0, 0, 0)
	sim.deliverOnly(between(n1, n2))
	sim.crash(n1, 1)
	sim.elect(n5, n3, n4)
	sim.crash(n5, 2)
	sim.start(n1)
	sim.elect(n1, n2, n3)
	// n3 receives the entry of the old term, but not yet that of the new one.
	sim.runFor(110*time.Millisecond, 0, 0, 0)
	sim.deliverOnly(func(ms rp.Message) bool {
		req, ok := ms.Body.(rp.AppendRequest)
		fresh := ok && len(req.Entries) > 0 && req.Entries[len(req.Entries)-1].Term == n1.core.Term()
		return between(n1, n2, n3)(ms) && !fresh
	})
	sim.crash(n1, 1)
	sim.start(n5)
	sim.elect(n5, n2, n3, n4)
	sim.runFor(3*time.Second, 1, 0, 0)
}

func TestCoreWithholdsItsVoteAfterARestart(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(seed, 3, true, t.Fatalf)
		for sim.leader() == nil {
			sim.runFor(50*time.Millisecond, 1, 0, 0)
		}
		ld := sim.leader()
		rest := slices.DeleteFunc(slices.Clone(sim.nodes), func(nd *node) bool { return nd == ld })
		ids := [2]rp.MemberID{ld.member.ID(), rest[0].member.ID()}
		sim.blocked[ids], sim.blocked[[2]rp.MemberID{ids[1], ids[0]}] = true, true
		sim.runFor(2*time.Second, 1, 0, 0)
		if sim.leader() != ld {
			t.Fatalf("seed %d: a voter with contact to the leader elected another one", seed)
		}
		// The only voter on which the lease rests restarts and forgets its contact with the leader, which is then isolated.
		sim.isolate(ld, true, true)
		sim.crash(rest[1], 2)
		sim.start(rest[1])
		sim.runFor(3*time.Second, 1, 0, 0)
		if sim.leader() == nil || sim.leader() == ld {
			t.Fatalf("seed %d: no new leader", seed)
		}
	}
}

func TestCoreChangesMembershipsOneAtATime(t *testing.T) {
	sim := newSimulation(3, 3, true, t.Fatalf)
	ld := sim.nodes[0]
	sim.elect(ld, sim.nodes[1], sim.nodes[2])
	one, two := sim.addNode(true), sim.addNode(true)
	if sim.change(ld, rp.ChangeAdd, one.member) == nil {
		t.Fatal("change accepted before an entry of the term was committed")
	}
	sim.runFor(500*time.Millisecond, 1, 0, 0)
	if err := sim.change(ld, rp.ChangeAdd, one.member); err != nil {
		t.Fatal(err)
	}
	if sim.change(ld, rp.ChangeAdd, two.member) == nil {
		t.Fatal("accepted a second change before the first was committed")
	}
	sim.runFor(500*time.Millisecond, 1, 0, 0)
	if sim.change(ld, rp.ChangePromote, one.member) == nil {
		t.Fatal("promoted a member with an empty log")
	}
	if sim.change(ld, rp.ChangeKind("other"), one.member) == nil {
		t.Fatal("accepted an unknown kind of change")
	}
	sim.start(one)
	sim.runFor(500*time.Millisecond, 1, 0, 0)
	if err := sim.change(ld, rp.ChangePromote, one.member); err != nil {
		t.Fatal(err)
	}
}

func TestCoreGivesUpItsLeaseBeforeATransfer(t *testing.T) {
	sim := newSimulation(4, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	if !ld.core.Transfer(ld.now(sim.elapsed)) {
		t.Fatal("no voter to transfer to")
	}
	if ld.core.Lease(ld.now(sim.elapsed)).Held || sim.propose(ld, 1) {
		t.Fatal("still acts as the leader after the transfer began")
	}
	sim.runFor(100*time.Millisecond, 1, 0, 0)
	if next := sim.leader(); next == nil || next == ld {
		t.Fatal("no new leader after the transfer")
	}
}

func TestCoreKeepsAcknowledgedEntriesAfterASnapshot(t *testing.T) {
	sim := newSimulation(5, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	nd := sim.nodes[(slices.Index(sim.nodes, ld)+1)%3]
	sim.propose(ld, 20)
	sim.deliverOnly(between(ld, nd))
	su := nd.core.Status(nd.now(sim.elapsed))
	if su.Commit == su.LastIndex {
		t.Fatal("no uncommitted entry")
	}
	at := su.LastIndex - 5
	sn := rp.Snapshot{Index: at, Term: su.Term, Configuration: su.Configuration, Data: make([]byte, 8)}
	nd.core.Step(nd.now(sim.elapsed), rp.Message{From: ld.member, To: nd.member, Term: su.Term, Body: rp.SnapshotRequest{Snapshot: sn, Total: 8}})
	if later := nd.core.Status(nd.now(sim.elapsed)); later.Commit != at || later.LastIndex != su.LastIndex {
		t.Fatalf("commit index %d, last index %d; want %d, %d", later.Commit, later.LastIndex, at, su.LastIndex)
	}
}

func TestCoreDropsOverwrittenConfigurations(t *testing.T) {
	sim := newSimulation(6, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	old := sim.leader()
	sim.isolate(old, true, true)
	if err := sim.change(old, rp.ChangeAdd, sim.addNode(true).member); err != nil {
		t.Fatal(err)
	}
	sim.runFor(4*time.Second, 1, 0, 0)
	next := sim.leader()
	sim.propose(next, 3)
	clear(sim.blocked)
	sim.runFor(2*time.Second, 1, 0, 0)
	if cf := old.core.Status(old.now(sim.elapsed)).Configuration; len(cf) != 3 {
		t.Fatalf("configuration %v", cf)
	}
	if next.commit != old.commit {
		t.Fatalf("commit indexes %d and %d", next.commit, old.commit)
	}
}

func TestCoreNotifiesARemovedMemberUnderALeaderItNeverKnew(t *testing.T) {
	sim := newSimulation(7, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	rest := slices.DeleteFunc(slices.Clone(sim.nodes), func(nd *node) bool { return nd == ld })
	removed, next := rest[0], sim.addNode(true)
	sim.isolate(removed, true, true)
	for _, ch := range []rp.Change{
		{Kind: rp.ChangeRemove, Member: removed.member}, {Kind: rp.ChangeAdd, Member: next.member}, {Kind: rp.ChangePromote, Member: next.member},
	} {
		if err := sim.change(ld, ch.Kind, ch.Member); err != nil {
			t.Fatal(err)
		}
		if next.core == nil {
			sim.start(next)
		}
		sim.runFor(time.Second, 1, 0, 0)
	}
	sim.elect(next, ld, rest[1])
	sim.runFor(time.Second, 1, 0, 0)
	clear(sim.blocked)
	sim.runFor(3*time.Second, 1, 0, 0)
	if removed.core.Role() != rp.RoleRemoved || sim.leader() != next {
		t.Fatalf("role %s, leader %v", removed.core.Role(), sim.leader().member)
	}
}

func TestCoreCountsItsLeaseFromTheTimeOfSending(t *testing.T) {
	sim := newSimulation(8, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	// The leader's next heartbeat arrives, but the responses to it take 350 ms, and all later messages are lost.
	sim.inFlight = nil
	ld.core.Tick(ld.now(sim.elapsed + 120*time.Millisecond))
	sim.elapsed += 120 * time.Millisecond
	sim.processOutput(ld, 0)
	requests := sim.inFlight
	sim.inFlight = nil
	for _, ms := range requests {
		nd := sim.find(ms.To.ID())
		nd.core.Step(nd.now(sim.elapsed), ms)
		sim.processOutput(nd, 0)
	}
	responses := sim.inFlight
	sim.inFlight = nil
	sim.isolate(ld, true, true)
	sim.runFor(350*time.Millisecond, 1, 0, 0)
	for _, ms := range responses {
		ld.core.Step(ld.now(sim.elapsed), ms)
	}
	sim.processOutput(ld, 0)
	sim.runFor(120*time.Millisecond, 1, 0, 0)
	if ld.core.Lease(ld.now(sim.elapsed)).Held {
		t.Fatal("the lease is held for more than 400 ms after the heartbeat was sent")
	}
}

func TestCoreElectsNoMemberThatLacksCommittedEntries(t *testing.T) {
	sim := newSimulation(9, 3, true, func(string, ...any) {})
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	rest := slices.DeleteFunc(slices.Clone(sim.nodes), func(nd *node) bool { return nd == ld })
	sim.isolate(rest[0], true, true)
	sim.propose(ld, 3)
	sim.runFor(500*time.Millisecond, 1, 0, 0)
	sim.elect(rest[0], rest[1])
	if rest[0].core.Role() == rp.RoleLeader {
		t.Fatal("elected a member that lacks committed entries")
	}
}

func TestCoreWithholdsItsVoteAfterARestartWithoutVoteOrEntries(t *testing.T) {
	for seed := range uint64(60) {
		sim := newSimulation(seed, 3, true, t.Fatalf)
		n1, n2, n3 := sim.nodes[0], sim.nodes[1], sim.nodes[2]
		sim.elect(n1, n2)
		sim.runFor(time.Second, 1, 0, 0)
		sim.compact(n3)
		sim.blocked[[2]rp.MemberID{n1.member.ID(), n2.member.ID()}] = true
		sim.blocked[[2]rp.MemberID{n2.member.ID(), n1.member.ID()}] = true
		sim.runFor(2*time.Second, 1, 0, 0)
		if vote := (rp.MemberID{}); sim.leader() != n1 || n3.disk.State.Vote != vote || len(n3.disk.Entries) > 0 {
			t.Fatalf("seed %d: precondition not met", seed)
		}
		sim.isolate(n1, true, true)
		sim.crash(n3, 2)
		sim.start(n3)
		sim.runFor(3*time.Second, 1, 0, 0)
	}
}

func TestCoreCompletesNoReadBeforeItsLeadershipIsConfirmed(t *testing.T) {
	sim := newSimulation(10, 3, true, t.Fatalf)
	sim.runFor(3*time.Second, 1, 0, 0)
	ld := sim.leader()
	sim.isolate(ld, true, true)
	for ld.core.Lease(ld.now(sim.elapsed)).Held {
		sim.runFor(5*time.Millisecond, 1, 0, 0)
	}
	now := ld.now(sim.elapsed)
	if ld.core.Role() != rp.RoleLeader || ld.core.Lease(now).Held {
		t.Fatal("precondition not met")
	}
	ld.core.Read(now, 1)
	if out := ld.core.TakeOutput(); len(out.Reads) > 0 {
		t.Fatalf("read completed without lease: %+v", out.Reads)
	}
	clear(sim.blocked)
	var got []rp.ReadDone
	for range 60 {
		sim.elapsed += 5 * time.Millisecond
		ld.core.Tick(ld.now(sim.elapsed))
		out := ld.core.TakeOutput()
		sim.inFlight, got = append(sim.inFlight, out.Messages...), append(got, out.Reads...)
		sim.deliver(1, 0, 0)
	}
	if len(got) == 0 && ld.core.Role() == rp.RoleLeader {
		t.Fatal("read never completed")
	}
}
