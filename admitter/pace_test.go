package admitter_test

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

var _ = Describe("the rate limit of an upstream", func() {
	It("bounds the requests that are started in any span, whatever arrives and however the limit changes", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			co := admitter.NewCore(50, rand.New(rand.NewPCG(1, 1)))
			highest := 0.0
			now := time.Duration(0)
			var starts []time.Duration
			inFlight := 0
			count := func(dc admitter.Decision) {
				if _, ok := dc.(admitter.Started); ok {
					starts = append(starts, now)
					inFlight++
				}
			}
			for range 300 {
				now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond
				switch rapid.IntRange(0, 5).Draw(rt, "kind") {
				case 0:
					limit := rapid.Float64Range(0, 20).Draw(rt, "limit")
					highest = max(highest, limit)
					co.SetRateLimit(now, gypsumhoist.RateLimitOf(limit), admitter.RateLimitFromAnswer)
				case 1:
					if inFlight > 0 {
						inFlight--
						co.Done(now, 10*time.Millisecond, "/slips", admitter.OutcomeAnswered)
					}
				case 2:
					co.Resume(now)
				default:
					if highest > 0 {
						_, dc := co.Arrive(now, admitter.CoreRequest{Workspace: "school", Route: "/slips", Importance: 50})
						count(dc)
					}
				}
				for _, nt := range co.Notices() {
					count(nt.Decision)
				}
				from, _ := slices.BinarySearch(starts, now-4*time.Second)
				if most := 4*max(highest, 0.5) + max(1, highest/4); float64(len(starts)-from) > most+1 {
					rt.Fatalf("%d started in 4 s, want at most %.1f", len(starts)-from, most)
				}
			}
		})
	})

	It("starts waiting requests as their time comes, the most important first", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			ad := admitter.New()
			ad.SetSlots(40)
			ad.SetRateLimit(gypsumhoist.RateLimitOf(10), admitter.RateLimitFromAnswer)
			var mu sync.Mutex
			var order []gypsumhoist.Importance
			var wg sync.WaitGroup
			began := time.Now()
			for at := range 4 {
				wg.Go(func() {
					imp := gypsumhoist.Importance(10 * (at + 1))
					tk, err := ad.Admit(context.Background(), admitter.Request{Workspace: "school", Route: "/slips", Importance: imp})
					g.Expect(err).NotTo(HaveOccurred())
					mu.Lock()
					order = append(order, imp)
					mu.Unlock()
					tk.Done(admitter.OutcomeAnswered)
				})
				synctest.Wait()
			}
			wg.Wait()
			g.Expect(order).To(Equal([]gypsumhoist.Importance{40, 30, 20, 10}))
			g.Expect(time.Since(began)).To(BeNumerically("~", 400*time.Millisecond, 5*time.Millisecond))
		})
	})

	It("is taken from a peer only while the upstream has said nothing, and lifted only by several answers", func() {
		ad := admitter.New()
		limit := func() gypsumhoist.RateLimit { return ad.Load().RateLimit }
		ad.SetRateLimit(gypsumhoist.RateLimit{}, admitter.RateLimitFromPeer)
		Expect(limit().Known()).To(BeFalse())
		ad.SetRateLimit(gypsumhoist.RateLimitOf(5), admitter.RateLimitFromPeer)
		Expect(limit()).To(Equal(gypsumhoist.RateLimitOf(5)))
		ad.SetRateLimit(gypsumhoist.RateLimitOf(7), admitter.RateLimitFromAnswer)
		ad.SetRateLimit(gypsumhoist.RateLimitOf(5), admitter.RateLimitFromPeer)
		ad.SetRateLimit(gypsumhoist.NoRateLimit, admitter.RateLimitFromAnswer)
		ad.SetRateLimit(gypsumhoist.NoRateLimit, admitter.RateLimitFromAnswer)
		Expect(limit()).To(Equal(gypsumhoist.RateLimitOf(7)))
		ad.SetRateLimit(gypsumhoist.NoRateLimit, admitter.RateLimitFromAnswer)
		Expect(limit()).To(Equal(gypsumhoist.NoRateLimit))
		ad.SetRateLimit(gypsumhoist.RateLimitOf(5), admitter.RateLimitFromPeer)
		Expect(limit()).To(Equal(gypsumhoist.NoRateLimit))
		ad.SetRateLimit(gypsumhoist.RateLimit{}, admitter.RateLimitForgotten)
		Expect(limit().Known()).To(BeFalse())
	})

	It("that a peer has heard of an earlier process is lifted by the first answer", func() {
		ad := admitter.New()
		ad.SetRateLimit(gypsumhoist.RateLimitOf(5), admitter.RateLimitFromAnswer)
		ad.SetRateLimit(gypsumhoist.RateLimit{}, admitter.RateLimitForgotten)
		ad.SetRateLimit(gypsumhoist.RateLimitOf(5), admitter.RateLimitFromPeer)
		Expect(ad.Load().RateLimit.Limited()).To(BeTrue())
		ad.SetRateLimit(gypsumhoist.NoRateLimit, admitter.RateLimitFromAnswer)
		Expect(ad.Load().RateLimit.Limited()).To(BeFalse())
	})

	It("reports the concurrency that it allows", func() {
		co := admitter.NewCore(40, rand.New(rand.NewPCG(1, 1)))
		for at := range 20 {
			_, dc := co.Arrive(time.Duration(at)*time.Second, admitter.CoreRequest{Workspace: "school", Route: "/slips"})
			Expect(dc).To(Equal(admitter.Started{}))
			co.Done(time.Duration(at)*time.Second+500*time.Millisecond, 500*time.Millisecond, "/slips", admitter.OutcomeAnswered)
		}
		Expect(co.Load(20 * time.Second).Limit).To(Equal(40))
		co.SetRateLimit(20*time.Second, gypsumhoist.RateLimitOf(9), admitter.RateLimitFromAnswer)
		Expect(co.Load(20 * time.Second).Limit).To(Equal(int(math.Ceil(9 * 0.5))))
	})
})
