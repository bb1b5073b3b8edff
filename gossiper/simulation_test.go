package gossiper_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// simulation runs cores over a simulated network with packet loss and partitions; it is deterministic for a seed.
type simulation struct {
	now         time.Time
	events      eventQueue
	serial      int
	rand        *rand.Rand
	lossRate    float64
	partitioned map[[2]int]bool
	nodes       []*simNode
	byAddr      map[netip.AddrPort]*simNode
	seeds       []netip.AddrPort
	// skipChecks omits the checks that only small simulations make; packetSize, if not nil, measures each packet.
	skipChecks bool
	packetSize func(*gossiper.Packet) int
	// seenLeaving holds which members each observer has seen leaving, to detect one that forgets it.
	seenLeaving map[observation]bool
	violations  []string
}

type observation struct {
	observer int
	starts   int
	instance gypsumhoist.Instance
	boot     gossiper.Boot
}

// simNode is an instance that runs at a fixed address; core is nil while it doesn't run.
type simNode struct {
	index  int
	domain gypsumhoist.FailureDomain
	core   *gossiper.Core
	starts int
	// pausedUntil is until when the process is paused; messages other than packets of others wait until it resumes.
	pausedUntil time.Time
	// sentBytes and sentPackets count the packets that the node sent, while the simulation measures them.
	sentBytes, sentPackets int
}

type timedEvent struct {
	at     time.Time
	serial int
	do     func()
}

type eventQueue []*timedEvent

func (eq eventQueue) Len() int { return len(eq) }
func (eq eventQueue) Less(ix, jx int) bool {
	if !eq[ix].at.Equal(eq[jx].at) {
		return eq[ix].at.Before(eq[jx].at)
	}
	return eq[ix].serial < eq[jx].serial
}
func (eq eventQueue) Swap(ix, jx int) { eq[ix], eq[jx] = eq[jx], eq[ix] }
func (eq *eventQueue) Push(val any)   { *eq = append(*eq, val.(*timedEvent)) }
func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}

func newSimulation(seed uint64, size, domains int) *simulation {
	sim := &simulation{
		now:         time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		rand:        rand.New(rand.NewPCG(seed, 2)),
		partitioned: map[[2]int]bool{},
		seenLeaving: map[observation]bool{},

		byAddr:     map[netip.AddrPort]*simNode{},
		skipChecks: size > 100,
	}
	for ix := range size {
		sn := &simNode{index: ix, domain: domainName(ix % domains)}
		sim.nodes = append(sim.nodes, sn)
		sim.byAddr[addrOf(ix)] = sn
	}
	for ix := range domains {
		sim.seeds = append(sim.seeds, addrOf(ix))
	}
	for _, sn := range sim.nodes {
		sim.start(sn)
	}
	return sim
}

// start starts, or restarts, a node with a new boot.
func (sim *simulation) start(sn *simNode) {
	sn.starts++
	sn.pausedUntil = time.Time{}
	starts := sn.starts
	self := gossiper.Member{
		Instance: gypsumhoist.Instance(fmt.Sprintf("n%d", sn.index)),
		Boot:     gossiper.Boot(sim.now.UnixNano() + int64(sn.index)),
		Domain:   sn.domain,
		Peer:     addrOf(sn.index),
		Roles:    gossiper.RoleNode,
	}
	sn.core = gossiper.NewCore(self, sim.seeds, rand.New(rand.NewPCG(sim.rand.Uint64(), 3)), sim.now)
	sim.tick(sn, starts)
}

func (sim *simulation) tick(sn *simNode, starts int) {
	if sn.core == nil || sn.starts != starts {
		return
	}
	sim.input(sn, gossiper.Ticked{})
	sim.after(100*time.Millisecond, func() { sim.tick(sn, starts) })
}

func (sim *simulation) crash(sn *simNode) { sn.core = nil }

func (sim *simulation) after(d time.Duration, do func()) {
	sim.serial++
	heap.Push(&sim.events, &timedEvent{at: sim.now.Add(d), serial: sim.serial, do: do})
}

func (sim *simulation) advance(d time.Duration) {
	until := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(until) {
		ev := heap.Pop(&sim.events).(*timedEvent)
		sim.now = ev.at
		ev.do()
	}
	sim.now = until
}

// input passes a message to a running core, performs its actions and returns its reply.
func (sim *simulation) input(sn *simNode, msg gossiper.Message) (gossiper.Packet, bool) {
	if sn.core == nil {
		return gossiper.Packet{}, false
	}
	if sim.now.Before(sn.pausedUntil) {
		sim.postpone(sn, msg)
		return gossiper.Packet{}, false
	}
	var reply gossiper.Packet
	replied := false
	for _, ac := range sn.core.Handle(sim.now, msg) {
		switch ac := ac.(type) {
		case gossiper.Exchange:
			sim.exchange(sn, ac)
		case gossiper.Relay:
			sim.relay(sn, ac)
		case gossiper.Reply:
			reply, replied = ac.Packet, true
		}
	}
	sim.checkLeaving(sn)
	return reply, replied
}

// postpone passes a message to a paused process when it resumes. Packets of others are dropped, as the senders have
// given up by then.
func (sim *simulation) postpone(sn *simNode, msg gossiper.Message) {
	starts := sn.starts
	if _, ok := msg.(gossiper.Received); ok {
		return
	}
	sim.after(sn.pausedUntil.Sub(sim.now), func() {
		if sn.starts == starts {
			sim.input(sn, msg)
		}
	})
}

// checkLeaving records which members a node sees leaving, and as a violation if it forgets one.
func (sim *simulation) checkLeaving(sn *simNode) {
	if sim.skipChecks || !sn.core.Changed() {
		return
	}
	for _, mb := range sn.core.View().Members() {
		ob := observation{sn.index, sn.starts, mb.Instance, mb.Boot}
		if sim.seenLeaving[ob] && !mb.Leaving {
			sim.violations = append(sim.violations, fmt.Sprintf("n%d forgot that %s leaves", sn.index, mb.Instance))
		}
		sim.seenLeaving[ob] = sim.seenLeaving[ob] || mb.Leaving
	}
}

func (sim *simulation) nodeAt(ap netip.AddrPort) *simNode {
	return sim.byAddr[ap]
}

// count adds a packet to what a node has sent.
func (sim *simulation) count(sn *simNode, pk *gossiper.Packet) {
	if sim.packetSize != nil {
		sn.sentBytes += sim.packetSize(pk)
		sn.sentPackets++
	}
}

func (sim *simulation) dropsPacket(from, to *simNode) bool {
	return sim.partitioned[[2]int{from.index, to.index}] || sim.rand.Float64() < sim.lossRate
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(1+sim.rand.IntN(3)) * time.Millisecond
}

// deliver sends a packet and calls done with the answer, or not at all if either is lost.
func (sim *simulation) deliver(from, to *simNode, pk gossiper.Packet, done func(gossiper.Packet)) {
	sim.count(from, &pk)
	if sim.dropsPacket(from, to) {
		return
	}
	sim.after(sim.delay(), func() {
		reply, ok := sim.input(to, gossiper.Received{Packet: pk})
		if ok {
			sim.count(to, &reply)
		}
		if ok && !sim.dropsPacket(to, from) {
			sim.after(sim.delay(), func() { done(reply) })
		}
	})
}

func (sim *simulation) exchange(sn *simNode, ac gossiper.Exchange) {
	starts := sn.starts
	ended := false
	end := func(msg gossiper.Message) {
		if !ended && sn.starts == starts {
			ended = true
			sim.input(sn, msg)
		}
	}
	sim.after(ac.Timeout, func() { end(gossiper.Failed{ID: ac.ID}) })
	if to := sim.nodeAt(ac.To); to != nil {
		sim.deliver(sn, to, ac.Packet, func(pk gossiper.Packet) { end(gossiper.Answered{ID: ac.ID, Packet: pk}) })
	}
}

func (sim *simulation) relay(sn *simNode, ac gossiper.Relay) {
	starts := sn.starts
	ended := false
	end := func(msg gossiper.Message) {
		if !ended && sn.starts == starts {
			ended = true
			sim.input(sn, msg)
		}
	}
	sim.after(ac.Timeout, func() { end(gossiper.Failed{ID: ac.ID}) })
	helper, target := sim.nodeAt(ac.To), sim.nodeAt(ac.TargetPeer)
	if helper == nil || target == nil || helper.core == nil || sim.dropsPacket(sn, helper) {
		return
	}
	sim.after(sim.delay(), func() {
		if helper.core == nil {
			return
		}
		self := helper.core.Self()
		sim.deliver(helper, target, gossiper.Packet{From: self.Instance, Boot: self.Boot}, func(pk gossiper.Packet) {
			if !sim.dropsPacket(helper, sn) {
				end(gossiper.Relayed{ID: ac.ID, Alive: pk.From == ac.Target})
			}
		})
	})
}

// setPartitioned begins or ends a partition in both directions between two sets of nodes.
func (sim *simulation) setPartitioned(as, bs []*simNode, on bool) {
	for _, pa := range as {
		for _, pb := range bs {
			if pa != pb {
				sim.partitioned[[2]int{pa.index, pb.index}] = on
				sim.partitioned[[2]int{pb.index, pa.index}] = on
			}
		}
	}
}
