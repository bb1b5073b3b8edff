package gossiper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// Guards against an acknowledgement of something that only the acknowledging process knows.
var _ = Describe("A rumor", func() {
	const topic, key = "left", "n1"
	add := func(sim *simulation, version uint64) {
		sim.input(sim.nodes[1], gossiper.RumorAdded{Rumor: gossiper.Rumor{Topic: topic, Key: key, Version: version, TTL: time.Minute}})
	}
	shared := func(sim *simulation) bool { return sim.nodes[1].core.RumorShared(topic, key) }

	It("counts as shared once the neighbours hold it, and survives its sender", func() {
		sim := newSimulation(1, 4, 1)
		sim.advance(5 * time.Second)
		add(sim, 1)
		Expect(shared(sim)).To(BeFalse())
		Expect(sim.advanceUntil(5*time.Second, func() bool { return shared(sim) })).To(BeNumerically("<", 500*time.Millisecond))
		sim.crash(sim.nodes[1])
		sim.start(sim.nodes[1])
		took := sim.advanceUntil(5*time.Second, func() bool { return len(sim.nodes[1].core.Rumors(topic)) == 1 })
		Expect(took).To(BeNumerically("<", time.Second))
	})

	It("does not count as shared at an instance that nobody answers, nor does a later version of one that was", func() {
		sim := newSimulation(1, 4, 1)
		sim.advance(5 * time.Second)
		add(sim, 1)
		sim.advanceUntil(5*time.Second, func() bool { return shared(sim) })
		sim.setPartitioned(sim.nodes[1:2], append([]*simNode{sim.nodes[0]}, sim.nodes[2:]...), true)
		add(sim, 2)
		sim.advance(10 * time.Second)
		Expect(shared(sim)).To(BeFalse())
		clear(sim.partitioned)
		Expect(sim.advanceUntil(20*time.Second, func() bool { return shared(sim) })).To(BeNumerically("<", 10*time.Second))
	})

	It("counts as shared at an instance without others", func() {
		sim := newSimulation(1, 1, 1)
		sim.input(sim.nodes[0], gossiper.RumorAdded{Rumor: gossiper.Rumor{Topic: topic, Key: key, Version: 1, TTL: time.Minute}})
		Expect(sim.nodes[0].core.RumorShared(topic, key)).To(BeTrue())
	})
})
