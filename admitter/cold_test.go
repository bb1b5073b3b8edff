package admitter_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

var _ = Describe("the limit of a cold upstream", func() {
	// Guards against a burst at the beginning, at a change of the limit that the upstream names, or by what waits.
	It("bounds the requests that are started in any second, whatever limit the upstream names meanwhile", func() {
		const perSecond = 13
		for seed := range uint64(20) {
			random := rand.New(rand.NewPCG(seed, 1))
			co := admitter.NewCore(50, rand.New(rand.NewPCG(1, 1)))
			co.SetColdLimit(0, gypsumhoist.RateLimitOf(perSecond))
			var starts []time.Duration
			inFlight := 0
			now := time.Duration(0)
			count := func(dc admitter.Decision) {
				if _, ok := dc.(admitter.Started); ok {
					starts = append(starts, now)
					inFlight++
				}
			}
			for now < 10*time.Second {
				now += time.Duration(random.IntN(20)) * time.Millisecond
				switch random.IntN(6) {
				case 0:
					co.SetRateLimit(now, gypsumhoist.RateLimitOf(float64(random.IntN(100))), admitter.RateLimitFromAnswer)
				case 1:
					co.SetRateLimit(now, gypsumhoist.NoRateLimit, admitter.RateLimitFromAnswer)
				case 2:
					if inFlight > 0 {
						inFlight--
						co.Done(now, 10*time.Millisecond, "/slips", admitter.OutcomeAnswered)
					}
				case 3:
					co.Resume(now)
				default:
					_, dc := co.Arrive(now, admitter.CoreRequest{Workspace: "school", Route: "/slips", Importance: 50})
					count(dc)
				}
				for _, nt := range co.Notices() {
					count(nt.Decision)
				}
				from, _ := slices.BinarySearch(starts, now-time.Second)
				Expect(len(starts) - from).To(BeNumerically("<=", perSecond*3/2+8))
			}
			Expect(len(starts)).To(BeNumerically(">", 10*perSecond/4), "the upstream is hardly used")
		}
	})

	It("ends with the cold period", func() {
		co := admitter.NewCore(50, rand.New(rand.NewPCG(1, 1)))
		co.SetColdLimit(0, gypsumhoist.RateLimitOf(1))
		started := 0
		arrive := func() {
			if _, dc := co.Arrive(time.Second, admitter.CoreRequest{Route: "/slips", Importance: 50}); dc == (admitter.Started{}) {
				started++
			}
		}
		for range 10 {
			arrive()
		}
		Expect(started).To(Equal(1))
		co.SetColdLimit(time.Second, gypsumhoist.RateLimit{})
		Expect(co.Notices()).To(HaveLen(9))
	})
})
