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

var _ = Describe("an outlook on retries", func() {
	// Guards against a Peek that spends credit or makes an entry for a row.
	It("tells the usage and changes no later decision", func() {
		decisions := func(peek bool) (out []retrier.Decision) {
			random := rand.New(rand.NewPCG(1, 2))
			re := retrier.New()
			fl := retrier.Failure{
				Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, UpstreamsLeft: 3, Remaining: time.Second,
			}
			for range 2000 {
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				re.CountFirst(key, 20)
				if peek {
					re.Peek(retrier.RowKey{Workspace: "none", Route: "/none", Service: "none"}, 20)
					ol := re.Peek(key, 20)
					Expect(ol.Usage).To(Equal(re.Usage(key)))
					Expect(ol.Left).To(Equal(max(retrier.MinRetriesPerWindow, ol.Firsts*20/100) - ol.Retries))
				}
				if random.IntN(3) == 0 {
					out = append(out, re.Decide(key, 20, fl, retrier.NewBudget(1)))
				}
			}
			return out
		}
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			without := decisions(false)
			g.Expect(decisions(true)).To(Equal(without))
			g.Expect(without).To(And(ContainElement(retrier.RetryElsewhere{}), ContainElement(retrier.GiveUp{Cause: retrier.CauseRatio})))
		})
	})
})
