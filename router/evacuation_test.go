package router_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// withRouter runs a test with a router of domain a, in virtual time.
func withRouter(t *testing.T, test func(g *WithT, rt *router.Router)) {
	synctest.Test(t, func(t *testing.T) {
		test(NewWithT(t), router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1)))))
	})
}

// pickedDomains makes attempts that answer at once, and counts them by failure domain.
func pickedDomains(rt *router.Router, svc gypsumhoist.Service, attempts int) map[gypsumhoist.FailureDomain]int {
	picked := map[gypsumhoist.FailureDomain]int{}
	for range attempts {
		pk, err := rt.Pick(svc, true)
		if err != nil {
			picked[""]++
			continue
		}
		picked[pk.Upstream.Domain]++
		pk.Done(router.Outcome{Latency: time.Millisecond})
	}
	return picked
}

// Guards against a request to an evacuated domain by any of the ways in which an upstream is chosen: as the nearest, as the last resort when
// nothing else is left, as a stopping or silent one, as another attempt at one that was tried before.
func TestEvacuatedUpstreamsAreNeverPicked(t *testing.T) {
	withRouter(t, func(g *WithT, rt *router.Router) {
		all := append(upstreams("a", 4, 10), upstreams("b", 2, 10)...)
		all[1].State = router.StateStopping
		all[2].Peer = netip.MustParseAddrPort("10.0.0.2:7000")
		rt.SetUpstreams("orders", all)
		rt.SetReachability(prober.NewReachability(map[netip.AddrPort]prober.Grade{all[2].Peer: prober.GradeSilent}))
		g.Expect(pickedDomains(rt, "orders", 100)).To(HaveKey(gypsumhoist.FailureDomain("a")))

		rt.SetEvacuated([]gypsumhoist.FailureDomain{"a"})
		g.Expect(pickedDomains(rt, "orders", 1000)).To(Equal(map[gypsumhoist.FailureDomain]int{"b": 1000}))
		g.Expect(rt.Available("orders")).To(Equal(2))
		g.Expect(rt.View("orders").Upstreams).To(Equal(2))
		_, err := rt.PickAmong("orders", "a-0", "a-1", "a-2", "a-3")
		g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonNoUpstream))
		_, err = rt.Pick("orders", true, "b-0", "b-1")
		g.Expect(err).To(And(HaveField("Reason", gypsumhoist.ReasonNoUpstream), HaveField("Verdict", gypsumhoist.VerdictNotRun)))

		// Services and upstreams that become known during the evacuation.
		rt.SetUpstreams("orders", append(all, upstreams("a", 6, 10)[4:]...))
		rt.SetUpstreams("fees", all)
		for _, svc := range []gypsumhoist.Service{"orders", "fees"} {
			g.Expect(pickedDomains(rt, svc, 1000)).To(Equal(map[gypsumhoist.FailureDomain]int{"b": 1000}))
		}
		rt.SetEvacuated([]gypsumhoist.FailureDomain{"a", "b"})
		g.Expect(pickedDomains(rt, "orders", 10)).To(Equal(map[gypsumhoist.FailureDomain]int{"": 10}))
		rt.SetEvacuated(nil)
		g.Expect(pickedDomains(rt, "orders", 1000)["a"]).To(BeNumerically(">", 900))
	})
}

// Guards against probes of an evacuated domain: of an upstream that was ejected before, and of one that an attempt still in flight would eject.
func TestEvacuatedUpstreamsAreNotProbed(t *testing.T) {
	withRouter(t, func(g *WithT, rt *router.Router) {
		rt.SetUpstreams("orders", append(upstreams("a", 3, 10), upstreams("b", 3, 10)...))
		fail := func(in gypsumhoist.Instance) {
			for range 5 {
				pk, err := rt.PickAmong("orders", in)
				g.Expect(err).NotTo(HaveOccurred())
				pk.Done(router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond})
			}
		}
		fail("a-0")
		g.Expect(rt.View("orders").Ejected).To(Equal(1))
		var late []router.Pick
		for range 6 {
			pk, err := rt.PickAmong("orders", "a-1")
			g.Expect(err).NotTo(HaveOccurred())
			late = append(late, pk)
		}
		rt.SetEvacuated([]gypsumhoist.FailureDomain{"a"})
		for _, pk := range late {
			pk.Done(router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond})
		}
		g.Expect(rt.View("orders").Ejected).To(BeZero())
		for range 20 {
			time.Sleep(time.Second)
			g.Expect(pickedDomains(rt, "orders", 10)).To(Equal(map[gypsumhoist.FailureDomain]int{"b": 10}))
		}
		rt.SetEvacuated(nil)
		time.Sleep(time.Second)
		g.Expect(rt.View("orders").Ejected).To(Equal(1), "the ejection outlasts the evacuation")
		g.Expect(pickedDomains(rt, "orders", 1000)["a"]).To(BeNumerically(">", 0))
	})
}

// Guards against measurements and attempts in flight that are lost with an evacuation.
func TestEvacuationKeepsAttemptsInFlight(t *testing.T) {
	withRouter(t, func(g *WithT, rt *router.Router) {
		rt.SetUpstreams("orders", append(upstreams("a", 1, 10), upstreams("b", 1, 10)...))
		pk, err := rt.Pick("orders", false)
		g.Expect(err).NotTo(HaveOccurred())
		rt.SetEvacuated([]gypsumhoist.FailureDomain{"a"})
		g.Expect(rt.List("orders")[0].InFlight).To(Equal(1))
		pk.Done(router.Outcome{Latency: 40 * time.Millisecond})
		g.Expect(rt.List("orders")[0]).To(And(HaveField("InFlight", 0), HaveField("Latency", 40*time.Millisecond)))
	})
}
