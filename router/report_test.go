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
