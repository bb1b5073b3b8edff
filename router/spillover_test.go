package router_test

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// spillCase is one row of the table in docs/design/spillover.md.
type spillCase struct {
	name    string
	domains int
	delay   time.Duration
	bytes   int
	// load is the demand of each domain as a multiple of its capacity, wave the part by which it varies, phase the phase of domain n in turns.
	load, wave float64
	phase      func(n int) float64
	lost       float64 // share of the first domain's upstreams that is gone
	seed       uint64
	nodes      int // of each domain; 8 if zero
}

const spillPeriod = 17 * time.Second

// spillPolicy is one column of the table.
type spillPolicy struct {
	reports, everywhere bool
	mode                router.SpilloverMode
}

// Policies that are compared. Before is what applies to services whose upstreams report no pace.
var (
	policyNever  = spillPolicy{reports: true, mode: router.SpilloverOff}
	policyAlways = spillPolicy{reports: true, everywhere: true, mode: router.SpilloverOff}
	policyBefore = spillPolicy{mode: router.SpilloverOverflow}
	policyPriced = spillPolicy{reports: true, mode: router.SpilloverPriced}
)

// site returns a site of the case, and the mean rate of requests of each domain.
func (sc spillCase) site(py spillPolicy) (*site, float64) {
	sp := router.DefaultSpillover
	sp.Mode = py.mode
	pl := sitePlan{
		nodes: cmp.Or(sc.nodes, 8), perDomain: map[gypsumhoist.FailureDomain]int{}, slots: 12, speeds: []float64{0.7, 1, 1.4}, work: 60 * time.Millisecond,
		delay: sc.delay, maxWait: 75 * time.Millisecond, reports: py.reports, spillover: sp, everywhere: py.everywhere,
		slowShare: 0.15, slowFactor: 2.5, slowInterval: 600 * time.Millisecond, seed: sc.seed,
	}
	for n := range sc.domains {
		dm := gypsumhoist.FailureDomain(rune('a' + n))
		pl.domains = append(pl.domains, dm)
		pl.perDomain[dm] = 6
	}
	mean := sc.load * newSite(pl).capacity("a") / usualPace
	pl.perDomain["a"] = int(math.Round(6 * (1 - sc.lost)))
	return newSite(pl), mean
}

// run simulates one period of the waves.
func (sc spillCase) run(py spillPolicy) (tally, *site) {
	st, mean := sc.site(py)
	for n, dm := range st.plan.domains {
		st.load(dm, sc.rate(mean, n), spillPeriod, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
	}
	st.runUntil(spillPeriod + 5*time.Second)
	return st.total(), st
}

// rate returns the demand of domain n.
func (sc spillCase) rate(mean float64, n int) func(at time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + sc.wave*math.Sin(2*math.Pi*(float64(at)/float64(spillPeriod)+sc.phase(n))))
	}
}

func inPhase(int) float64 { return 0 }

func spillCases() []spillCase {
	var out []spillCase
	for _, domains := range []int{2, 3} {
		outOfPhase := func(n int) float64 { return float64(n) / float64(domains) }
		for _, kind := range []spillCase{
			{name: "waves in phase", load: 0.75, wave: 0.55, phase: inPhase},
			{name: "waves out of phase", load: 0.75, wave: 0.55, phase: outOfPhase},
			{name: "half of one domain gone", load: 0.65, phase: inPhase, lost: 0.5},
		} {
			for _, delay := range []time.Duration{1400 * time.Microsecond, 12 * time.Millisecond} {
				for _, bytes := range []int{1 << 10, 1 << 20} {
					kind.domains, kind.delay, kind.bytes, kind.seed = domains, delay, bytes, uint64(len(out))
					out = append(out, kind)
				}
			}
		}
	}
	return out
}

func inTime(tl tally) float64 { return float64(tl.inTime) / float64(tl.requests) }

// megabytes returns the megabytes between domains.
func megabytes(tl tally) float64 { return float64(tl.bytesAway) / 1e6 }

var _ = Describe("leaving the failure domain", func() {
	// Guards against a decision that serves less in time than staying, or that moves more bytes than it needs. Bounds: of what the best
	// of the other policies serves in time above never leaving, nine tenths for small responses and three quarters for large ones, less
	// 0.003 of the requests; at most half the bytes of always leaving, and no more than before. What is served in time is summed over
	// delays and numbers of domains, each with a seed of its own, as the seed alone moves it by up to 0.02.
	It("serves about as much in time as always leaving, with far fewer bytes", func() {
		GinkgoWriter.Println("in time and MB between domains: never, always, before, priced")
		policies := []spillPolicy{policyNever, policyAlways, policyBefore, policyPriced}
		sums := map[string][]tally{}
		for _, sc := range spillCases() {
			row := fmt.Sprintf("| %d | %s | %v | %d KB |", sc.domains, sc.name, sc.delay, sc.bytes>>10)
			kind := fmt.Sprintf("%s, %d KB", sc.name, sc.bytes>>10)
			if sums[kind] == nil {
				sums[kind] = make([]tally, len(policies))
			}
			var moved []float64
			for at, py := range policies {
				tl, _ := sc.run(py)
				sums[kind][at].add(tl)
				moved = append(moved, megabytes(tl))
				row += fmt.Sprintf(" %.3f; %.1f |", inTime(tl), megabytes(tl))
			}
			GinkgoWriter.Println(row)
			always, before, priced := moved[1], moved[2], moved[3]
			Expect(priced).To(BeNumerically("<=", always/2), row)
			Expect(priced).To(BeNumerically("<=", before), row)
		}
		for _, kind := range slices.Sorted(maps.Keys(sums)) {
			never, always, before, priced := inTime(sums[kind][0]), inTime(sums[kind][1]), inTime(sums[kind][2]), inTime(sums[kind][3])
			part := 0.9
			if !strings.HasSuffix(kind, " 1 KB") {
				part = 0.75
			}
			GinkgoWriter.Printf("%s: in time %.4f, %.4f, %.4f, %.4f\n", kind, never, always, before, priced)
			Expect(priced).To(BeNumerically(">=", never+part*(max(never, always, before)-never)-0.003), kind)
		}
	})

	// Guards against nodes that hear of each upstream too rarely to know that their domain is full.
	It("also serves as much in time where many nodes make few calls each", func() {
		for _, sc := range []spillCase{
			{name: "waves out of phase", load: 0.75, wave: 0.55, phase: func(n int) float64 { return float64(n) / 2 }},
			{name: "half of one domain gone", load: 0.65, phase: inPhase, lost: 0.5},
		} {
			sc.domains, sc.delay, sc.bytes, sc.nodes = 2, 1400*time.Microsecond, 1<<10, 80
			never, _ := sc.run(policyNever)
			before, _ := sc.run(policyBefore)
			priced, _ := sc.run(policyPriced)
			GinkgoWriter.Printf("%s, 80 nodes in each domain\n  never %v\n  before %v\n  priced %v\n", sc.name, never, before, priced)
			Expect(inTime(priced)).To(BeNumerically(">=", inTime(never)+0.9*(inTime(before)-inTime(never))-0.003))
		}
	})

	// Guards against upstreams that push their callers out of the domain with false reports.
	It("does not happen because upstreams falsely report that they are full", func() {
		sc := spillCase{domains: 2, delay: 1400 * time.Microsecond, bytes: 1 << 10, phase: inPhase, load: 0.6}
		away := func(report func(lr gypsumhoist.LoadReport) gypsumhoist.LoadReport) float64 {
			st, mean := sc.site(policyPriced)
			for _, su := range st.upstreams {
				if su.view.Domain == "a" {
					su.report = report
				}
			}
			st.load("a", sc.rate(mean, 0), spillPeriod, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
			st.runUntil(spillPeriod)
			tl := st.total()
			GinkgoWriter.Println(tl)
			return float64(tl.away) / float64(tl.requests)
		}
		honest := away(nil)
		Expect(away(func(gypsumhoist.LoadReport) gypsumhoist.LoadReport {
			return gypsumhoist.LoadReport{Running: 100000, Waiting: 100000, Slots: 1, PacePercent: 100000}
		})).To(BeNumerically("<=", honest+0.01))
	})

	// Guards against domains that exchange requests at the same time, each for lack of room at home.
	It("does not go both ways at once", func() {
		for _, phase := range []float64{0, 0.5} {
			sc := spillCase{domains: 2, delay: 1400 * time.Microsecond, bytes: 1 << 10, load: 0.9, wave: 0.55, phase: func(n int) float64 { return phase * float64(n) }}
			st, mean := sc.site(policyPriced)
			for n, dm := range st.plan.domains {
				st.load(dm, sc.rate(mean, n), spillPeriod, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
			}
			both, last := 0, map[gypsumhoist.FailureDomain]int{}
			for st.now < spillPeriod {
				st.runUntil(st.now + time.Second)
				one, two := st.tally["a"].away-last["a"], st.tally["b"].away-last["b"]
				last["a"], last["b"] = st.tally["a"].away, st.tally["b"].away
				both += 2 * min(one, two)
			}
			GinkgoWriter.Printf("phase %.1f: %.4f of the requests were exchanged within a second; %v\n", phase, float64(both)/float64(st.total().requests), st.total())
			Expect(float64(both) / float64(st.total().requests)).To(BeNumerically("<", 0.02))
		}
	})

	// Guards against a herd: two overloaded domains whose nodes all know that the third was free a moment ago, when its own demand returns.
	It("leaves room for the callers of a domain that was free a moment ago", func() {
		served := func(py spillPolicy) (own, others tally) {
			sc := spillCase{domains: 3, delay: 1400 * time.Microsecond, bytes: 1 << 10, phase: inPhase, load: 1}
			st, mean := sc.site(py)
			for _, dm := range []gypsumhoist.FailureDomain{"a", "b"} {
				st.load(dm, func(time.Duration) float64 { return 1.25 * mean }, 12*time.Second, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
			}
			st.load("c", func(at time.Duration) float64 {
				if at < 6*time.Second {
					return 0.1 * mean
				}
				return 0.95 * mean
			}, 12*time.Second, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
			st.runUntil(6 * time.Second)
			for _, tl := range st.tally {
				*tl = tally{}
			}
			st.runUntil(15 * time.Second)
			others.add(*st.tally["a"])
			others.add(*st.tally["b"])
			return *st.tally["c"], others
		}
		never, _ := served(policyNever)
		before, beforeOthers := served(policyBefore)
		priced, pricedOthers := served(policyPriced)
		GinkgoWriter.Printf("own callers: never %v\n  before %v\n  priced %v\nothers: before %v\n  priced %v\n", never, before, priced, beforeOthers, pricedOthers)
		Expect(inTime(priced)).To(BeNumerically(">", inTime(never)-0.05))
		Expect(inTime(priced)).To(BeNumerically(">=", inTime(before)))
	})

	// Guards against large responses or unimportant requests that take the room of another domain before small or important ones.
	It("begins with small responses and important requests where the other domain has little room", func() {
		sc := spillCase{domains: 2, delay: 1400 * time.Microsecond, phase: inPhase, load: 1}
		share := map[string]float64{}
		kinds := map[string]siteRequest{
			"small, important": {bytes: 1 << 10, importance: 90}, "small, unimportant": {bytes: 1 << 10, importance: 10},
			"large, important": {bytes: 1 << 20, importance: 90}, "large, unimportant": {bytes: 1 << 20, importance: 10},
		}
		st, mean := sc.site(policyPriced)
		names := slices.Sorted(maps.Keys(kinds))
		for _, name := range names {
			rq := kinds[name]
			rq.target, rq.kind = 250*time.Millisecond, name
			st.load("a", func(time.Duration) float64 { return 1.3 / 4 * mean }, 12*time.Second, rq)
		}
		st.load("b", func(time.Duration) float64 { return 0.8 * mean }, 12*time.Second, siteRequest{target: 250 * time.Millisecond, bytes: 1 << 10, importance: 50})
		st.runUntil(15 * time.Second)
		for _, name := range names {
			tl := st.kinds[name]
			share[name] = float64(tl.away) / float64(tl.requests)
			GinkgoWriter.Printf("%s: %v\n", name, *tl)
		}
		Expect(share["small, important"]).To(BeNumerically(">", 1.5*share["large, important"]))
		Expect(share["small, important"]).To(BeNumerically(">", 1.2*share["small, unimportant"]))
		Expect(share["small, unimportant"]).To(BeNumerically(">", share["large, unimportant"]))
	})

	It("sends nothing to a domain that is cold, and nothing at all if it is off", func() {
		for _, cold := range []bool{true, false} {
			all := append(upstreams("a", 2, 10), upstreams("b", 2, 10)...)
			gr := router.NewGroup("a", rand.New(rand.NewPCG(1, 2)))
			if cold {
				all[2].State, all[3].State = router.StateWarming, router.StateWarming
			} else {
				gr.SetSpillover(router.Spillover{Mode: router.SpilloverOff})
			}
			gr.SetUpstreams(0, all)
			now := time.Second
			gr.ReportAt(now, "a-0", router.Report{Load: router.LoadReport{LoadReport: gypsumhoist.LoadReport{Slots: 10, PacePercent: 100}, ServiceTime: time.Second}})
			for range 200 {
				ch := gr.PickForAt(now, router.Request{Importance: 100})
				up, ok := ch.Upstream()
				Expect(ok).To(BeTrue())
				Expect(up.Domain).To(Equal(gypsumhoist.FailureDomain("a")))
				gr.DoneAt(now, ch, router.Outcome{Result: router.ResultOverloaded, Load: &router.Load{InFlight: 20, Limit: 10}})
				now += 10 * time.Millisecond
			}
		}
	})

	// Guards against calls that leave though they can't be back in time, by the delay that their domain's calls have shown.
	It("takes the measured delay into account", func() {
		for _, far := range []bool{false, true} {
			gr := router.NewGroup("a", rand.New(rand.NewPCG(1, 2)))
			gr.SetUpstreams(0, append(upstreams("a", 1, 10), upstreams("b", 1, 1000)...))
			away := 0
			for at := range 400 {
				now := time.Second + time.Duration(at)*5*time.Millisecond
				ch := gr.PickForAt(now, router.Request{Importance: 50, Remaining: 50 * time.Millisecond})
				up, _ := ch.Upstream()
				rp := router.Report{Load: router.LoadReport{LoadReport: gypsumhoist.LoadReport{Slots: up.Slots, PacePercent: 100}, ServiceTime: 10 * time.Millisecond}}
				oc := router.Outcome{Result: router.ResultOverloaded}
				if up.Domain == "b" {
					away++
					rp.RoundTrip = time.Millisecond
					if far {
						rp.RoundTrip = 60 * time.Millisecond
					}
					oc.Result = router.ResultAnswered
				}
				gr.ReportAt(now, up.Instance, rp)
				gr.DoneAt(now, ch, oc)
			}
			if far {
				Expect(away).To(BeNumerically("<=", 20), "a few, until the mean has grown")
			} else {
				Expect(away).To(BeNumerically(">", 200))
			}
		}
	})

	It("keeps to the largest share that the settings allow", func() {
		sc := spillCase{domains: 2, delay: 1400 * time.Microsecond, bytes: 1 << 10, phase: inPhase, load: 0.65, lost: 0.5}
		st, mean := sc.site(policyPriced)
		for _, grs := range st.groups {
			for _, gr := range grs {
				gr.SetSpillover(router.Spillover{MaxShare: 0.1, PerMegabyte: time.Millisecond})
			}
		}
		st.load("a", sc.rate(mean, 0), spillPeriod, siteRequest{target: 250 * time.Millisecond, bytes: sc.bytes, importance: 50})
		st.runUntil(spillPeriod)
		tl := st.total()
		share := float64(tl.away) / float64(tl.attempts)
		without, _ := sc.run(policyPriced)
		GinkgoWriter.Printf("share of the attempts that left: %.3f, without a bound %.3f\n", share, float64(without.away)/float64(without.attempts))
		Expect(share).To(BeNumerically("<", 0.12))
		Expect(share).To(BeNumerically(">", 0.03))
	})

	It("has a gauge for each service and domain, and events when it begins and ends", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			var logs bytes.Buffer
			set := metrics.NewSet()
			rt := router.New("a", router.WithMetrics(set), router.WithLogger(logger.New(&logs)), router.WithRandom(rand.New(rand.NewPCG(1, 1))))
			rt.SetUpstreams("orders", append(upstreams("a", 2, 2), upstreams("b", 2, 20)...))
			silent := false
			send := func(every, span time.Duration) {
				for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
					pk, err := rt.Pick("orders", false)
					g.Expect(err).NotTo(HaveOccurred())
					quiet := silent
					go func() {
						time.Sleep(100 * time.Millisecond)
						if quiet {
							pk.Done(router.Outcome{Latency: 100 * time.Millisecond})
							return
						}
						pk.Report(router.Report{Load: router.LoadReport{
							LoadReport:  gypsumhoist.LoadReport{Slots: pk.Upstream.Slots, PacePercent: 100},
							ServiceTime: 100 * time.Millisecond,
						}})
						pk.Done(router.Outcome{Latency: 100 * time.Millisecond})
					}()
				}
			}
			send(50*time.Millisecond, 2*time.Second)
			g.Expect(logs.String()).To(BeEmpty())
			send(10*time.Millisecond, 5*time.Second)
			g.Expect(strings.Count(logs.String(), "spillover_begun")).To(Equal(1), logs.String())
			g.Expect(logs.String()).NotTo(ContainSubstring("spillover_ended"))
			var text bytes.Buffer
			set.WritePrometheus(&text)
			g.Expect(text.String()).To(MatchRegexp(`gypsumhoist_router_away_share\{service="orders",domain="b"\} 0\.[3-8]`))
			send(100*time.Millisecond, 20*time.Second)
			g.Expect(strings.Count(logs.String(), "spillover_ended")).To(Equal(1), logs.String())
			g.Expect(logs.String()).To(ContainSubstring("failure_domain=b"))
			send(10*time.Millisecond, 5*time.Second)
			g.Expect(strings.Count(logs.String(), "spillover_begun")).To(Equal(2), logs.String())
			silent = true
			send(10*time.Millisecond, 11*time.Second)
			time.Sleep(time.Second)
			g.Expect(strings.Count(logs.String(), "spillover_ended")).To(Equal(2), "no upstream has reported its pace for 10 s: %s", logs.String())
		})
	})
})
