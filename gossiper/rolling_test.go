package gossiper_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// rollServices are the services whose upstreams every instance of a rolling world watches.
var rollServices = []gypsumhoist.Service{"notices", "slips", "fees", "rosters"}

// introduce lets a started instance say what a node says in its first second.
func (wd *world) introduce(pl *place) {
	for ix, svc := range rollServices {
		wd.after(time.Duration(100+ix)*time.Millisecond, func() { wd.input(pl, gossiper.Watched{Service: svc}) })
	}
	up := gossiper.Upstream{Service: rollServices[pl.index%len(rollServices)], State: gossiper.UpstreamReady, Slots: 18}
	wd.after(500*time.Millisecond, func() { wd.input(pl, gossiper.Announced{Upstream: up}) })
}

// restart stops an instance as planned and starts it again.
func (wd *world) restart(pl *place) {
	wd.input(pl, gossiper.Departing{})
	wd.after(2200*time.Millisecond, func() { wd.input(pl, gossiper.Departed{}) })
	wd.after(2500*time.Millisecond, func() { wd.crash(pl) })
	wd.after(2800*time.Millisecond, func() {
		wd.boot(pl)
		wd.introduce(pl)
	})
}

var _ = Describe("A rolling restart of a large fleet", func() {
	It("does not make its instances send packets faster than the news can matter", func() {
		const (
			size     = 200
			rate     = 4  // restarts a second
			span     = 10 // seconds
			packets  = 60 // sent by an instance in a second, answers included
			controls = 16 << 10
		)
		wd := newWorld(1, size, 5)
		wd.sizeOf = gossiper.WireSize
		for _, pl := range wd.places {
			wd.introduce(pl)
		}
		wd.advance(20 * time.Second)
		for _, pl := range wd.places {
			pl.sent, pl.messages = 0, 0
		}
		for ix := range rate * span {
			wd.restart(wd.places[(ix*7)%size])
			wd.advance(time.Second / rate)
		}
		var messages, sent int
		for _, pl := range wd.places {
			messages += pl.messages
			sent += pl.sent
		}
		GinkgoWriter.Printf("%d packets and %d bytes an instance and second\n", messages/size/span, sent/size/span)
		Expect(messages / size / span).To(BeNumerically("<=", packets))
		Expect(sent / size / span).To(BeNumerically("<=", controls))

		wd.advance(5 * time.Second)
		leaver := wd.places[3]
		wd.input(leaver, gossiper.Departing{})
		Expect(wd.until(5*time.Second, func() bool { return wd.knownLeaving(leaver) })).To(BeNumerically("<=", time.Second))
	})

	It("leaves no instance of a fleet at rest that watches a service from learning of its leaving upstreams at once", func() {
		wd := newWorld(1, 100, 5)
		for _, pl := range wd.places {
			wd.introduce(pl)
		}
		wd.advance(20 * time.Second)
		for ix := range 5 {
			leaver := wd.places[ix*7]
			wd.input(leaver, gossiper.Departing{})
			Expect(wd.until(5*time.Second, func() bool { return wd.knownLeaving(leaver) })).To(BeNumerically("<=", 300*time.Millisecond))
			wd.advance(2 * time.Second)
		}
	})
})
