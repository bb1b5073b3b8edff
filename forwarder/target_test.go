package forwarder_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Guards against calls of impatient requests that wait behind those of patient ones, against callers that gain precedence by a false
// deadline, and against a change of the messages about services that don't report their load.
var _ = Describe("the target of a caller's request", func() {
	// targets returns the target in each hop of a request to slips, which calls roster; nil is none.
	targets := func(fl *fleet, target time.Duration, reports bool, headers ...string) []*int64 {
		entry := fl.add("other-1", respond(""))
		var middle *node
		middle = fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			fl.nestedCall(middle, "GET", "/roster/1", req.Header.Get(gypsumhoist.HeaderCall))
		})
		fl.add("roster-1", respond("names"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", TargetLatency: target, Deadline: 2 * time.Second})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster", TargetLatency: time.Second})
		var recs []*hopRecorder
		for _, nd := range []*node{entry, middle} {
			peers := connector.NewPeerPool(connector.WithNetwork(nd.host))
			fl.closers = append(fl.closers, peers.Close)
			rec := &hopRecorder{Peers: peers}
			recs = append(recs, rec)
			nd.options = append(nd.options, forwarder.WithPeers(rec),
				forwarder.WithLoadReports(func(gypsumhoist.Service) bool { return reports }))
			fl.restart(nd)
		}
		rs, _, err := fl.call(entry, "GET", "/slips", "", append(headers, gypsumhoist.HeaderKey, fl.grant("kingston"))...)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		var out []*int64
		for _, rec := range recs {
			for _, hop := range rec.hops {
				out = append(out, hop.TargetUs)
			}
		}
		Expect(out).To(HaveLen(2))
		return out
	}

	It("is carried over the chain if the route is impatient", withFleet(func(fl *fleet) {
		for _, target := range targets(fl, 250*time.Millisecond, true) {
			Expect(target).NotTo(BeNil())
			Expect(*target).To(And(BeNumerically(">", 150_000), BeNumerically("<=", 250_000)))
		}
	}))

	It("is not carried for a patient route", withFleet(func(fl *fleet) {
		Expect(targets(fl, 1500*time.Millisecond, true)).To(HaveEach(BeNil()))
	}))

	It("is not carried if the service does not report its load", withFleet(func(fl *fleet) {
		Expect(targets(fl, 250*time.Millisecond, false)).To(HaveEach(BeNil()))
	}))

	It("is earlier by what the caller has used of its time", withFleet(func(fl *fleet) {
		target := targets(fl, 250*time.Millisecond, true, gypsumhoist.HeaderDeadline, "1900")[0]
		Expect(*target).To(And(BeNumerically(">", 100_000), BeNumerically("<=", 150_000)))
	}))

	It("has passed for a caller that says that it has used more", withFleet(func(fl *fleet) {
		Expect(targets(fl, 250*time.Millisecond, true, gypsumhoist.HeaderDeadline, "1500")).To(HaveEach(BeNil()))
	}))
})
