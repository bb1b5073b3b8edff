package gossiper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// watchedServices are the services whose upstreams every instance watches during a rolling restart.
var watchedServices = []gypsumhoist.Service{"notices", "slips", "fees", "rosters"}

// announceServices gives a started instance's core the messages that a node sends it in its first second.
func (sim *simulation) announceServices(sn *simNode) {
	for ix, svc := range watchedServices {
		sim.after(time.Duration(100+ix)*time.Millisecond, func() { sim.input(sn, gossiper.Watched{Service: svc}) })
	}
	up := gossiper.Upstream{Service: watchedServices[sn.index%len(watchedServices)], State: gossiper.UpstreamReady, Slots: 18}
	sim.after(500*time.Millisecond, func() { sim.input(sn, gossiper.Announced{Upstream: up}) })
}

// restart stops an instance gracefully and starts it again.
func (sim *simulation) restart(sn *simNode) {
	sim.input(sn, gossiper.Leaving{})
	sim.after(2200*time.Millisecond, func() { sim.input(sn, gossiper.Left{}) })
	sim.after(2500*time.Millisecond, func() { sim.crash(sn) })
	sim.after(2800*time.Millisecond, func() {
		sim.start(sn)
		sim.announceServices(sn)
	})
}

var _ = Describe("A large fleet", func() {
	It("bounds the packets and bytes that its instances send during a rolling restart", func() {
		const (
			size              = 200
			restartsPerSecond = 4
			seconds           = 10
			maxPackets        = 60 // sent by an instance per second, answers included
			maxBytes          = 16 << 10
		)
		sim := newSimulation(1, size, 5)
		sim.packetSize = gossiper.WireSize
		for _, sn := range sim.nodes {
			sim.announceServices(sn)
		}
		sim.advance(20 * time.Second)
		for _, sn := range sim.nodes {
			sn.sentBytes, sn.sentPackets = 0, 0
		}
		for ix := range restartsPerSecond * seconds {
			sim.restart(sim.nodes[(ix*7)%size])
			sim.advance(time.Second / restartsPerSecond)
		}
		var sentPackets, sentBytes int
		for _, sn := range sim.nodes {
			sentPackets += sn.sentPackets
			sentBytes += sn.sentBytes
		}
		GinkgoWriter.Printf("%d packets and %d bytes per instance and second\n", sentPackets/size/seconds, sentBytes/size/seconds)
		Expect(sentPackets / size / seconds).To(BeNumerically("<=", maxPackets))
		Expect(sentBytes / size / seconds).To(BeNumerically("<=", maxBytes))

		sim.advance(5 * time.Second)
		leaver := sim.nodes[3]
		sim.input(leaver, gossiper.Leaving{})
		Expect(sim.advanceUntil(5*time.Second, func() bool { return sim.knownLeaving(leaver) })).To(BeNumerically("<=", time.Second))
	})

	It("at rest makes a leaving instance known at once to all instances that keep it", func() {
		sim := newSimulation(1, 100, 5)
		for _, sn := range sim.nodes {
			sim.announceServices(sn)
		}
		sim.advance(20 * time.Second)
		for ix := range 5 {
			leaver := sim.nodes[ix*7]
			sim.input(leaver, gossiper.Leaving{})
			Expect(sim.advanceUntil(5*time.Second, func() bool { return sim.knownLeaving(leaver) })).To(BeNumerically("<=", 300*time.Millisecond))
			sim.advance(2 * time.Second)
		}
	})
})
