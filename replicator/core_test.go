package replicator_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// randomStep runs one random operation or fault.
func randomStep(sim *simulation) {
	nd := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
	kind := sim.rnd.IntN(24)
	if nd.core == nil && kind >= 4 && kind < 22 {
		if nd.durable && kind < 9 {
			sim.start(nd)
		}
		return
	}
	switch kind {
	case 0, 1, 2:
		sim.runFor(time.Duration(5+sim.rnd.IntN(400))*time.Millisecond, 0.4, 0.05, 0.05)
	case 3, 16, 17:
		sim.runFor(time.Duration(100+sim.rnd.IntN(2400))*time.Millisecond, 0.9, 0, 0.05)
	case 4, 5:
		sim.propose(nd, 1+sim.rnd.IntN(300))
	case 6:
		sim.isolate(nd, sim.rnd.IntN(2) == 0, sim.rnd.IntN(2) == 0)
	case 7:
		clear(sim.blocked)
	case 22, 23:
		sim.runFor(time.Duration(200+sim.rnd.IntN(1500))*time.Millisecond, 0.03, 0, 0.05)
	case 18, 19, 20, 21:
		other := sim.nodes[sim.rnd.IntN(len(sim.nodes))]
		sim.blocked[[2]rp.MemberID{nd.member.ID(), other.member.ID()}] = true
		sim.blocked[[2]rp.MemberID{other.member.ID(), nd.member.ID()}] = sim.rnd.IntN(4) > 0
	case 8, 9:
		sim.crash(nd, 1+sim.rnd.IntN(2))
	case 10:
		sim.compact(nd)
	case 11:
		nd.core.Transfer(nd.now(sim.elapsed))
		sim.processOutput(nd, 0)
	case 12, 13:
		sim.startRead(nd)
	default:
		if ld := sim.leader(); ld != nil {
			for range 1 + sim.rnd.IntN(2) {
				randomChange(sim, ld)
			}
		}
	}
}

// randomChange proposes a random membership change at the leader.
func randomChange(sim *simulation, ld *node) {
	if ld.core == nil {
		return
	}
	cf := ld.core.Status(ld.now(sim.elapsed)).Configuration
	mp := cf[sim.rnd.IntN(len(cf))]
	switch {
	case sim.rnd.IntN(2) == 0 && len(cf) < 5 && len(sim.nodes) < 12:
		if nd := sim.addNode(ld.durable); sim.change(ld, rp.ChangeAdd, nd.member) == nil {
			sim.start(nd)
		}
	case mp.Voter && sim.rnd.IntN(2) == 0:
		_ = sim.change(ld, []rp.ChangeKind{rp.ChangeRemove, rp.ChangeDemote}[sim.rnd.IntN(2)], mp.Member)
	case !mp.Voter:
		_ = sim.change(ld, rp.ChangePromote, mp.Member)
	}
}

// electable reports whether, for each running member, a majority of its configuration is running.
func electable(sim *simulation) bool {
	living := 0
	for _, nd := range sim.nodes {
		if nd.core == nil {
			continue
		}
		living++
		cf, alive := nd.core.Status(nd.now(sim.elapsed)).Configuration, 0
		for _, mp := range cf {
			if other := sim.find(mp.Member.ID()); mp.Voter && other.core != nil && other.core.Role() != rp.RoleRemoved {
				alive++
			}
		}
		if alive < cf.Majority() {
			return false
		}
	}
	return living > 0
}

// expectRecovery restarts all durable nodes, heals all partitions and expects one leader and equal logs,
// unless too many members are lost for good. Without a leader this is checked again at the end, as a configuration
// that a leader sent before it was lost may still have been in flight.
func expectRecovery(sim *simulation) {
	clear(sim.blocked)
	for _, nd := range sim.nodes {
		if nd.core == nil && nd.durable {
			sim.start(nd)
		}
	}
	if !electable(sim) {
		return
	}
	sim.runFor(12*time.Second, 1, 0, 0)
	ld := sim.leader()
	if ld == nil {
		if electable(sim) {
			sim.fail("no leader 12 s after the last fault, at %s", sim.elapsed)
		}
		return
	}
	if !sim.propose(ld, 1) {
		sim.fail("the leader rejects a proposal")
	}
	sim.runFor(time.Second, 1, 0, 0)
	for _, mp := range ld.core.Status(ld.now(sim.elapsed)).Configuration {
		nd := sim.find(mp.Member.ID())
		if nd.core != nil && nd.core.Role() != rp.RoleRemoved && nd.index != ld.index {
			sim.fail("%s has applied index %d, the leader %d", nd.member.ID(), nd.index, ld.index)
		}
	}
}

// checkRandomFaults checks the invariants under random schedules of operations and faults.
func checkRandomFaults(t *testing.T, durable bool) {
	rapid.Check(t, func(rt *rapid.T) {
		count := rapid.IntRange(1, 5).Draw(rt, "members")
		sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), count, durable, rt.Fatalf)
		for range rapid.IntRange(60, 150).Draw(rt, "steps") {
			randomStep(sim)
		}
		expectRecovery(sim)
	})
}

func TestCoreOnDiskKeepsOneLeaderOneLeaseOneLog(t *testing.T)   { checkRandomFaults(t, true) }
func TestCoreInMemoryKeepsOneLeaderOneLeaseOneLog(t *testing.T) { checkRandomFaults(t, false) }
