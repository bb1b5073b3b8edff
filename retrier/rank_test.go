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

// leaf is a service deep in a chain that refuses a share of its calls without having run them, however few they are.
// Each request makes several calls to it, one after the other, and is lost with the first that stays refused.
type leaf struct {
	retrier *retrier.Retrier
	random  *rand.Rand
	refuses float64
	calls   int // of one request
	percent int
	ranked  bool

	firsts, retries int
	asked, served   map[gypsumhoist.Importance]int
}

// request runs one request of an importance.
func (lf *leaf) request(imp gypsumhoist.Importance) {
	lf.asked[imp]++
	bg := retrier.NewBudget(8)
	for call := range lf.calls {
		lf.retrier.First(key)
		lf.firsts++
		for lf.random.Float64() < lf.refuses {
			fl := retrier.Failure{
				Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonUpstreamRefused, Others: 1, Remaining: time.Second,
			}
			if lf.ranked {
				fl.Rank = retrier.Rank{Importance: imp, Ahead: lf.calls - call - 1}
			}
			if _, ok := lf.retrier.Decide(key, lf.percent, fl, bg).(retrier.RetryElsewhere); !ok {
				return
			}
			lf.retries++
		}
	}
	lf.served[imp]++
}

// play sends requests of two importances, one important to three others, for a time.
func (lf *leaf) play(every, span time.Duration) {
	lf.firsts, lf.retries = 0, 0
	lf.asked, lf.served = map[gypsumhoist.Importance]int{}, map[gypsumhoist.Importance]int{}
	for began := time.Now(); time.Since(began) < span; time.Sleep(every) {
		imp := gypsumhoist.Importance(70)
		if lf.random.IntN(4) == 0 {
			imp = 90
		}
		lf.request(imp)
	}
}

func (lf *leaf) share(imp gypsumhoist.Importance) float64 {
	return float64(lf.served[imp]) / float64(lf.asked[imp])
}

var _ = Describe("the retries of a row that are not enough for all", func() {
	It("go to the important and to what is nearest to its end, and are never more than the row allows", func() {
		synctest.Test(suiteT, func(*testing.T) {
			both := map[bool]*leaf{}
			for _, ranked := range []bool{false, true} {
				lf := &leaf{
					retrier: retrier.New(), random: rand.New(rand.NewPCG(1, 1)), calls: 4, percent: 14, ranked: ranked,
				}
				both[ranked] = lf
				lf.play(20*time.Millisecond, 20*time.Second)
				Expect(lf.share(90)).To(Equal(1.0))
				lf.refuses = 0.55
				lf.play(20*time.Millisecond, 30*time.Second)
				GinkgoWriter.Printf("ranked %v: important %.3f, others %.3f served, %d retries of %d calls\n",
					ranked, lf.share(90), lf.share(70), lf.retries, lf.firsts)
				Expect(float64(lf.retries)).To(BeNumerically("<=", 0.2*float64(lf.firsts)+49))
				lf.refuses = 0
				lf.play(20*time.Millisecond, 3*time.Second)
				Expect(lf.share(70)).To(Equal(1.0))
				lf.refuses = 0.02
				lf.play(20*time.Millisecond, 30*time.Second)
				Expect(lf.share(70)).To(BeNumerically(">", 0.99), "a few failures are all tried again")
				lf.refuses = 0.55
				lf.play(20*time.Millisecond, 30*time.Second)
			}
			Expect(both[true].share(90)).To(BeNumerically(">", 2*both[false].share(90)))
			Expect(both[true].share(70)).To(BeNumerically(">", 0.02))
		})
	})
	It("count calls made for a retry, which nobody would have seen without it", func() {
		synctest.Test(suiteT, func(*testing.T) {
			re := retrier.New()
			for range 100 {
				re.First(key)
			}
			for range 14 {
				re.First(key)
				re.Repeated(key)
			}
			fl := retrier.Failure{Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, Others: 1, Remaining: time.Second}
			Expect(re.Decide(key, 12, fl, retrier.NewBudget(1))).To(Equal(retrier.GiveUp{Cause: retrier.CauseRatio}))
			Expect(re.Decide(key, 20, fl, retrier.NewBudget(1))).To(Equal(retrier.RetryElsewhere{}))
		})
	})
})
