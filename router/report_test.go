package router_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

var _ = Describe("the rate limit of an upstream", func() {
	It("is remembered until the upstream names another or none, also while it is out of view and after its node restarted", func() {
		rt := router.New("hobart")
		ups := upstreams("hobart", 1, 10)
		rt.SetUpstreams("slips", ups)
		pick := func() router.Pick {
			pk, err := rt.Pick("slips", true)
			Expect(err).NotTo(HaveOccurred())
			return pk
		}
		pk := pick()
		Expect(pk.RateLimit.Known()).To(BeFalse())
		pk.Report(router.Report{RateLimit: gypsumhoist.RateLimitOf(8)})
		pk.Done(router.Outcome{})
		rt.SetUpstreams("slips", nil)
		ups[0].Boot++
		rt.SetUpstreams("slips", ups)
		pk = pick()
		Expect(pk.RateLimit).To(Equal(gypsumhoist.RateLimitOf(8)))
		pk.Report(router.Report{})
		pk.Done(router.Outcome{})
		pk = pick()
		Expect(pk.RateLimit).To(Equal(gypsumhoist.RateLimitOf(8)))
		pk.Report(router.Report{RateLimit: gypsumhoist.NoRateLimit})
		pk.Done(router.Outcome{})
		Expect(pick().RateLimit.Limited()).To(BeFalse())
	})
})

var _ = Describe("an upstream that says that it drains", func() {
	DescribeTable("gets no request until the view shows another process of it",
		func(first, second int64) {
			rt := router.New("hobart")
			ups := upstreams("hobart", 2, 10)
			ups[0].Process = first
			rt.SetUpstreams("slips", ups)
			for {
				pk, err := rt.Pick("slips", true)
				Expect(err).NotTo(HaveOccurred())
				if pk.Upstream.Instance == ups[0].Instance {
					pk.Report(router.Report{Draining: true, Process: first})
					pk.Done(router.Outcome{})
					break
				}
				pk.Done(router.Outcome{})
			}
			picked := func() int {
				num := 0
				for range 100 {
					pk, err := rt.Pick("slips", true)
					Expect(err).NotTo(HaveOccurred())
					if pk.Upstream.Instance == ups[0].Instance {
						num++
					}
					pk.Done(router.Outcome{})
				}
				return num
			}
			Expect(picked()).To(BeZero())
			Expect(rt.View("slips").Upstreams).To(Equal(1))
			if first != 0 {
				ups[0].Boot++
				rt.SetUpstreams("slips", ups[1:])
			}
			rt.SetUpstreams("slips", ups)
			Expect(picked()).To(BeZero(), "its node has restarted")
			ups[0].State = router.StateDraining
			rt.SetUpstreams("slips", ups)
			ups[0].State, ups[0].Process = router.StateReady, second
			ups[0].Boot++
			rt.SetUpstreams("slips", ups)
			Expect(rt.View("slips").Upstreams).To(Equal(2))
		},
		Entry("known by its start", int64(1000), int64(2000)),
		Entry("known by its start, by a clock that was set back", int64(2000), int64(1000)),
		Entry("of unknown start, after it was seen to drain", int64(0), int64(0)),
	)
})
