package forwarder_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("an upstream that reports its load", func() {
	It("is known to report its pace at the nodes that call it, until 10 s after its last report", withFleet(func(fl *fleet) {
		report := ""
		nd := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			if report != "" {
				wr.Header().Set(gypsumhoist.HeaderLoad, report)
			}
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 2 * time.Second})
		key := fl.grant("kingston")
		send := func(from *node, reported string) http.Header {
			report = reported
			rs, _, err := fl.call(from, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(http.StatusOK))
			return rs.Header
		}
		for _, other := range []string{"", "running=1, waiting=2, slots=3", "slots=0, pace_percent=100", "fast"} {
			send(entry, other)
			Expect(entry.rt.ReportsPace("slips")).To(BeFalse(), other)
		}
		Expect(send(entry, "running=1, waiting=0, slots=20, pace_percent=100")).NotTo(HaveKey(gypsumhoist.HeaderLoad))
		Expect(entry.rt.ReportsPace("slips")).To(BeTrue())
		Expect(nd.rt.ReportsPace("slips")).To(BeFalse(), "its own node has not called it")
		time.Sleep(6 * time.Second)
		send(nd, "")
		Expect(nd.rt.ReportsPace("slips")).To(BeTrue(), "its node keeps the last report")
		send(entry, "")
		time.Sleep(3900 * time.Millisecond)
		Expect(entry.rt.ReportsPace("slips")).To(BeTrue())
		time.Sleep(200 * time.Millisecond)
		send(entry, "")
		send(nd, "")
		Expect(entry.rt.ReportsPace("slips")).To(BeFalse(), "passing a report on does not make it younger")
		Expect(nd.rt.ReportsPace("slips")).To(BeFalse())
	}))
})
