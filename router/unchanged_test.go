package router_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// pickSequence returns a hash over the upstreams that a router with a fixed seed picks for 20,000 attempts at a service of three failure
// domains, with latencies, load reports, refusals, failures, a new upstream and one that drains.
func pickSequence(rp router.Report) string {
	random := rand.New(rand.NewPCG(11, 12))
	rt := router.New("a", router.WithRandom(rand.New(rand.NewPCG(21, 22))))
	rt.SetDelay("b", time.Millisecond)
	rt.SetDelay("c", 12*time.Millisecond)
	all := append(append(upstreams("a", 4, 8), upstreams("b", 5, 12)...), upstreams("c", 3, 40)...)
	rt.SetUpstreams("orders", all)
	sum := fnv.New64a()
	// Attempts end in a fixed order, as goroutines that wake at the same time would not.
	type attempt struct {
		pick    router.Pick
		ends    time.Time
		outcome router.Outcome
	}
	var running []attempt
	for at := range 20000 {
		running = slices.DeleteFunc(running, func(am attempt) bool {
			over := !am.ends.After(time.Now())
			if over {
				am.pick.Done(am.outcome)
			}
			return over
		})
		switch at {
		case 5000:
			all = append(all, upstreams("a", 6, 8)[5])
			rt.SetUpstreams("orders", all)
		case 9000:
			all[1].State = router.StateDraining
			rt.SetUpstreams("orders", all)
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
		pk, err := rt.Pick("orders", random.IntN(4) > 0)
		Expect(err).NotTo(HaveOccurred())
		_, _ = fmt.Fprintln(sum, pk.Upstream.Instance, pk.Probe)
		pk.Report(rp)
		oc := router.Outcome{Latency: time.Duration(20+random.IntN(80)) * time.Millisecond}
		switch kind := random.IntN(40); {
		case kind == 0:
			oc.Result = router.ResultOverloaded
		case kind == 1, pk.Upstream.Instance == "b-2" && at > 12000:
			oc.Result = router.ResultFailed
		case kind < 20:
			oc.Load = &router.Load{InFlight: random.IntN(14), Limit: 4 + random.IntN(10)}
		}
		running = append(running, attempt{pick: pk, ends: time.Now().Add(oc.Latency), outcome: oc})
	}
	return fmt.Sprintf("%016x", sum.Sum64())
}

// sequenceBefore is the result of pickSequence before load reports were used.
const sequenceBefore = "726c4c24d2cfdfc3"

var _ = Describe("the picks of a service whose upstreams do not report their pace", func() {
	DescribeTable("are exactly those that the same random numbers gave before load reports were used", func(rp router.Report) {
		synctest.Test(suiteT, func(t *testing.T) {
			NewWithT(t).Expect(pickSequence(rp)).To(Equal(sequenceBefore))
		})
	},
		Entry("without load reports", router.Report{}),
		Entry("with load reports that name no pace", router.Report{Load: router.LoadReport{
			LoadReport: gypsumhoist.LoadReport{Running: 7, Waiting: 9, Slots: 3}, InFlight: 1, ServiceTime: time.Millisecond,
		}}),
	)
})
