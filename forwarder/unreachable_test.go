package forwarder_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("an unreachable upstream", func() {
	It("costs a request neither its retry budget nor its only attempt", withFleet(func(fl *fleet) {
		one, two := fl.add("orders-1", respond("ok")), fl.add("orders-2", respond("ok"))
		entry := fl.add("entry-1", respond("entry"))
		fl.row(registrar.Row{Workspace: "cooperative", Route: "/orders", Service: "orders", Retries: 0, RetryPercent: 0})
		key := fl.grant("cooperative")
		fl.network.CutBoth([]netip.Addr{entry.addr}, []netip.Addr{one.addr})
		for range 10 {
			from := time.Now()
			rs, text, err := fl.call(entry, "POST", "/orders", "body", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
			Expect(text).To(Equal("ok"))
			Expect(time.Since(from)).To(BeNumerically("<=", 2*time.Second+100*time.Millisecond))
		}
		Expect(runs(one)).To(BeZero())
		Expect(runs(two)).To(Equal(10))
	}))
})
