package forwarder_test

import (
	"net/http"
	"strings"
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

	// Guards against the size of responses without a length being taken for zero, so that large ones would leave the domain first.
	It("lets the nodes that call it learn the size of its responses, also of those without a length", withFleet(func(fl *fleet) {
		reports := false
		nd := fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			if reports {
				wr.Header().Set(gypsumhoist.HeaderLoad, "running=1, waiting=0, slots=20, pace_percent=100")
			}
			if strings.HasPrefix(req.URL.Path, "/slips/chunked") {
				_ = http.NewResponseController(wr).Flush()
			}
			_, _ = wr.Write(make([]byte, 100_000))
		})
		entry := fl.add("roster-1", respond(""))
		routes := []string{"/slips/chunked", "/slips/sized"}
		for _, route := range routes {
			fl.row(registrar.Row{Workspace: "kingston", Route: route, Service: "slips", Deadline: 2 * time.Second})
		}
		key := fl.grant("kingston")
		for _, from := range []*node{entry, nd} {
			for _, route := range routes {
				reports = false
				for range 2 {
					_, body, err := fl.call(from, "GET", route, "", gypsumhoist.HeaderKey, key)
					Expect(err).NotTo(HaveOccurred())
					Expect(body).To(HaveLen(100_000))
					if !reports && route == routes[0] {
						Expect(from.fw.ExpectedBytes(route)).To(BeZero(), "the service reports no pace")
					}
					reports = true
				}
				Expect(from.fw.ExpectedBytes(route)).To(Equal(100_000), route)
			}
			time.Sleep(11 * time.Second)
		}
	}))
})
