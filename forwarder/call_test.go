package forwarder_test

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// failAtDeadline answers with a failure at its request's deadline.
func failAtDeadline(wr http.ResponseWriter, req *http.Request) {
	ms, _ := strconv.Atoi(req.Header.Get(gypsumhoist.HeaderDeadline))
	time.Sleep(time.Duration(ms) * time.Millisecond)
	wr.WriteHeader(http.StatusGatewayTimeout)
	_, _ = io.WriteString(wr, "too late")
}

var _ = Describe("a call's deadline", func() {
	It("is the caller's if that is earlier than the row's", withFleet(func(fl *fleet) {
		fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		began := time.Now()
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"), gypsumhoist.HeaderDeadline, "300")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically("~", 310*time.Millisecond, 30*time.Millisecond))
	}))

	It("that passes while a request waits at another node gives the verdict not_run", withFleet(func(fl *fleet) {
		fl.network.SetDelay(domain, domain, time.Millisecond)
		fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) { <-req.Context().Done() })
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: time.Second})
		key := fl.grant("kingston")
		var full sync.WaitGroup
		for range nodeSlots {
			full.Go(func() { _, _, _ = fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key) })
		}
		time.Sleep(100 * time.Millisecond)
		rs, body, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key, gypsumhoist.HeaderDeadline, "200")
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Header.Get(gypsumhoist.HeaderVerdict)).To(Equal(gypsumhoist.VerdictNotRun.String()), body)
		full.Wait()
	}))

	It("never leaves a caller without an answer if the upstream answers at that moment", withFleet(func(fl *fleet) {
		fl.add("slips-1", failAtDeadline)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 200 * time.Millisecond})
		key := fl.grant("kingston")
		for range 20 {
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(http.StatusGatewayTimeout))
		}
	}))
})

// stallMidAnswer begins an answer in time and never completes it.
func stallMidAnswer(wr http.ResponseWriter, req *http.Request) {
	wr.Header().Set("Content-Length", "8")
	_, _ = io.WriteString(wr, "too")
	_ = http.NewResponseController(wr).Flush()
	<-req.Context().Done()
}

var _ = Describe("a short answer whose deadline passes between its head and its end", func() {
	It("becomes a complete refusal, not a broken connection", withFleet(func(fl *fleet) {
		fl.add("slips-1", stallMidAnswer)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 200 * time.Millisecond})
		rs, body, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(http.StatusGatewayTimeout), body)
		Expect(body).NotTo(HavePrefix("too"))
	}))
})

var _ = Describe("a row with a split", func() {
	It("distributes its requests by weight, even if they are few", withFleet(func(fl *fleet) {
		one, two := fl.add("rolls-1", respond("rolls")), fl.add("fees-1", respond("fees"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Split: registrar.NewSplit(
			registrar.Part{Service: "rolls", Weight: 3}, registrar.Part{Service: "fees", Weight: 1})})
		key := fl.grant("kingston")
		for range 40 {
			_, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(runs(one)).To(BeNumerically("~", 30, 1))
		Expect(runs(two)).To(BeNumerically("~", 10, 1))
	}))
})

var _ = Describe("attempts", func() {
	It("go on from a node that did not hand the call to its upstream, without a retry", withFleet(func(fl *fleet) {
		leaving := fl.add("slips-1", respond("never"))
		leaving.fw.SetLeaving(true)
		fl.add("slips-2", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		key := fl.grant("kingston")
		for range 10 {
			rs, _, err := fl.call(entry, "POST", "/slips", "fee", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(http.StatusOK))
		}
		Expect(runs(leaving)).To(BeZero())
	}))

	It("reach no more upstreams than the row's attempts, whatever the retries", withFleet(func(fl *fleet) {
		bad := []*node{fl.add("slips-1", abortConnection), fl.add("slips-2", abortConnection), fl.add("slips-3", abortConnection), fl.add("slips-4", abortConnection)}
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 5, Attempts: 2})
		_, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(runs(bad...)).To(Equal(2))
	}))

	It("do not count a retry that the row's attempts do not allow", withFleet(func(fl *fleet) {
		fl.add("slips-1", abortConnection)
		fl.add("slips-2", abortConnection)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 5, Attempts: 1})
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		synctest.Wait() // the record is kept after the answer
		rcs := entry.records.Find(gypsumhoist.RequestID(rs.Header.Get(gypsumhoist.HeaderRequest)))
		Expect(rcs).To(HaveLen(1))
		for _, rc := range rcs {
			for _, st := range rc.Steps {
				Expect(st.Component).NotTo(Equal("retrier"), st.Decision)
			}
		}
	}))
})

var _ = Describe("an old table", func() {
	It("does not say that a key or a row is unknown", withFleet(func(fl *fleet) {
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		known := fl.grant("kingston")
		fl.withdrawAll()
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, known)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(http.StatusUnauthorized))
		time.Sleep(3 * time.Second)
		for _, pairs := range [][]string{{gypsumhoist.HeaderKey, known}, {}} {
			rs, _, err := fl.call(entry, "GET", "/slips", "", pairs...)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(rs.Header.Get(gypsumhoist.HeaderReason)).To(BeEquivalentTo(gypsumhoist.ReasonTableStale))
		}
	}))
})

var _ = DescribeTable("the importance of a workspace takes precedence, and that of routes decides among similar ones",
	func(ws, route, otherWS, otherRoute gypsumhoist.Importance) {
		Expect(forwarder.CombinedImportance(ws, route)).To(BeNumerically(">", forwarder.CombinedImportance(otherWS, otherRoute)))
	},
	Entry("routes of one workspace", gypsumhoist.Importance(80), gypsumhoist.Importance(90), gypsumhoist.Importance(80), gypsumhoist.Importance(70)),
	Entry("workspaces ten apart", gypsumhoist.Importance(80), gypsumhoist.Importance(0), gypsumhoist.Importance(70), gypsumhoist.Importance(100)),
)

var _ = Describe("the feedback of a complete answer", func() {
	It("is the one in its header, as no trailer follows", func() {
		head := &forwarderpb.Feedback{Budget: 2, InFlight: 3, Limit: 4, CutOff: 50, ChildRefused: true}
		Expect(forwarder.LastFeedback(&http.Response{}, head)).To(BeIdenticalTo(head))
		Expect(forwarder.LastFeedback(&http.Response{Trailer: http.Header{forwarder.HeaderFeedback: nil}}, head)).To(BeIdenticalTo(head))
	})
})
