package router_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// unevenPlan is one failure domain whose upstreams differ in speed and slow down for parts of a second.
func unevenPlan(nodes int) sitePlan {
	return sitePlan{
		domains: []gypsumhoist.FailureDomain{"a"}, nodes: nodes, perDomain: map[gypsumhoist.FailureDomain]int{"a": 13}, slots: 20,
		speeds: []float64{0.6, 1, 1.4}, work: 60 * time.Millisecond, maxWait: 75 * time.Millisecond,
		slowShare: 0.15, slowFactor: 2.5, slowInterval: 600 * time.Millisecond, reports: true,
	}
}

// usualPace is the mean factor on work under an unevenPlan.
const usualPace = 1 + 0.15*1.5

// runUneven runs a site at a load for 10 s with each of four seeds and returns the sum. With prepare, tests change the site first.
func runUneven(pl sitePlan, load float64, prepare func(st *site)) (tally, []*site) {
	var sum tally
	var sites []*site
	for seed := range uint64(4) {
		pl.seed = seed
		st := newSite(pl)
		if prepare != nil {
			prepare(st)
		}
		rate := load * st.capacity("a") / usualPace
		st.load("a", func(time.Duration) float64 { return rate }, 10*time.Second, siteRequest{target: 250 * time.Millisecond})
		st.runUntil(15 * time.Second)
		sum.add(st.total())
		sites = append(sites, st)
	}
	return sum, sites
}

// shareOf returns the requests that an upstream served, as a multiple of its share by capacity.
func shareOf(sites []*site, in gypsumhoist.Instance) float64 {
	own, served, capacity, all := 0, 0, 0.0, 0.0
	for _, st := range sites {
		for _, su := range st.upstreams {
			served += su.served
			all += 1 / su.speed
			if su.view.Instance == in {
				own += su.served
				capacity += 1 / su.speed
			}
		}
	}
	return float64(own) / float64(served) / (capacity / all)
}

var _ = Describe("upstreams that report their load and pace", func() {
	// Guards against predictions that are worse than utilisation times latency at some load.
	It("refuse fewer attempts and answer sooner than without reports, at each load", func() {
		for _, nodes := range []int{5, 60} {
			for _, load := range []float64{0.6, 0.8, 0.9, 1} {
				pl := unevenPlan(nodes)
				with, _ := runUneven(pl, load, nil)
				pl.reports = false
				without, _ := runUneven(pl, load, nil)
				GinkgoWriter.Printf("%d nodes, load %.1f\n  with    %v\n  without %v\n", nodes, load, with, without)
				Expect(with.requests).To(Equal(without.requests))
				Expect(with.refusals).To(BeNumerically("<=", without.refusals+with.requests/1000))
				Expect(with.waited).To(BeNumerically("<", without.waited))
				Expect(with.inTime).To(BeNumerically(">=", without.inTime))
			}
		}
	})

	// A false, missing or old report must neither attract requests nor starve the upstream. Bounds: between half and one and a half of
	// the share by capacity.
	DescribeTable("get about their share whatever one of them reports",
		func(age time.Duration, report func(lr gypsumhoist.LoadReport) gypsumhoist.LoadReport) {
			for _, load := range []float64{0.5, 0.9} {
				sum, sites := runUneven(unevenPlan(60), load, func(st *site) {
					st.byName["a-1"].report, st.byName["a-1"].reportAge = report, age
				})
				share := shareOf(sites, "a-1")
				GinkgoWriter.Printf("load %.1f: share %.2f, %v\n", load, share, sum)
				Expect(share).To(BeNumerically(">", 0.5))
				Expect(share).To(BeNumerically("<", 1.5))
			}
		},
		Entry("the truth", time.Duration(0), nil),
		Entry("full and slow, always", time.Duration(0), func(gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			return gypsumhoist.LoadReport{Running: 100000, Waiting: 100000, Slots: 1, PacePercent: 100000}
		}),
		Entry("idle and fast, always", time.Duration(0), func(gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			return gypsumhoist.LoadReport{Slots: 100000, PacePercent: 1}
		}),
		Entry("slow or fast at random", time.Duration(0), func(lr gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			lr.PacePercent = 1 + rand.New(rand.NewPCG(uint64(lr.Running), 1)).IntN(2)*9999
			return lr
		}),
		Entry("no pace", time.Duration(0), func(lr gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			lr.PacePercent = 0
			return lr
		}),
		Entry("full and slow 5 s ago", 5*time.Second, func(gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			return gypsumhoist.LoadReport{Running: 100000, Slots: 1, PacePercent: 400}
		}),
		Entry("nothing", time.Duration(0), func(gypsumhoist.LoadReport) gypsumhoist.LoadReport { return gypsumhoist.LoadReport{} }),
	)

	// Guards against the herd of nodes that all hear at once that one upstream is free.
	It("draw no herd with one fresh report", func() {
		all := upstreams("a", 12, 20)
		picked := 0
		const nodes, picks = 80, 5
		for node := range nodes {
			gr := router.NewGroup("a", rand.New(rand.NewPCG(uint64(node), 5)))
			gr.SetUpstreams(0, all)
			for at, up := range all {
				lr := gypsumhoist.LoadReport{Running: 18, Slots: 20, PacePercent: 100}
				if at == 3 {
					lr = gypsumhoist.LoadReport{Slots: 20, PacePercent: 50}
				}
				gr.ReportAt(time.Second, up.Instance, router.Report{Load: router.LoadReport{LoadReport: lr, InFlight: lr.Running, ServiceTime: time.Second}})
				ch := gr.PickAt(time.Second)
				gr.DoneAt(time.Second, ch, router.Outcome{Latency: time.Second, Load: &router.Load{InFlight: lr.Running + 1, Limit: 20}})
			}
			for range picks {
				ch := gr.PickAt(time.Second + 10*time.Millisecond)
				if up, _ := ch.Upstream(); up.Instance == all[3].Instance {
					picked++
				}
			}
		}
		share := float64(picked) / (nodes * picks) * float64(len(all))
		GinkgoWriter.Printf("share of the upstream that is free: %.2f\n", share)
		Expect(share).To(BeNumerically("<", 2.3))
	})

	// For 4 s of calm, from 4 s after its first announcement on, an upstream that nobody uses counts as a fault.
	It("are sent a first request by each node within 2 s if they are new, and their share from their first report on", func() {
		pl := unevenPlan(20)
		pl.seed, pl.slowShare = 3, 0
		st := newSite(pl)
		added := &siteUpstream{site: st, view: upstreams("a", 14, 20)[13], speed: 1, pace: 1}
		rate := func(time.Duration) float64 { return 0.5 * st.capacity("a") }
		st.load("a", rate, 8*time.Second, siteRequest{target: time.Second})
		st.runUntil(3 * time.Second)
		st.upstreams = append(st.upstreams, added)
		st.byName[added.view.Instance] = added
		var all []router.Upstream
		for _, su := range st.upstreams {
			all = append(all, su.view)
			su.served = 0
		}
		for _, gr := range st.groups["a"] {
			gr.SetUpstreams(st.now, all)
		}
		st.runUntil(5200 * time.Millisecond)
		Expect(added.served).To(BeNumerically(">=", 20), "each node's first request")
		for _, su := range st.upstreams {
			su.served = 0
		}
		st.runUntil(8 * time.Second)
		share := shareOf([]*site{st}, added.view.Instance)
		GinkgoWriter.Printf("share of the new upstream, 2.2 s to 5 s after it was seen: %.2f\n", share)
		Expect(share).To(BeNumerically("~", 1, 0.3))
	})
})

var _ = Describe("a new upstream of another failure domain", func() {
	// Guards against nodes that know nothing of it when their own domain needs it.
	It("is sent a first request by each node within 2 s, but no large one", func() {
		for _, bytes := range []int{1 << 10, 1 << 20} {
			pl := unevenPlan(10)
			pl.domains, pl.perDomain = []gypsumhoist.FailureDomain{"a", "b"}, map[gypsumhoist.FailureDomain]int{"a": 4, "b": 1}
			pl.spillover, pl.delay = router.DefaultSpillover, time.Millisecond
			st := newSite(pl)
			added := &siteUpstream{site: st, view: upstreams("b", 2, 20)[1], speed: 1, pace: 1, random: rand.New(rand.NewPCG(1, 1))}
			st.load("a", func(time.Duration) float64 { return 0.5 * st.capacity("a") }, 6*time.Second, siteRequest{target: time.Second, bytes: bytes})
			st.runUntil(3 * time.Second)
			st.upstreams = append(st.upstreams, added)
			st.byName[added.view.Instance] = added
			var all []router.Upstream
			for _, su := range st.upstreams {
				all = append(all, su.view)
			}
			for _, gr := range st.groups["a"] {
				gr.SetUpstreams(st.now, all)
			}
			st.runUntil(6 * time.Second)
			if bytes == 1<<10 {
				Expect(added.served).To(Equal(10))
			} else {
				Expect(added.served).To(BeZero())
			}
		}
	})
})

var _ = Describe("a service", func() {
	It("counts as one that reports its pace for 10 s after a report", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			rt := router.New("a")
			g.Expect(rt.ReportsPace("orders")).To(BeFalse())
			rt.SetUpstreams("orders", upstreams("a", 2, 10))
			report := func(pace int, age time.Duration) {
				pk, err := rt.Pick("orders", true)
				g.Expect(err).NotTo(HaveOccurred())
				pk.Report(router.Report{Load: router.LoadReport{LoadReport: gypsumhoist.LoadReport{Slots: 10, PacePercent: pace}, Age: age}})
				pk.Done(router.Outcome{})
			}
			report(0, 0)
			g.Expect(rt.ReportsPace("orders")).To(BeFalse())
			report(100, 4*time.Second)
			time.Sleep(6*time.Second - 1)
			g.Expect(rt.ReportsPace("orders")).To(BeTrue())
			time.Sleep(1)
			g.Expect(rt.ReportsPace("orders")).To(BeFalse())
		})
	})
	It("never counts as one if load reports are switched off", func() {
		rt := router.New("a", router.WithLoadReports(false))
		rt.SetUpstreams("orders", upstreams("a", 2, 10))
		pk, err := rt.Pick("orders", true)
		Expect(err).NotTo(HaveOccurred())
		pk.Report(router.Report{Load: router.LoadReport{LoadReport: gypsumhoist.LoadReport{Slots: 10, PacePercent: 100}}})
		pk.Done(router.Outcome{})
		Expect(rt.ReportsPace("orders")).To(BeFalse())
	})
})
