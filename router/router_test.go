package router_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
	"github.com/gypsumhoist/gypsumhoist/router"
)

func ExampleRouter() {
	rt := router.New("hobart")
	rt.SetUpstreams("orders", []router.Upstream{
		{Instance: "near", Domain: "hobart", Slots: 2},
		{Instance: "far", Domain: "huon", Slots: 2},
	})
	for range 3 {
		pk, _ := rt.Pick("orders", true)
		fmt.Println(pk.Upstream.Instance)
	}
	// Output:
	// near
	// near
	// far
}

// upstreams returns count upstreams of a failure domain, named by domain and index.
func upstreams(dm gypsumhoist.FailureDomain, count, slots int) []router.Upstream {
	var out []router.Upstream
	for at := range count {
		name := gypsumhoist.Instance(fmt.Sprintf("%s-%d", dm, at))
		out = append(out, router.Upstream{Instance: name, Domain: dm, Slots: slots, Boot: 1})
	}
	return out
}

// loadGenerator sends requests at a constant rate in virtual time and counts the picks of each upstream.
type loadGenerator struct {
	router *router.Router
	picked map[gypsumhoist.Instance]int
	answer func(up router.Upstream) router.Outcome
}

func (lg *loadGenerator) send(every, span time.Duration) {
	clear(lg.picked)
	for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
		pk, err := lg.router.Pick("orders", true)
		if err != nil {
			continue
		}
		lg.picked[pk.Upstream.Instance]++
		oc := lg.answer(pk.Upstream)
		go func() {
			time.Sleep(oc.Latency)
			pk.Done(oc)
		}()
	}
}

func (lg *loadGenerator) share(in gypsumhoist.Instance) float64 {
	sum := 0
	for _, count := range lg.picked {
		sum += count
	}
	return float64(lg.picked[in]) / float64(max(sum, 1))
}

var _ = Describe("a router", func() {
	run := func(test func(g *WithT, lg *loadGenerator)) {
		synctest.Test(suiteT, func(t *testing.T) {
			lg := &loadGenerator{
				router: router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1)))),
				picked: map[gypsumhoist.Instance]int{},
				answer: func(router.Upstream) router.Outcome { return router.Outcome{Latency: 50 * time.Millisecond} },
			}
			test(NewWithT(t), lg)
			time.Sleep(time.Minute)
		})
	}

	It("fills the nearest domain first and spills over in proportion to capacity", func() {
		run(func(g *WithT, lg *loadGenerator) {
			all := append(upstreams("a", 2, 10), upstreams("b", 1, 20)...)
			all = append(append(all, upstreams("c", 1, 60)...), upstreams("d", 1, 100)...)
			lg.router.SetUpstreams("orders", all)
			lg.router.SetDelay("b", time.Millisecond)
			lg.router.SetDelay("c", time.Millisecond)
			lg.router.SetDelay("d", 40*time.Millisecond)
			lg.send(5*time.Millisecond, 5*time.Second)
			g.Expect(lg.share("a-0") + lg.share("a-1")).To(BeNumerically(">", 0.99))
			lg.send(time.Millisecond, 5*time.Second)
			local := lg.share("a-0") + lg.share("a-1")
			GinkgoWriter.Printf("local %.3f, b %.3f, c %.3f, d %.3f\n", local, lg.share("b-0"), lg.share("c-0"), lg.share("d-0"))
			g.Expect(local).To(BeNumerically("~", 0.4, 0.04))
			g.Expect(lg.share("c-0") / lg.share("b-0")).To(BeNumerically("~", 3, 0.5))
			g.Expect(lg.share("d-0")).To(BeNumerically("<", 0.01))
		})
	})

	It("does not prefer an upstream that fails fast, and readmits it after answered probes", func() {
		run(func(g *WithT, lg *loadGenerator) {
			lg.router.SetUpstreams("orders", upstreams("a", 4, 20))
			broken := true
			lg.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-0" && broken {
					return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			lg.send(2*time.Millisecond, 20*time.Second)
			GinkgoWriter.Printf("share of the failing upstream %.4f\n", lg.share("a-0"))
			g.Expect(lg.share("a-0")).To(BeNumerically("<", 0.005))
			g.Expect(lg.router.View("orders").Ejected).To(Equal(1))
			broken = false
			lg.send(2*time.Millisecond, 60*time.Second)
			lg.send(2*time.Millisecond, 10*time.Second)
			g.Expect(lg.share("a-0")).To(BeNumerically("~", 0.25, 0.03))
		})
	})

	It("keeps sending when too many fail, and never ejects the last upstream", func() {
		run(func(g *WithT, lg *loadGenerator) {
			lg.router.SetUpstreams("orders", upstreams("a", 4, 20))
			lg.answer = func(router.Upstream) router.Outcome {
				return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
			}
			lg.send(2*time.Millisecond, 5*time.Second)
			g.Expect(lg.router.View("orders").Ejected).To(Equal(2))
			g.Expect(lg.share("a-0") + lg.share("a-1") + lg.share("a-2") + lg.share("a-3")).To(BeNumerically("~", 1, 0.001))
			lg.router.SetUpstreams("orders", append(upstreams("a", 1, 90), upstreams("b", 2, 10)...))
			lg.send(2*time.Millisecond, 20*time.Second)
			vw := lg.router.View("orders")
			g.Expect(vw.Ejected).To(Equal(1))
			lg.router.SetUpstreams("orders", upstreams("a", 1, 20))
			lg.send(2*time.Millisecond, time.Second)
			g.Expect(lg.picked["a-0"]).To(Equal(500))
		})
	})

	It("doesn't eject upstreams that all fail alike, and ejects one that fails much more often", func() {
		run(func(g *WithT, lg *loadGenerator) {
			rd := rand.New(rand.NewPCG(2, 2))
			lg.router.SetUpstreams("orders", upstreams("a", 4, 20))
			lg.send(5*time.Millisecond, 5*time.Second)
			worst := 0.55
			lg.answer = func(up router.Upstream) router.Outcome {
				failing := 0.55
				if up.Instance == "a-0" {
					failing = worst
				}
				if rd.Float64() < failing {
					return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			out := 0
			for range 40 {
				lg.send(5*time.Millisecond, 250*time.Millisecond)
				out += lg.router.View("orders").Ejected
			}
			GinkgoWriter.Printf("ejected while all fail alike: %.2f of 4\n", float64(out)/40)
			g.Expect(float64(out) / 40).To(BeNumerically("<", 0.8))
			lg.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-0" && rd.Float64() < 0.9 {
					return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			lg.send(5*time.Millisecond, 10*time.Second)
			lg.send(5*time.Millisecond, 10*time.Second)
			g.Expect(lg.share("a-0")).To(BeNumerically("<", 0.05))
		})
	})

	It("bounds the effect of false load reports", func() {
		run(func(g *WithT, lg *loadGenerator) {
			lg.router.SetUpstreams("orders", upstreams("a", 4, 20))
			lg.answer = func(up router.Upstream) router.Outcome {
				switch up.Instance {
				case "a-0": // slow, but reports that it is idle
					return router.Outcome{Latency: 250 * time.Millisecond, Load: &router.Load{InFlight: 0, Limit: 1 << 30}}
				case "a-1": // healthy, but reports that it is full
					return router.Outcome{Latency: 50 * time.Millisecond, Load: &router.Load{InFlight: 1 << 30, Limit: 1}}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			lg.send(2*time.Millisecond, 30*time.Second)
			GinkgoWriter.Printf("slow but reports idle %.3f, healthy but reports full %.3f\n", lg.share("a-0"), lg.share("a-1"))
			g.Expect(lg.share("a-0")).To(BeNumerically("<", 0.15))
			g.Expect(lg.share("a-1")).To(BeNumerically(">", 0.001))
		})
	})

	It("sends nothing new to a draining upstream, and little to a cold one", func() {
		run(func(g *WithT, lg *loadGenerator) {
			all := upstreams("a", 4, 20)
			lg.router.SetUpstreams("orders", all[:3])
			lg.send(2*time.Millisecond, time.Second)
			g.Expect(lg.share("a-0")).To(BeNumerically(">", 0.2))
			all[0].State = router.StateDraining
			all[3].State = router.StateWarming
			lg.router.SetUpstreams("orders", all)
			lg.send(2*time.Millisecond, 5*time.Second)
			g.Expect(lg.picked["a-0"]).To(BeZero())
			g.Expect(lg.share("a-3")).To(BeNumerically("<", 0.07))
			all[3].State = router.StateReady
			lg.router.SetUpstreams("orders", all)
			lg.send(2*time.Millisecond, 10*time.Second)
			ramp := lg.share("a-3")
			lg.send(2*time.Millisecond, 10*time.Second)
			GinkgoWriter.Printf("cold upstream: %.3f during its slow start, then %.3f\n", ramp, lg.share("a-3"))
			g.Expect(ramp).To(BeNumerically("<", 0.28))
			g.Expect(lg.share("a-3")).To(BeNumerically("~", 1.0/3, 0.03))
		})
	})

	It("sends nothing to unreachable upstreams, however many they are, and their full share once they are reachable", func() {
		run(func(g *WithT, lg *loadGenerator) {
			all := upstreams("a", 1, 40)
			for no, up := range append(upstreams("b", 2, 40), upstreams("c", 2, 40)...) {
				up.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(no)}), 7000)
				all = append(all, up)
			}
			lg.router.SetUpstreams("orders", all)
			lg.router.SetReachability(prober.NewReachability(map[netip.AddrPort]prober.Grade{all[1].Peer: prober.GradeSilent}, "c"))
			lg.send(time.Millisecond, 5*time.Second)
			g.Expect(lg.picked["c-0"] + lg.picked["c-1"] + lg.picked["b-0"]).To(BeZero())
			g.Expect(lg.share("a-0")).To(BeNumerically(">", 0.4))
			g.Expect(lg.router.Available("orders", "a-0")).To(Equal(1))
			lg.router.SetReachability(prober.Reachability{})
			lg.send(time.Millisecond, 5*time.Second)
			GinkgoWriter.Printf("reachable again: b %.3f %.3f, c %.3f %.3f\n", lg.share("b-0"), lg.share("b-1"), lg.share("c-0"), lg.share("c-1"))
			for _, in := range []gypsumhoist.Instance{"b-0", "b-1", "c-0", "c-1"} {
				g.Expect(lg.share(in)).To(BeNumerically("~", 0.05, 0.02), string(in))
			}
			// A silent upstream is the last resort; an unreachable one gets no attempts.
			lg.router.SetUpstreams("orders", all[1:])
			lg.router.SetReachability(prober.NewReachability(map[netip.AddrPort]prober.Grade{all[1].Peer: prober.GradeSilent, all[2].Peer: prober.GradeUnreachable}, "c"))
			pk, err := lg.router.Pick("orders", false)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(pk.Upstream.Instance).To(Equal(gypsumhoist.Instance("b-0")))
			pk.Done(router.Outcome{})
			_, err = lg.router.Pick("orders", false, "b-0")
			g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonNoUpstream))
		})
	})

	It("sends only overflow to an upstream whose node is stopping, until the node refuses", func() {
		run(func(g *WithT, lg *loadGenerator) {
			all := upstreams("a", 2, 10)
			all[1].State = router.StateStopping
			lg.router.SetUpstreams("orders", all)
			lg.send(20*time.Millisecond, 2*time.Second)
			g.Expect(lg.picked["a-1"]).To(BeZero())
			lg.send(3*time.Millisecond, 2*time.Second)
			g.Expect(lg.share("a-1")).To(BeNumerically(">", 0.3))
			lg.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-1" {
					return router.Outcome{Result: router.ResultLeaving, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			lg.send(3*time.Millisecond, 2*time.Second)
			g.Expect(lg.picked["a-1"]).To(BeNumerically("<=", 8))
			lg.router.SetUpstreams("orders", all[1:])
			pk, err := lg.router.Pick("orders", false)
			g.Expect(err).NotTo(HaveOccurred())
			pk.Done(router.Outcome{})
		})
	})

	It("slow-starts a new upstream for as long as its warm-up took, and not one of which only the node restarted", func() {
		run(func(g *WithT, lg *loadGenerator) {
			all := upstreams("a", 3, 20)
			lg.router.SetUpstreams("orders", all)
			all[0].Boot, all[0].Age = 2, time.Minute
			all[1].Boot, all[1].State = 2, router.StateWarming
			lg.router.SetUpstreams("orders", all)
			lg.send(2*time.Millisecond, 3*time.Second)
			GinkgoWriter.Printf("old upstream with a restarted node %.3f, warming %.3f\n", lg.share("a-0"), lg.share("a-1"))
			g.Expect(lg.share("a-0")).To(BeNumerically(">", 0.4))
			all[1].State = router.StateReady
			lg.router.SetUpstreams("orders", all)
			lg.send(2*time.Millisecond, 3*time.Second)
			lg.send(2*time.Millisecond, 3*time.Second)
			g.Expect(lg.share("a-1")).To(BeNumerically("~", 1.0/3, 0.04))
		})
	})

	It("never picks an excluded upstream, and refuses with not_run when none is left", func() {
		run(func(g *WithT, lg *loadGenerator) {
			lg.router.SetUpstreams("orders", upstreams("a", 3, 1))
			for range 100 {
				pk, err := lg.router.Pick("orders", false, "a-0", "a-2")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(pk.Upstream.Instance).To(Equal(gypsumhoist.Instance("a-1")))
				pk.Done(router.Outcome{})
				pk.Done(router.Outcome{})
			}
			g.Expect(lg.router.List("orders")[1].InFlight).To(BeZero())
			_, err := lg.router.Pick("orders", false, "a-0", "a-1", "a-2")
			g.Expect(err).To(HaveField("Verdict", gypsumhoist.VerdictNotRun))
			_, err = lg.router.Pick("unknown", false)
			g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonNoUpstream))
		})
	})
})

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{3, 20, 200} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1))))
			var all []router.Upstream
			for at := range count {
				all = append(all, upstreams(gypsumhoist.FailureDomain(rune('a'+at%4)), 50, 30)[at/4])
			}
			rt.SetUpstreams("orders", all)
			b.ReportAllocs()
			for b.Loop() {
				if rt.View("orders").Upstreams != count {
					b.Fatal("wrong view")
				}
				pk, err := rt.Pick("orders", true)
				if err != nil {
					b.Fatal(err)
				}
				pk.Done(router.Outcome{Latency: time.Millisecond})
			}
		})
	}
}

func BenchmarkPickByReports(b *testing.B) {
	for _, count := range []int{3, 20, 200} {
		b.Run(fmt.Sprintf("upstreams=%d", count), func(b *testing.B) {
			rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1))))
			var all []router.Upstream
			for at := range count {
				all = append(all, upstreams(gypsumhoist.FailureDomain(rune('a'+at%4)), 50, 30)[at/4])
			}
			rt.SetUpstreams("orders", all)
			rp := router.Report{Load: router.LoadReport{
				LoadReport: gypsumhoist.LoadReport{Running: 3, Slots: 30, PacePercent: 120}, InFlight: 3, ServiceTime: time.Millisecond,
			}}
			b.ReportAllocs()
			for b.Loop() {
				pk, err := rt.Pick("orders", true)
				if err != nil {
					b.Fatal(err)
				}
				pk.Report(rp)
				pk.Done(router.Outcome{Latency: time.Millisecond})
			}
			if !rt.ReportsPace("orders") {
				b.Fatal("reports are not used")
			}
		})
	}
}
