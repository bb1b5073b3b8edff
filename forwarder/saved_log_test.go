package forwarder_test

import (
	"net/http"
	"strings"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// explanation returns the explanation of an answer's request from the saved log lines of all nodes.
func explanation(fl *fleet, rs *http.Response) string {
	GinkgoHelper()
	synctest.Wait() // the lines are written after the answer
	id := gypsumhoist.RequestID(rs.Header.Get(gypsumhoist.HeaderRequest))
	rcs, err := explainer.ReadLog(strings.NewReader(fl.logs.String()), id)
	Expect(err).NotTo(HaveOccurred())
	var out strings.Builder
	Expect(explainer.WriteText(&out, explainer.Explanation{Request: id, Records: rcs})).To(Succeed())
	return out.String()
}

// The three examples in docs/OPERATIONS.md of finding the cause of a failed request.
var _ = Describe("saved logs alone", func() {
	It("show that a request was refused for too old a table, and its age", withFleet(func(fl *fleet) {
		fl.logs = &safeBuffer{}
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", CutOff: registrar.CutOffRefuse})
		key := fl.grant("kingston")
		time.Sleep(registrar.CutOffLease + time.Second)
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		text := explanation(fl, rs)
		Expect(text).To(ContainSubstring("roster-1 (entry)"))
		Expect(text).To(MatchRegexp(`registrar +table_age 6`))
		Expect(text).To(MatchRegexp(`end +not_run 503 +table_stale`))
	}))

	It("show that a request was refused early for overload, and its row", withFleet(func(fl *fleet) {
		fl.logs = &safeBuffer{}
		fl.throttling = true
		fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			wr.Header().Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		for range 60 {
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			if text := explanation(fl, rs); strings.Contains(text, "throttler") {
				Expect(text).To(ContainSubstring("row kingston /slips number 1"))
				Expect(text).To(MatchRegexp(`throttler +refused early`))
				Expect(text).To(MatchRegexp(`end +not_run 503 +overload`))
				return
			}
		}
		Fail("no request was refused early")
	}))

	It("show that a request may have run, where it was sent and what broke", withFleet(func(fl *fleet) {
		fl.logs = &safeBuffer{}
		fl.add("slips-1", abortConnection)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		rs, _, err := fl.call(entry, "POST", "/slips", "fee", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		text := explanation(fl, rs)
		Expect(text).To(MatchRegexp(`router +picked slips-1`))
		Expect(text).To(ContainSubstring("slips-1 (hop)"))
		Expect(text).To(MatchRegexp(`connector +failed`))
		Expect(text).To(MatchRegexp(`end +may_have_run \d* *connection`))
	}))
})
