package gossiper_test

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

var _ = Describe("A fleet of gossipers", func() {
	It("detects a crash within seconds and the restarted instance at once", inVirtualTime(func(g Gomega) {
		fl := newFleet(12, 3)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		time.Sleep(5 * time.Second)
		dead := fl.nodes[7]
		before, _ := fl.nodes[1].View().Member(dead.name)
		fl.crash(dead)
		peers := func(nd *node) bool {
			return nd.domain != dead.domain || nd.statusOf(dead) == gossiper.StatusUnreachable
		}
		took := await(g, "crash", 4*time.Second, func() bool { return fl.all(peers, dead) })
		AddReportEntry("crash known in the domain after", took)
		time.Sleep(10 * time.Second)
		fl.nodes[7] = fl.start(7)
		await(g, "restart", 2*time.Second, fl.joined)
		after, _ := fl.nodes[1].View().Member(dead.name)
		g.Expect(after.Boot).To(BeNumerically(">", before.Boot))
	}))

	It("detects a silently isolated instance, which does not report all others as unreachable, and recovers", inVirtualTime(func(g Gomega) {
		fl := newFleet(15, 3)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		lone := fl.nodes[4]
		time.Sleep(5 * time.Second)
		before := fl.nodes[1].View()
		others := fl.addrs(func(nd *node) bool { return nd != lone })
		fl.network.CutBoth([]netip.Addr{lone.addr.Addr()}, others)
		await(g, "isolation", 4*time.Second, func() bool {
			return fl.all(func(nd *node) bool {
				return nd.domain != lone.domain || nd.statusOf(lone) == gossiper.StatusUnreachable
			}, lone)
		})
		time.Sleep(10 * time.Second)
		g.Expect(lone.aliveIn(lone.domain)).To(Equal(1))
		g.Expect(fl.nodes[1].aliveIn(lone.domain)).To(Equal(4))
		fl.network.HealBoth([]netip.Addr{lone.addr.Addr()}, others)
		took := await(g, "heal", 10*time.Second, fl.joined)
		AddReportEntry("isolation healed after", took)
		// Had the isolated instance reported all others as unreachable, each would have had to refute it with a higher incarnation.
		same := 0
		for _, mb := range before.Members() {
			now, _ := fl.nodes[1].View().Member(mb.Instance)
			if mb.Domain == lone.domain && mb.Instance != lone.name && now.Incarnation == mb.Incarnation {
				same++
			}
		}
		g.Expect(same).To(BeNumerically(">=", 3))
	}))

	It("keeps the members of a domain that is cut off, shows it as unreachable, and recovers", inVirtualTime(func(g Gomega) {
		fl := newFleet(15, 3)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		inside := fl.addrs(func(nd *node) bool { return nd.domain == "d1" })
		outside := fl.addrs(func(nd *node) bool { return nd.domain != "d1" })
		fl.network.CutBoth(inside, outside)
		unreachable := func(nd *node) bool {
			if nd.domain == "d1" {
				return !nd.reachesDomain("d0") && !nd.reachesDomain("d2")
			}
			return !nd.reachesDomain("d1") && nd.reachesDomain("d0") && nd.reachesDomain("d2")
		}
		took := await(g, "cut", 8*time.Second, func() bool { return fl.all(unreachable) })
		AddReportEntry("cut known everywhere after", took)
		// A restart inside the cut-off domain is known there.
		fl.crash(fl.nodes[10])
		time.Sleep(10 * time.Second)
		fl.nodes[10] = fl.start(10)
		await(g, "restart", 3*time.Second, func() bool { return fl.nodes[1].aliveIn("d1") == 5 })
		g.Expect(fl.nodes[0].aliveIn("d1")).To(Equal(3), "the bridges are still known")
		fl.network.HealBoth(inside, outside)
		took = await(g, "heal", 8*time.Second, func() bool {
			return fl.joined() && fl.all(func(nd *node) bool { return nd.reachesDomain("d0") && nd.reachesDomain("d1") && nd.reachesDomain("d2") })
		})
		AddReportEntry("cut healed after", took)
	}))

	It("keeps each domain's membership while every domain is cut off from every other, and recovers", inVirtualTime(func(g Gomega) {
		fl := newFleet(16, 4)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		for ix := range 4 {
			fl.network.Cut(
				fl.addrs(func(nd *node) bool { return nd.index%4 == ix }),
				fl.addrs(func(nd *node) bool { return nd.index%4 != ix }))
		}
		time.Sleep(10 * time.Second)
		for _, nd := range fl.nodes {
			g.Expect(nd.aliveIn(nd.domain)).To(Equal(4))
		}
		all := fl.addrs(func(*node) bool { return true })
		fl.network.Heal(all, all)
		await(g, "heal", 8*time.Second, fl.joined)
	}))

	It("spreads that an instance leaves within two seconds, in every domain", inVirtualTime(func(g Gomega) {
		fl := newFleet(15, 3)
		defer fl.stop()
		for _, nd := range fl.nodes {
			nd.Announce(gossiper.Upstream{Service: "rosters", State: gossiper.UpstreamReady, Slots: 20})
			nd.Watch("rosters")
		}
		await(g, "views by service", 5*time.Second, func() bool {
			return fl.all(func(nd *node) bool { return len(nd.View().ByService("rosters")) == 15 })
		})
		leaver := fl.nodes[13]
		from := time.Now()
		g.Expect(leaver.Leave(context.Background())).To(Succeed())
		g.Expect(time.Since(from)).To(BeNumerically("<", 2*time.Second))
		for _, nd := range fl.nodes {
			mb, ok := nd.View().Member(leaver.name)
			g.Expect(ok && mb.Leaving && !mb.AcceptsWork()).To(BeTrue(), string(nd.name))
		}
		leaver.Stop()
		await(g, "left", 2*time.Second, func() bool {
			return fl.all(func(nd *node) bool { return nd.statusOf(leaver) == gossiper.StatusLeft }, leaver)
		})
	}))

	It("lets an instance leave in time although neighbours have just stopped answering", inVirtualTime(func(g Gomega) {
		fl := newFleet(10, 2)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		silent := func(nd *node) bool { return nd.index >= 7 }
		fl.network.CutBoth(fl.addrs(silent), fl.addrs(func(nd *node) bool { return !silent(nd) }))
		from := time.Now()
		g.Expect(fl.nodes[0].Leave(context.Background())).To(Succeed())
		g.Expect(time.Since(from)).To(BeNumerically("<", 2*time.Second))
		for _, nd := range fl.nodes[:7] {
			mb, ok := nd.View().Member(fl.nodes[0].name)
			g.Expect(!ok || mb.Leaving).To(BeTrue(), string(nd.name))
		}
	}))

	It("shows each node the upstreams that it watches, and their draining at once", inVirtualTime(func(g Gomega) {
		fl := newFleet(24, 3)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		for ix, nd := range fl.nodes {
			svc := gypsumhoist.Service([]string{"rosters", "slips"}[ix/3%2])
			nd.Announce(gossiper.Upstream{Service: svc, State: gossiper.UpstreamReady, Slots: 20})
		}
		fl.nodes[0].Watch("slips")
		await(g, "watch", 3*time.Second, func() bool { return len(fl.nodes[0].View().ByService("slips")) == 12 })
		far := fl.nodes[23]
		far.Announce(gossiper.Upstream{Service: "slips", State: gossiper.UpstreamDraining, Slots: 20})
		took := await(g, "drain", 2*time.Second, func() bool {
			mb, _ := fl.nodes[0].View().Member(far.name)
			return mb.Upstream.State == gossiper.UpstreamDraining
		})
		AddReportEntry("drain known in another domain after", took)
	}))

	It("carries rumors to all instances, also to those that join later, until they expire", inVirtualTime(func(g Gomega) {
		fl := newFleet(9, 3)
		defer fl.stop()
		await(g, "join", 5*time.Second, fl.joined)
		late := fl.nodes[8]
		fl.crash(late)
		g.Expect(fl.nodes[0].SpreadRumor(gossiper.Rumor{Topic: "suspects", Key: "f1", Version: 1, TTL: time.Minute})).To(Succeed())
		g.Expect(fl.nodes[0].SpreadRumor(gossiper.Rumor{Topic: "suspects", TTL: time.Minute, Payload: make([]byte, 513)})).NotTo(Succeed())
		has := func(nd *node) bool { return len(nd.Rumors("suspects")) == 1 }
		await(g, "rumor", 2*time.Second, func() bool { return fl.all(has, late) })
		fl.nodes[8] = fl.start(8)
		await(g, "rumor at a late joiner", 2*time.Second, func() bool { return fl.all(has) })
		g.Expect(fl.nodes[5].SpreadRumor(gossiper.Rumor{Topic: "suspects", Key: "f1", Version: 2, TTL: time.Minute, Payload: []byte("x")})).To(Succeed())
		await(g, "newer version", 2*time.Second, func() bool {
			return fl.all(func(nd *node) bool { return nd.Rumors("suspects")[0].Version == 2 })
		})
		time.Sleep(time.Minute)
		g.Expect(fl.all(func(nd *node) bool { return len(nd.Rumors("")) == 0 })).To(BeTrue())
	}))

	It("notifies subscribers of changes", inVirtualTime(func(g Gomega) {
		fl := newFleet(2, 1)
		defer fl.stop()
		views := make(chan *gossiper.View, 100)
		fl.nodes[0].Subscribe(func(vw *gossiper.View) { views <- vw })
		changed := fl.nodes[0].Changed()
		await(g, "join", 5*time.Second, fl.joined)
		g.Expect(changed).To(BeClosed())
		g.Expect(views).NotTo(BeEmpty())
	}))
})
