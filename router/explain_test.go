package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// explainedPicks returns the picks of a router with a fixed seed for 4,000 attempts at a service with refusals, failures, ejections, new,
// draining and evacuated upstreams, and calls explain before every tenth of them and around each change.
func explainedPicks(load router.LoadReport, explain func(rt *router.Router)) []string {
	random := rand.New(rand.NewPCG(31, 32))
	rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(41, 42))))
	rt.SetDelay("b", time.Millisecond)
	all := append(append(upstreams("a", 4, 4), upstreams("b", 5, 6)...), upstreams("c", 3, 20)...)
	rt.SetUpstreams("orders", all)
	type attempt struct {
		pick    router.Pick
		ends    time.Time
		outcome router.Outcome
	}
	var running []attempt
	var out []string
	for at := range 4000 {
		running = slices.DeleteFunc(running, func(am attempt) bool {
			over := !am.ends.After(time.Now())
			if over {
				am.pick.Done(am.outcome)
			}
			return over
		})
		switch at {
		case 1000:
			all = append(all, upstreams("a", 6, 8)[5])
			rt.SetUpstreams("orders", all)
		case 2000:
			all[1].State = router.StateDraining
			rt.SetUpstreams("orders", all)
		case 3000:
			rt.SetEvacuated([]gypsumhoist.FailureDomain{"c"})
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		if at%10 == 0 || at%1000 < 30 {
			explain(rt)
		}
		rq := router.Request{Idempotent: random.IntN(4) > 0, Importance: 50, Bytes: random.IntN(100_000)}
		pk, err := rt.PickFor("orders", rq)
		Expect(err).NotTo(HaveOccurred())
		out = append(out, fmt.Sprint(pk.Upstream.Instance, pk.Probe))
		load.Running = random.IntN(10)
		pk.Report(router.Report{Load: load, RoundTrip: 2 * time.Millisecond})
		oc := router.Outcome{Latency: time.Duration(5+random.IntN(30)) * time.Millisecond}
		switch kind := random.IntN(40); {
		case kind < 2:
			oc.Result = router.ResultOverloaded
		case kind == 2, pk.Upstream.Instance == "b-2" && at > 1500:
			oc.Result = router.ResultFailed
		case kind < 20:
			oc.Load = &router.Load{InFlight: random.IntN(14), Limit: 4 + random.IntN(10)}
		}
		running = append(running, attempt{pick: pk, ends: time.Now().Add(oc.Latency), outcome: oc})
	}
	return out
}

// explained returns the candidate of an instance.
func explained(ex router.Explanation, in gypsumhoist.Instance) router.Candidate {
	at := slices.IndexFunc(ex.Candidates, func(cd router.Candidate) bool { return cd.Instance == in })
	Expect(at).To(BeNumerically(">=", 0))
	return ex.Candidates[at]
}

var _ = Describe("an explanation", func() {
	// Guards against an explanation that draws a random number, expires a slow start, updates a weight or introduces a new upstream.
	DescribeTable("changes no later pick, however often it is asked for", func(load router.LoadReport) {
		synctest.Test(suiteT, func(t *testing.T) {
			without := explainedPicks(load, func(*router.Router) {})
			with := explainedPicks(load, func(rt *router.Router) {
				for at := range 2 {
					rt.Explain("orders", router.Request{Idempotent: at == 0, Importance: 50, Bytes: 1 << 20})
				}
				rt.Explain("unknown", router.Request{})
			})
			NewWithT(t).Expect(with).To(Equal(without))
		})
	},
		Entry("without load reports", router.LoadReport{}),
		Entry("with load reports", router.LoadReport{
			LoadReport: gypsumhoist.LoadReport{Slots: 5, PacePercent: 120}, InFlight: 2, ServiceTime: 10 * time.Millisecond,
		}),
	)

	// Guards against shares that come from other code or weights than the picks do.
	It("gives each upstream the share of the picks that it gets", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1))))
			all := append(upstreams("a", 2, 400), upstreams("b", 1, 400)...)
			all[1].Slots = 100
			rt.SetUpstreams("orders", all)
			ex := rt.Explain("orders", router.Request{Idempotent: true})
			picked := map[gypsumhoist.Instance]float64{}
			const picks = 4000
			for range picks {
				pk, err := rt.Pick("orders", true)
				g.Expect(err).NotTo(HaveOccurred())
				picked[pk.Upstream.Instance]++
				pk.Done(router.Outcome{Result: router.ResultNeutral})
			}
			g.Expect(ex.Routable()).To(BeTrue())
			for _, cd := range ex.Candidates {
				g.Expect(cd.Share).To(BeNumerically("~", picked[cd.Instance]/picks, 0.04), string(cd.Instance))
			}
			g.Expect(explained(ex, "b-0").Share).To(BeZero())
			g.Expect(explained(ex, "b-0").Tier).To(Equal(1))
		})
	})

	It("says why an upstream gets no attempts", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1))))
			all := append(upstreams("a", 7, 4), upstreams("b", 1, 4)...)
			for at := range all {
				all[at].Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(at)}), 7402)
			}
			all[1].State, all[2].State = router.StateDraining, router.StateStopping
			rt.SetUpstreams("orders", all)
			rt.SetEvacuated([]gypsumhoist.FailureDomain{"b"})
			rt.SetReachability(prober.NewReachability(map[netip.AddrPort]prober.Grade{
				all[3].Peer: prober.GradeUnreachable, all[4].Peer: prober.GradeSilent,
			}))
			for range 200 {
				pk, _ := rt.Pick("orders", false)
				oc := router.Outcome{Latency: time.Millisecond}
				if pk.Upstream.Instance == "a-5" {
					oc.Result = router.ResultFailed
				}
				pk.Done(oc)
			}
			restarted := slices.Clone(all)
			restarted[6].Boot = 2
			rt.SetUpstreams("orders", restarted)
			time.Sleep(500 * time.Millisecond)
			ex := rt.Explain("orders", router.Request{})
			want := map[gypsumhoist.Instance]router.Exclusion{
				"a-0": router.ExclusionNone, "a-1": router.ExclusionDraining, "a-2": router.ExclusionStopping,
				"a-3": router.ExclusionUnreachable, "a-4": router.ExclusionSilent, "a-5": router.ExclusionEjected,
				"a-6": router.ExclusionNone, "b-0": router.ExclusionEvacuated,
			}
			for in, exclusion := range want {
				cd := explained(ex, in)
				g.Expect(cd.Excluded).To(Equal(exclusion), string(in))
				if exclusion != router.ExclusionNone {
					g.Expect(cd.Share).To(BeZero(), string(in))
				}
			}
			g.Expect(explained(ex, "a-5").EjectedFor).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond))
			g.Expect(explained(ex, "a-6").SlowStart).To(BeNumerically("<", 0.2))
			g.Expect(ex.Candidates[0].Instance).To(BeEquivalentTo("a-0"))
			g.Expect(ex.Next).To(BeEmpty())

			time.Sleep(time.Second)
			ex = rt.Explain("orders", router.Request{Idempotent: true})
			g.Expect(ex.Next).To(BeEquivalentTo("a-5"))
			g.Expect(ex.NextReason).To(Equal(router.NextProbe))
			unknown := rt.Explain("unknown", router.Request{})
			g.Expect(unknown.Routable()).To(BeFalse())
		})
	})
})
