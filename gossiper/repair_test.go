package gossiper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// advanceUntil advances the simulation until a condition holds, at most by bound, and returns how long that took.
func (sim *simulation) advanceUntil(bound time.Duration, cond func() bool) time.Duration {
	from := sim.now
	for !cond() && sim.now.Sub(from) < bound {
		sim.advance(10 * time.Millisecond)
	}
	return sim.now.Sub(from)
}

// seesAlive reports whether one node's view shows another as alive, with its current boot.
func (sim *simulation) seesAlive(sn, other *simNode) bool {
	mb, ok := sn.core.View().Member(other.core.Self().Instance)
	return ok && mb.Status == gossiper.StatusAlive && mb.Boot == other.core.Self().Boot
}

func (sim *simulation) allSeeAlive(nodes []*simNode) bool {
	for _, sn := range nodes {
		for _, other := range nodes {
			if !sim.seesAlive(sn, other) {
				return false
			}
		}
	}
	return true
}

var _ = Describe("Cores recover within seconds, without waiting for a digest comparison,", func() {
	It("from lost packets and answers", func() {
		for seed := range uint64(40) {
			sim := newSimulation(seed, 3, 1)
			sim.advanceUntil(5*time.Second, func() bool { return sim.allSeeAlive(sim.nodes) })
			sim.advance(2 * time.Second)
			sim.lossRate = 0.3
			sim.input(sim.nodes[1], gossiper.Announced{Upstream: gossiper.Upstream{Service: "slips", State: gossiper.UpstreamDraining}})
			sim.lossRate = 0.9
			sim.advance(300 * time.Millisecond)
			sim.lossRate = 0
			took := sim.advanceUntil(20*time.Second, func() bool {
				for _, sn := range sim.nodes {
					if mb, _ := sn.core.View().Member("n1"); mb.Upstream.State != gossiper.UpstreamDraining {
						return false
					}
				}
				return true
			})
			Expect(took).To(BeNumerically("<=", 3*time.Second), "seed %d", seed)
		}
	})

	It("from a partition that split a domain in two", func() {
		for seed := range uint64(5) {
			sim := newSimulation(seed, 8, 1)
			sim.advance(5 * time.Second)
			sim.setPartitioned(sim.nodes[:4], sim.nodes[4:], true)
			sim.advance(20 * time.Second)
			Expect(sim.seesAlive(sim.nodes[0], sim.nodes[5])).To(BeFalse())
			clear(sim.partitioned)
			Expect(sim.advanceUntil(30*time.Second, func() bool { return sim.allSeeAlive(sim.nodes) })).To(BeNumerically("<=", 8*time.Second))
		}
	})

	It("from the restart of an instance while its only seed is down", func() {
		for seed := range uint64(10) {
			sim := newSimulation(seed, 4, 1)
			sim.advance(5 * time.Second)
			sim.crash(sim.nodes[0])
			sim.advance(6 * time.Second)
			sim.start(sim.nodes[2])
			took := sim.advanceUntil(30*time.Second, func() bool { return sim.allSeeAlive(sim.nodes[1:]) })
			Expect(took).To(BeNumerically("<=", 5*time.Second), "seed %d", seed)
		}
	})

	It("from the restart of the only seed after it has left", func() {
		for seed := range uint64(20) {
			sim := newSimulation(seed, 6, 1)
			sim.advance(60 * time.Second)
			founder := sim.nodes[0]
			sim.input(founder, gossiper.Left{})
			sim.advance(300 * time.Millisecond)
			sim.crash(founder)
			sim.advance(time.Second)
			sim.start(founder)
			took := sim.advanceUntil(60*time.Second, func() bool { return sim.allSeeAlive(sim.nodes) })
			Expect(took).To(BeNumerically("<=", time.Second), "seed %d", seed)
		}
	})

	It("from a clock that went back, as the restarted instance raises its incarnation above its old record's", func() {
		sim := newSimulation(1, 4, 1)
		sim.advance(5 * time.Second)
		sn := sim.nodes[2]
		sim.crash(sn)
		sim.advance(500 * time.Millisecond)
		now := sim.now
		sim.now = now.Add(-time.Hour)
		sim.start(sn)
		sim.now = now
		sim.advance(time.Second)
		Expect(sim.advanceUntil(10*time.Second, func() bool { return sim.allSeeAlive(sim.nodes) })).To(BeNumerically("<=", 3*time.Second))
	})

	It("from an address being taken over by another instance", func() {
		sim := newSimulation(1, 4, 1)
		sim.advance(5 * time.Second)
		sim.crash(sim.nodes[2])
		sim.advance(5 * time.Second)
		now := sim.now
		self := gossiper.Member{
			Instance: "replacement", Boot: gossiper.Boot(now.UnixNano()), Incarnation: uint64(now.UnixNano()),
			Domain: sim.nodes[2].domain, Peer: addrOf(2),
		}
		sim.input(sim.nodes[0], gossiper.Received{Packet: gossiper.Packet{From: "replacement", Members: []gossiper.Member{self}}})
		sim.advance(time.Second)
		for _, sn := range []*simNode{sim.nodes[0], sim.nodes[1], sim.nodes[3]} {
			_, ok := sn.core.View().Member(gypsumhoist.Instance("n2"))
			Expect(ok).To(BeFalse())
		}
	})
})
