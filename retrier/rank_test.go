package retrier_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// deepService is a service deep in a call chain that refuses a share of its calls without running them, whatever the load.
// Each request makes several calls to it in sequence, and fails with the first call that is not retried to success.
type deepService struct {
	retrier     *retrier.Retrier
	random      *rand.Rand
	refusalRate float64
	calls       int // of one request
	percent     int
	ranked      bool

	firsts, retries  int
	requests, served map[gypsumhoist.Importance]int
}

// request makes the calls of one request of an importance.
func (ds *deepService) request(imp gypsumhoist.Importance) {
	ds.requests[imp]++
	bg := retrier.NewBudget(8)
	for call := range ds.calls {
		ds.retrier.CountFirst(key, ds.percent)
		ds.firsts++
		for ds.random.Float64() < ds.refusalRate {
			fl := retrier.Failure{
				Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonUpstreamRefused, UpstreamsLeft: 1, Remaining: time.Second,
			}
			if ds.ranked {
				fl.Rank = retrier.Rank{Importance: imp, CallsAhead: ds.calls - call - 1}
			}
			if _, ok := ds.retrier.Decide(key, ds.percent, fl, bg).(retrier.RetryElsewhere); !ok {
				return
			}
			ds.retries++
		}
	}
	ds.served[imp]++
}

// run sends requests of two importances for a time, one important request to three others on average.
func (ds *deepService) run(every, span time.Duration) {
	ds.firsts, ds.retries = 0, 0
	ds.requests, ds.served = map[gypsumhoist.Importance]int{}, map[gypsumhoist.Importance]int{}
	for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
		imp := gypsumhoist.Importance(70)
		if ds.random.IntN(4) == 0 {
			imp = 90
		}
		ds.request(imp)
	}
}

// share returns the share of requests of an importance that were served.
func (ds *deepService) share(imp gypsumhoist.Importance) float64 {
	return float64(ds.served[imp]) / float64(ds.requests[imp])
}

var _ = Describe("the retries of a row, when there are not enough for all,", func() {
	It("go to important requests and to those nearest to their end, and never exceed what the row allows", func() {
		synctest.Test(suiteT, func(*testing.T) {
			both := map[bool]*deepService{}
			for _, ranked := range []bool{false, true} {
				ds := &deepService{
					retrier: retrier.New(), random: rand.New(rand.NewPCG(1, 1)), calls: 4, percent: 14, ranked: ranked,
				}
				both[ranked] = ds
				ds.run(20*time.Millisecond, 20*time.Second)
				Expect(ds.share(90)).To(Equal(1.0))
				ds.refusalRate = 0.55
				ds.run(20*time.Millisecond, 30*time.Second)
				GinkgoWriter.Printf("ranked %v: important %.3f, others %.3f served, %d retries of %d calls\n",
					ranked, ds.share(90), ds.share(70), ds.retries, ds.firsts)
				Expect(float64(ds.retries)).To(BeNumerically("<=", 0.2*float64(ds.firsts)+49))
				ds.refusalRate = 0
				ds.run(20*time.Millisecond, 3*time.Second)
				Expect(ds.share(70)).To(Equal(1.0))
				ds.refusalRate = 0.02
				ds.run(20*time.Millisecond, 30*time.Second)
				Expect(ds.share(70)).To(BeNumerically(">", 0.99), "few failures are all retried")
				ds.refusalRate = 0.55
				ds.run(20*time.Millisecond, 30*time.Second)
			}
			Expect(both[true].share(90)).To(BeNumerically(">", 2*both[false].share(90)))
			Expect(both[true].share(70)).To(BeNumerically(">", 0.02))
		})
	})
	It("include the nested calls of retries, which would not have been made without the retry", func() {
		synctest.Test(suiteT, func(*testing.T) {
			re := retrier.New()
			for range 100 {
				re.CountFirst(key, 20)
			}
			for range 14 {
				re.CountFirst(key, 20)
				re.CountRepeat(key)
			}
			fl := retrier.Failure{Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, UpstreamsLeft: 1, Remaining: time.Second}
			Expect(re.Decide(key, 12, fl, retrier.NewBudget(1))).To(Equal(retrier.GiveUp{Cause: retrier.CauseRatio}))
			Expect(re.Decide(key, 20, fl, retrier.NewBudget(1))).To(Equal(retrier.RetryElsewhere{}))
		})
	})
})
