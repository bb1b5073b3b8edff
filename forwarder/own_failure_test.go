package forwarder_test

import (
	"io"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// serverError answers with status 500.
func serverError(wr http.ResponseWriter, _ *http.Request) {
	wr.WriteHeader(http.StatusInternalServerError)
	_, _ = io.WriteString(wr, "out of order")
}

var _ = Describe("a server error of an upstream", func() {
	It("is retried at another upstream if the request is idempotent", withFleet(func(fl *fleet) {
		bad, good := fl.add("slips-1", serverError), fl.add("slips-2", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 2})
		key := fl.grant("kingston")
		for range 10 {
			rs, text, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
			Expect(text).To(Equal("ok"))
		}
		Expect(runs(bad)).To(BeNumerically(">", 0))
		Expect(runs(good)).To(Equal(10))
	}))

	It("is the answer if no other attempt gets one", withFleet(func(fl *fleet) {
		bad, lost := fl.add("slips-1", serverError), fl.add("slips-2", abortConnection)
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 1})
		key := fl.grant("kingston")
		fromBad := 0
		for range 10 {
			before := runs(bad)
			rs, text, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			if runs(bad) > before {
				fromBad++
				Expect(rs.StatusCode).To(Equal(500))
				Expect(text).To(Equal("out of order"))
			}
		}
		Expect(fromBad).To(BeNumerically(">", 0))
		Expect(runs(lost)).To(BeNumerically(">", 0))
	}))

	It("is the answer if the request must run at most once", withFleet(func(fl *fleet) {
		bad := []*node{fl.add("slips-1", serverError), fl.add("slips-2", serverError)}
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 5})
		key := fl.grant("kingston")
		rs, text, err := fl.call(entry, "POST", "/slips", "fee", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(500))
		Expect(text).To(Equal("out of order"))
		Expect(runs(bad...)).To(Equal(1))
	}))

	It("is retried where it began, and not further up the chain", withFleet(func(fl *fleet) {
		broken := atomic.Bool{}
		deep := func(wr http.ResponseWriter, req *http.Request) {
			if broken.Load() {
				serverError(wr, req)
			}
		}
		fees := []*node{fl.add("fees-1", serverError), fl.add("fees-2", deep)}
		var slips [2]*node
		for ix, name := range []gypsumhoist.Instance{"slips-1", "slips-2"} {
			slips[ix] = fl.add(name, func(wr http.ResponseWriter, req *http.Request) {
				if rs, _ := fl.nestedCall(slips[ix], "GET", "/fees", req.Header.Get(gypsumhoist.HeaderCall)); rs.StatusCode != http.StatusOK {
					serverError(wr, req)
				}
			})
		}
		entry := fl.add("roster-1", respond(""))
		for _, name := range []string{"slips", "fees"} {
			fl.row(registrar.Row{Workspace: "kingston", Route: "/" + name, Service: gypsumhoist.Service(name), Retries: 8})
		}
		key := fl.grant("kingston")
		for range 10 {
			rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(200))
		}
		Expect(runs(slips[:]...)).To(Equal(10))
		broken.Store(true)
		before := runs(fees...)
		rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(500))
		Expect(runs(slips[:]...)).To(Equal(11))
		Expect(runs(fees...) - before).To(Equal(2))
	}))
})
