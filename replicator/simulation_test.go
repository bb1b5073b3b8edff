package replicator_test

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// node is one member: a core with its own clock and its saved state.
type node struct {
	member    rp.Member
	clockRate float64 // speed of its clock relative to the simulation's
	epoch     time.Time
	disk      rp.Stored
	durable   bool // its disk survives a crash
	core      *rp.Core
	index     uint64 // last applied
	checksum  uint64 // over all applied entries
	commit    uint64
}

func (nd *node) now(at time.Duration) time.Time {
	return nd.epoch.Add(time.Duration(float64(at) * nd.clockRate))
}

// simulation runs cores over a network that loses, duplicates, delays and reorders messages, and checks
// the invariants at each step.
type simulation struct {
	fail      func(format string, args ...any)
	rnd       *rand.Rand
	elapsed   time.Duration
	nodes     []*node
	inFlight  []rp.Message
	blocked   map[[2]rp.MemberID]bool
	leaders   map[uint64]rp.MemberID
	checksums map[uint64]uint64
	highest   uint64            // commit index of any node so far
	reads     map[uint64]uint64 // by ID: the highest commit index when the read began
	lastRead  uint64
	nodesMade int
	initial   []rp.Member
}

func newSimulation(seed uint64, count int, durable bool, fail func(string, ...any)) *simulation {
	sim := &simulation{
		fail: fail, rnd: rand.New(rand.NewPCG(seed, 1)), blocked: map[[2]rp.MemberID]bool{},
		leaders: map[uint64]rp.MemberID{}, checksums: map[uint64]uint64{}, reads: map[uint64]uint64{},
	}
	for range count {
		sim.addNode(durable)
	}
	for _, nd := range sim.nodes {
		sim.initial = append(sim.initial, nd.member)
	}
	for _, nd := range sim.nodes {
		sn := rp.InitialSnapshot(sim.initial, make([]byte, 8))
		nd.disk = rp.Stored{State: rp.State{Term: 1}, Snapshot: sn}
		sim.start(nd)
	}
	return sim
}

func (sim *simulation) addNode(durable bool) *node {
	sim.nodesMade++
	nd := &node{
		member: rp.Member{
			Instance: gypsumhoist.Instance(fmt.Sprintf("n%d", sim.nodesMade)), Boot: "1",
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(sim.nodesMade)}), 1),
		},
		// With a lease of 400 ms and an ElectionMin of 500 ms, clock rates may differ by up to a fifth.
		clockRate: 0.92 + 0.16*sim.rnd.Float64(), epoch: time.Unix(1e9+sim.rnd.Int64N(1e6), 0), durable: durable,
	}
	sim.nodes = append(sim.nodes, nd)
	return nd
}

func (sim *simulation) start(nd *node) {
	nd.core = rp.NewCore(nd.member, rp.DefaultTimings(), nd.disk, nd.now(sim.elapsed), sim.rnd)
	nd.index, nd.checksum, nd.commit = nd.disk.Snapshot.Index, 0, 0
	if len(nd.disk.Snapshot.Data) > 0 {
		nd.checksum = binary.BigEndian.Uint64(nd.disk.Snapshot.Data)
	}
}

// save stores a batch as a journal does.
func (nd *node) save(bt rp.Batch) {
	if bt.State != nil {
		nd.disk.State = *bt.State
	}
	if bt.Reset {
		nd.disk.Entries = nil
	}
	if bt.Snapshot != nil {
		nd.disk.Snapshot = *bt.Snapshot
		for len(nd.disk.Entries) > 0 && nd.disk.Entries[0].Index <= bt.Snapshot.Index {
			nd.disk.Entries = nd.disk.Entries[1:]
		}
	}
	if len(bt.Entries) > 0 {
		keep := bt.Entries[0].Index - nd.disk.Snapshot.Index - 1
		nd.disk.Entries = append(nd.disk.Entries[:keep:keep], bt.Entries...)
	}
}

// processOutput carries out a node's output. With crash 1 the node crashes before the save and loses all of it,
// with 2 just after the save.
func (sim *simulation) processOutput(nd *node, crash int) {
	if crash == 1 {
		nd.core = nil
		return
	}
	out := nd.core.TakeOutput()
	nd.save(out.Batch)
	if crash == 2 {
		nd.core = nil
		return
	}
	sim.inFlight = append(sim.inFlight, out.Messages...)
	if out.Restore != nil {
		nd.index, nd.checksum = out.Restore.Index, binary.BigEndian.Uint64(out.Restore.Data)
		sim.checkLog(nd)
	}
	for _, en := range out.Committed {
		nd.apply(en)
		sim.checkLog(nd)
	}
	for _, rd := range out.Reads {
		if rd.OK && rd.Index < sim.reads[rd.ID] {
			sim.fail("read %d returned index %d, but %d was committed before it", rd.ID, rd.Index, sim.reads[rd.ID])
		}
	}
	sim.checkInvariants(nd)
}

func (nd *node) apply(en rp.Entry) {
	hs := fnv.New64a()
	_ = binary.Write(hs, binary.BigEndian, []uint64{nd.checksum, en.Index, en.Term})
	_, _ = hs.Write(en.Command)
	nd.index, nd.checksum = en.Index, hs.Sum64()
}

// checkLog fails if the node has applied other entries than another node did.
func (sim *simulation) checkLog(nd *node) {
	sum, ok := sim.checksums[nd.index]
	if ok && sum != nd.checksum {
		sim.fail("%s has applied a different log up to index %d", nd.member.ID(), nd.index)
	}
	sim.checksums[nd.index] = nd.checksum
}

// checkInvariants checks that each term has one leader, and the leases.
func (sim *simulation) checkInvariants(nd *node) {
	su := nd.core.Status(nd.now(sim.elapsed))
	if su.Role == rp.RoleLeader {
		id, ok := sim.leaders[su.Term]
		if ok && id != nd.member.ID() {
			sim.fail("term %d has the leaders %s and %s", su.Term, id, nd.member.ID())
		}
		sim.leaders[su.Term] = nd.member.ID()
	}
	nd.commit = su.Commit
	sim.highest = max(sim.highest, su.Commit)
	sim.checkLeases()
}

func (sim *simulation) checkLeases() {
	var holder *node
	for _, nd := range sim.nodes {
		if nd.core == nil || !nd.core.Lease(nd.now(sim.elapsed)).Held {
			continue
		}
		if holder != nil {
			sim.fail("%s and %s hold leases at %s", holder.member.ID(), nd.member.ID(), sim.elapsed)
		}
		holder = nd
		if nd.commit < sim.highest {
			sim.fail("%s holds the lease with commit index %d, but %d is committed", nd.member.ID(), nd.commit, sim.highest)
		}
	}
}

// runFor advances the time in small steps. At each step a message in flight is delivered with probability pDeliver;
// a delivered one is lost with pLose and duplicated with pDuplicate.
func (sim *simulation) runFor(dr time.Duration, pDeliver, pLose, pDuplicate float64) {
	const step = 5 * time.Millisecond
	for end := sim.elapsed + dr; sim.elapsed < end; {
		sim.elapsed += step
		sim.checkLeases()
		for _, nd := range sim.nodes {
			if nd.core != nil && !nd.now(sim.elapsed).Before(nd.core.Deadline()) {
				nd.core.Tick(nd.now(sim.elapsed))
				sim.processOutput(nd, 0)
			}
		}
		sim.deliver(pDeliver, pLose, pDuplicate)
	}
}

func (sim *simulation) deliver(pDeliver, pLose, pDuplicate float64) {
	sim.rnd.Shuffle(len(sim.inFlight), func(ia, ib int) { sim.inFlight[ia], sim.inFlight[ib] = sim.inFlight[ib], sim.inFlight[ia] })
	var later []rp.Message
	due := sim.inFlight
	sim.inFlight = nil
	for _, ms := range due {
		if sim.rnd.Float64() >= pDeliver {
			later = append(later, ms)
			continue
		}
		if sim.rnd.Float64() < pDuplicate {
			later = append(later, ms)
		}
		nd := sim.find(ms.To.ID())
		lost := sim.rnd.Float64() < pLose || sim.blocked[[2]rp.MemberID{ms.From.ID(), ms.To.ID()}]
		if lost || nd == nil || nd.core == nil {
			continue
		}
		nd.core.Step(nd.now(sim.elapsed), ms)
		sim.processOutput(nd, 0)
	}
	sim.inFlight = append(sim.inFlight, later...)
}

func (sim *simulation) find(id rp.MemberID) *node {
	for _, nd := range sim.nodes {
		if nd.member.ID() == id {
			return nd
		}
	}
	return nil
}

// leader returns the node that holds the lease, or nil.
func (sim *simulation) leader() *node {
	for _, nd := range sim.nodes {
		if nd.core != nil && nd.core.Lease(nd.now(sim.elapsed)).Held {
			return nd
		}
	}
	return nil
}

func (sim *simulation) crash(nd *node, point int) {
	if nd.core == nil {
		return
	}
	sim.processOutput(nd, point)
	if !nd.durable {
		nd.disk = rp.Stored{}
	}
}

// isolate blocks or unblocks the messages that a node sends and those that it receives.
func (sim *simulation) isolate(nd *node, out, in bool) {
	for _, other := range sim.nodes {
		if other != nd {
			sim.blocked[[2]rp.MemberID{nd.member.ID(), other.member.ID()}] = out
			sim.blocked[[2]rp.MemberID{other.member.ID(), nd.member.ID()}] = in
		}
	}
}

// propose proposes random commands at a node and reports whether it accepted them.
func (sim *simulation) propose(nd *node, count int) bool {
	var cms [][]byte
	for range count {
		cms = append(cms, binary.BigEndian.AppendUint64(nil, sim.rnd.Uint64()))
	}
	_, ok := nd.core.Propose(nd.now(sim.elapsed), cms...)
	sim.processOutput(nd, 0)
	return ok
}

func (sim *simulation) change(nd *node, kind rp.ChangeKind, mb rp.Member) error {
	_, err := nd.core.Change(nd.now(sim.elapsed), rp.Change{Kind: kind, Member: mb})
	sim.processOutput(nd, 0)
	return err
}

func (sim *simulation) compact(nd *node) {
	data := make([]byte, 8+sim.rnd.IntN(600<<10))
	binary.BigEndian.PutUint64(data, nd.checksum)
	nd.core.Compact(nd.index, data)
	sim.processOutput(nd, 0)
}

func (sim *simulation) startRead(nd *node) {
	sim.lastRead++
	sim.reads[sim.lastRead] = sim.highest
	nd.core.Read(nd.now(sim.elapsed), sim.lastRead)
	sim.processOutput(nd, 0)
}
