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

// upstreams returns some of a domain, named by domain and number.
func upstreams(dm gypsumhoist.FailureDomain, count, slots int) []router.Upstream {
	var out []router.Upstream
	for at := range count {
		name := gypsumhoist.Instance(fmt.Sprintf("%s-%d", dm, at))
		out = append(out, router.Upstream{Instance: name, Domain: dm, Slots: slots, Boot: 1})
	}
	return out
}

// bench sends requests at a steady pace in virtual time and counts where they went.
type bench struct {
	router *router.Router
	picked map[gypsumhoist.Instance]int
	answer func(up router.Upstream) router.Outcome
}

func (be *bench) send(every, span time.Duration) {
	clear(be.picked)
	for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
		pk, err := be.router.Pick("orders", true)
		if err != nil {
			continue
		}
		be.picked[pk.Upstream.Instance]++
		oc := be.answer(pk.Upstream)
		go func() {
			time.Sleep(oc.Latency)
			pk.Done(oc)
		}()
	}
}

func (be *bench) share(in gypsumhoist.Instance) float64 {
	sum := 0
	for _, count := range be.picked {
		sum += count
	}
	return float64(be.picked[in]) / float64(max(sum, 1))
}

var _ = Describe("a router", func() {
	run := func(test func(g *WithT, be *bench)) {
		synctest.Test(suiteT, func(t *testing.T) {
			be := &bench{
				router: router.New("a", router.WithRandom(rand.New(rand.NewPCG(1, 1)))),
				picked: map[gypsumhoist.Instance]int{},
				answer: func(router.Upstream) router.Outcome { return router.Outcome{Latency: 50 * time.Millisecond} },
			}
			test(NewWithT(t), be)
			time.Sleep(time.Minute)
		})
	}

	It("fills the nearest domain first and spills in proportion to capacity", func() {
		run(func(g *WithT, be *bench) {
			all := append(upstreams("a", 2, 10), upstreams("b", 1, 20)...)
			all = append(append(all, upstreams("c", 1, 60)...), upstreams("d", 1, 100)...)
			be.router.SetUpstreams("orders", all)
			be.router.SetDelay("b", time.Millisecond)
			be.router.SetDelay("c", time.Millisecond)
			be.router.SetDelay("d", 40*time.Millisecond)
			be.send(5*time.Millisecond, 5*time.Second)
			g.Expect(be.share("a-0") + be.share("a-1")).To(BeNumerically(">", 0.99))
			be.send(time.Millisecond, 5*time.Second)
			local := be.share("a-0") + be.share("a-1")
			GinkgoWriter.Printf("local %.3f, b %.3f, c %.3f, d %.3f\n", local, be.share("b-0"), be.share("c-0"), be.share("d-0"))
			g.Expect(local).To(BeNumerically("~", 0.4, 0.04))
			g.Expect(be.share("c-0") / be.share("b-0")).To(BeNumerically("~", 3, 0.5))
			g.Expect(be.share("d-0")).To(BeNumerically("<", 0.01))
		})
	})

	It("isn't drawn to an upstream that fails fast, and returns to it by probes", func() {
		run(func(g *WithT, be *bench) {
			be.router.SetUpstreams("orders", upstreams("a", 4, 20))
			broken := true
			be.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-0" && broken {
					return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			be.send(2*time.Millisecond, 20*time.Second)
			GinkgoWriter.Printf("share of the failing one %.4f\n", be.share("a-0"))
			g.Expect(be.share("a-0")).To(BeNumerically("<", 0.005))
			g.Expect(be.router.View("orders").Ejected).To(Equal(1))
			broken = false
			be.send(2*time.Millisecond, 60*time.Second)
			be.send(2*time.Millisecond, 10*time.Second)
			g.Expect(be.share("a-0")).To(BeNumerically("~", 0.25, 0.03))
		})
	})

	It("sends on when too many fail, and never ejects the last", func() {
		run(func(g *WithT, be *bench) {
			be.router.SetUpstreams("orders", upstreams("a", 4, 20))
			be.answer = func(router.Upstream) router.Outcome {
				return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
			}
			be.send(2*time.Millisecond, 5*time.Second)
			g.Expect(be.router.View("orders").Ejected).To(Equal(2))
			g.Expect(be.share("a-0") + be.share("a-1") + be.share("a-2") + be.share("a-3")).To(BeNumerically("~", 1, 0.001))
			be.router.SetUpstreams("orders", append(upstreams("a", 1, 90), upstreams("b", 2, 10)...))
			be.send(2*time.Millisecond, 20*time.Second)
			vw := be.router.View("orders")
			g.Expect(vw.Ejected).To(Equal(1))
			be.router.SetUpstreams("orders", upstreams("a", 1, 20))
			be.send(2*time.Millisecond, time.Second)
			g.Expect(be.picked["a-0"]).To(Equal(500))
		})
	})

	It("keeps upstreams in that all fail alike, and takes out the one that fails much more often", func() {
		run(func(g *WithT, be *bench) {
			rd := rand.New(rand.NewPCG(2, 2))
			be.router.SetUpstreams("orders", upstreams("a", 4, 20))
			be.send(5*time.Millisecond, 5*time.Second)
			worst := 0.55
			be.answer = func(up router.Upstream) router.Outcome {
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
				be.send(5*time.Millisecond, 250*time.Millisecond)
				out += be.router.View("orders").Ejected
			}
			GinkgoWriter.Printf("out while all fail alike: %.2f of 4\n", float64(out)/40)
			g.Expect(float64(out) / 40).To(BeNumerically("<", 0.8))
			be.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-0" && rd.Float64() < 0.9 {
					return router.Outcome{Result: router.ResultFailed, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			be.send(5*time.Millisecond, 10*time.Second)
			be.send(5*time.Millisecond, 10*time.Second)
			g.Expect(be.share("a-0")).To(BeNumerically("<", 0.05))
		})
	})

	It("is misled only so far by reports that lie", func() {
		run(func(g *WithT, be *bench) {
			be.router.SetUpstreams("orders", upstreams("a", 4, 20))
			be.answer = func(up router.Upstream) router.Outcome {
				switch up.Instance {
				case "a-0": // slow, and says that it is idle
					return router.Outcome{Latency: 250 * time.Millisecond, Load: &router.Load{InFlight: 0, Limit: 1 << 30}}
				case "a-1": // well, and says that it is full
					return router.Outcome{Latency: 50 * time.Millisecond, Load: &router.Load{InFlight: 1 << 30, Limit: 1}}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			be.send(2*time.Millisecond, 30*time.Second)
			GinkgoWriter.Printf("slow but says idle %.3f, well but says full %.3f\n", be.share("a-0"), be.share("a-1"))
			g.Expect(be.share("a-0")).To(BeNumerically("<", 0.15))
			g.Expect(be.share("a-1")).To(BeNumerically(">", 0.001))
		})
	})

	It("gives nothing new to a leaving upstream, and little to a cold one", func() {
		run(func(g *WithT, be *bench) {
			all := upstreams("a", 4, 20)
			be.router.SetUpstreams("orders", all[:3])
			be.send(2*time.Millisecond, time.Second)
			g.Expect(be.share("a-0")).To(BeNumerically(">", 0.2))
			all[0].State = router.StateLeaving
			all[3].State = router.StateWarming
			be.router.SetUpstreams("orders", all)
			be.send(2*time.Millisecond, 5*time.Second)
			g.Expect(be.picked["a-0"]).To(BeZero())
			g.Expect(be.share("a-3")).To(BeNumerically("<", 0.07))
			all[3].State = router.StateReady
			be.router.SetUpstreams("orders", all)
			be.send(2*time.Millisecond, 10*time.Second)
			ramp := be.share("a-3")
			be.send(2*time.Millisecond, 10*time.Second)
			GinkgoWriter.Printf("cold one: %.3f over its slow start, then %.3f\n", ramp, be.share("a-3"))
			g.Expect(ramp).To(BeNumerically("<", 0.28))
			g.Expect(be.share("a-3")).To(BeNumerically("~", 1.0/3, 0.03))
		})
	})

	It("gives nothing to upstreams that can't be reached, however many they are, and takes them back whole at once", func() {
		run(func(g *WithT, be *bench) {
			all := upstreams("a", 1, 40)
			for no, up := range append(upstreams("b", 2, 40), upstreams("c", 2, 40)...) {
				up.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(no)}), 7000)
				all = append(all, up)
			}
			be.router.SetUpstreams("orders", all)
			be.router.SetReach(prober.NewReach(map[netip.AddrPort]prober.Grade{all[1].Peer: prober.GradeSilent}, "c"))
			be.send(time.Millisecond, 5*time.Second)
			g.Expect(be.picked["c-0"] + be.picked["c-1"] + be.picked["b-0"]).To(BeZero())
			g.Expect(be.share("a-0")).To(BeNumerically(">", 0.4))
			g.Expect(be.router.Left("orders", "a-0")).To(Equal(1))
			be.router.SetReach(prober.Reach{})
			be.send(time.Millisecond, 5*time.Second)
			GinkgoWriter.Printf("back: b %.3f %.3f, c %.3f %.3f\n", be.share("b-0"), be.share("b-1"), be.share("c-0"), be.share("c-1"))
			for _, in := range []gypsumhoist.Instance{"b-0", "b-1", "c-0", "c-1"} {
				g.Expect(be.share(in)).To(BeNumerically("~", 0.05, 0.02), string(in))
			}
			// One that only gave no answer is better than none; one that no connection can be had to is not.
			be.router.SetUpstreams("orders", all[1:])
			be.router.SetReach(prober.NewReach(map[netip.AddrPort]prober.Grade{all[1].Peer: prober.GradeSilent, all[2].Peer: prober.GradeUnreachable}, "c"))
			pk, err := be.router.Pick("orders", false)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(pk.Upstream.Instance).To(Equal(gypsumhoist.Instance("b-0")))
			pk.Done(router.Outcome{})
			_, err = be.router.Pick("orders", false, "b-0")
			g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonNoUpstream))
		})
	})

	It("gives one whose node stops what nobody else has room for, until the node refuses", func() {
		run(func(g *WithT, be *bench) {
			all := upstreams("a", 2, 10)
			all[1].State = router.StateStopping
			be.router.SetUpstreams("orders", all)
			be.send(20*time.Millisecond, 2*time.Second)
			g.Expect(be.picked["a-1"]).To(BeZero())
			be.send(3*time.Millisecond, 2*time.Second)
			g.Expect(be.share("a-1")).To(BeNumerically(">", 0.3))
			be.answer = func(up router.Upstream) router.Outcome {
				if up.Instance == "a-1" {
					return router.Outcome{Result: router.ResultLeaving, Latency: time.Millisecond}
				}
				return router.Outcome{Latency: 50 * time.Millisecond}
			}
			be.send(3*time.Millisecond, 2*time.Second)
			g.Expect(be.picked["a-1"]).To(BeNumerically("<=", 8))
			be.router.SetUpstreams("orders", all[1:])
			pk, err := be.router.Pick("orders", false)
			g.Expect(err).NotTo(HaveOccurred())
			pk.Done(router.Outcome{})
		})
	})

	It("starts an upstream slowly that is new, for as long as it took to warm up, and not one whose node only started anew", func() {
		run(func(g *WithT, be *bench) {
			all := upstreams("a", 3, 20)
			be.router.SetUpstreams("orders", all)
			all[0].Boot, all[0].Age = 2, time.Minute
			all[1].Boot, all[1].State = 2, router.StateWarming
			be.router.SetUpstreams("orders", all)
			be.send(2*time.Millisecond, 3*time.Second)
			GinkgoWriter.Printf("old with a new node %.3f, warming %.3f\n", be.share("a-0"), be.share("a-1"))
			g.Expect(be.share("a-0")).To(BeNumerically(">", 0.4))
			all[1].State = router.StateReady
			be.router.SetUpstreams("orders", all)
			be.send(2*time.Millisecond, 3*time.Second)
			be.send(2*time.Millisecond, 3*time.Second)
			g.Expect(be.share("a-1")).To(BeNumerically("~", 1.0/3, 0.04))
		})
	})

	It("never picks an excluded upstream, and refuses not_run when none is left", func() {
		run(func(g *WithT, be *bench) {
			be.router.SetUpstreams("orders", upstreams("a", 3, 1))
			for range 100 {
				pk, err := be.router.Pick("orders", false, "a-0", "a-2")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(pk.Upstream.Instance).To(Equal(gypsumhoist.Instance("a-1")))
				pk.Done(router.Outcome{})
				pk.Done(router.Outcome{})
			}
			g.Expect(be.router.List("orders")[1].InFlight).To(BeZero())
			_, err := be.router.Pick("orders", false, "a-0", "a-1", "a-2")
			g.Expect(err).To(HaveField("Verdict", gypsumhoist.VerdictNotRun))
			_, err = be.router.Pick("unknown", false)
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
