package forwarder_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Guards against requests that are refused at their entry because a service further down refuses many calls though it has room: refusing
// them makes no room, and none of them is served.
var _ = Describe("a service whose upstreams refuse seven of eight calls", func() {
	// throttled sends requests for 4 s, each of which makes one call of the service, and returns how many were refused at their entry.
	throttled := func(fl *fleet, load string, reports func(gypsumhoist.Service) bool) int {
		fl.throttling = true
		var front *node
		front = fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			rs, _ := fl.nestedCall(front, "GET", "/roster/1", req.Header.Get(gypsumhoist.HeaderCall))
			if rs.StatusCode != http.StatusOK {
				wr.WriteHeader(http.StatusInternalServerError)
			}
		})
		number := 0
		refuse := func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set(gypsumhoist.HeaderLoad, load)
			if number++; number%8 != 0 {
				wr.Header().Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
				wr.WriteHeader(http.StatusServiceUnavailable)
			}
		}
		fl.add("roster-1", refuse)
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster"})
		front.options = append(front.options, forwarder.WithLoadReports(reports))
		fl.restart(front)
		key := fl.grant("kingston")
		refused := 0
		for range 200 {
			rs, text, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			if strings.Contains(text, "too few requests of the route") {
				Expect(verdict(rs)).To(Equal("not_run"))
				refused++
			}
			time.Sleep(20 * time.Millisecond)
		}
		return refused
	}
	always := func(gypsumhoist.Service) bool { return true }

	It("does not throttle requests at their entry while it reports that it has room", withFleet(func(fl *fleet) {
		Expect(throttled(fl, "running=3, waiting=0, slots=20", always)).To(BeZero())
	}))

	It("throttles them if it reports that it is full", withFleet(func(fl *fleet) {
		Expect(throttled(fl, "running=20, waiting=4, slots=20, pace_percent=100", always)).To(BeNumerically(">", 50))
	}))

	It("throttles them, as before, if it reports no load", withFleet(func(fl *fleet) {
		Expect(throttled(fl, "", nil)).To(BeNumerically(">", 50))
	}))
})

// Guards against reports that change how a refusal is judged where the settings of the calling node, or its older build, use none.
var _ = Describe("a refusal by an upstream that reports that it is full, though few of its slots are in use", func() {
	reasonWith := func(fl *fleet, reports func(gypsumhoist.Service) bool) string {
		nd := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set(gypsumhoist.HeaderLoad, "running=20, waiting=4, slots=20")
			wr.Header().Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		nd.options = append(nd.options, forwarder.WithLoadReports(reports))
		fl.restart(nd)
		rs, _, err := fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		return reason(rs)
	}

	It("is judged by the slots in use if the calling node uses no load reports", withFleet(func(fl *fleet) {
		Expect(reasonWith(fl, nil)).To(Equal(string(gypsumhoist.ReasonUpstreamRefused)))
	}))

	It("is one for overload if the calling node uses them", withFleet(func(fl *fleet) {
		Expect(reasonWith(fl, func(gypsumhoist.Service) bool { return true })).To(Equal(string(gypsumhoist.ReasonOverload)))
	}))
})
