package forwarder_test

import (
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("a node", func() {
	It("refuses with table_stale, not bad_key, while it has no table", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("never"))
		rs, _, err := fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, "ghk_any")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(reason(rs)).To(Equal("table_stale"))
		Expect(verdict(rs)).To(Equal("not_run"))
	}))

	It("refuses rows with cut_off=refuse under an old table, and serves the others", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("ok"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/fees", Service: "slips", CutOff: registrar.CutOffRefuse})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		time.Sleep(registrar.CutOffLease - time.Second)
		rs, _, err := fl.call(nd, "GET", "/fees", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		time.Sleep(2 * time.Second)
		rs, _, err = fl.call(nd, "GET", "/fees", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(reason(rs)).To(Equal("table_stale"))
		Expect(verdict(rs)).To(Equal("not_run"))
		rs, _, err = fl.call(nd, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(runs(nd)).To(Equal(2))
	}))

	It("refuses a truncated body", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", respond("never"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		req := nd.request("POST", fl.grant("kingston"), strings.NewReader("half"), 8)
		_, _, err := fl.do(req)
		Expect(err).To(HaveOccurred())
		time.Sleep(time.Second)
		Expect(runs(nd)).To(BeZero())
	}))

	DescribeTable("refuses a call of another node as not_run",
		func(change func(fl *fleet, nd *node, hop *forwarderpb.Hop), why gypsumhoist.Reason) {
			withFleet(func(fl *fleet) {
				nd, _, _ := fl.addSlips(respond("never"))
				hop := &forwarderpb.Hop{
					Target: string(nd.name), Request: "r", Workspace: "kingston", Route: "/slips", DeadlineUs: time.Second.Microseconds(),
				}
				change(fl, nd, hop)
				req := nd.request("POST", "", strings.NewReader("fee"), 3)
				req.URL.Host = strings.Replace(req.URL.Host, ":7400", ":7402", 1)
				req.Host = req.URL.Host
				req.Header.Set(forwarder.HeaderHop, encodeMessage(hop))
				rs, _, err := fl.do(req)
				Expect(err).NotTo(HaveOccurred())
				fb, err := forwarder.DecodeFeedback(rs.Header.Get(forwarder.HeaderFeedback))
				Expect(err).NotTo(HaveOccurred())
				Expect(fb.GetRefused()).To(BeTrue())
				Expect(gypsumhoist.Verdict(fb.GetVerdict())).To(Equal(gypsumhoist.VerdictNotRun))
				Expect(fb.GetReason()).To(Equal(string(why)))
				Expect(runs(nd)).To(BeZero())
			})()
		},
		Entry("that is meant for another instance", func(_ *fleet, _ *node, hop *forwarderpb.Hop) { hop.Target = "slips-9" }, gypsumhoist.ReasonNoUpstream),
		Entry("without an upstream", func(_ *fleet, nd *node, _ *forwarderpb.Hop) { nd.fw.SetUpstream(nd.upstreamAddr(), time.Time{}, nil) }, gypsumhoist.ReasonNoUpstream),
		Entry("while the upstream leaves", func(_ *fleet, nd *node, _ *forwarderpb.Hop) { nd.fw.SetLeaving(true) }, gypsumhoist.ReasonLeaving),
		Entry("at the end of a stop", func(_ *fleet, nd *node, _ *forwarderpb.Hop) { nd.fw.RefuseHops() }, gypsumhoist.ReasonLeaving),
		Entry("under a key that it does not know", func(_ *fleet, _ *node, hop *forwarderpb.Hop) { hop.KeyId = "0123" }, gypsumhoist.ReasonTableStale),
		Entry("that has no time left", func(_ *fleet, _ *node, hop *forwarderpb.Hop) { hop.DeadlineUs = 0 }, gypsumhoist.ReasonDeadline),
	)

	It("does not trust the verdict not_run of an upstream that made a nested call", withFleet(func(fl *fleet) {
		var front *node
		front = fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			rs, _ := fl.nestedCall(front, "GET", "/roster", req.Header.Get(gypsumhoist.HeaderCall))
			wr.Header().Set(gypsumhoist.HeaderVerdict, rs.Header.Get(gypsumhoist.HeaderVerdict))
			wr.WriteHeader(http.StatusServiceUnavailable)
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "nobody"})
		rs, _, err := fl.call(front, "POST", "/slips", "fee", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(503))
		Expect(verdict(rs)).NotTo(Equal("not_run"))
		Expect(runs(front)).To(Equal(1))
	}))
})
