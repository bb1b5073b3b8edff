package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("an upstream that says in its answers that it drains", func() {
	It("gets no new request from any node that has passed that on, though its own node restarts and announces it as ready", withFleet(func(fl *fleet) {
		var leaving atomic.Bool
		old := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			if leaving.Load() {
				wr.Header().Set(gypsumhoist.HeaderDraining, "1")
			}
		})
		fl.add("slips-2", respond("ok"))
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 2 * time.Second, Retries: 2})
		key := fl.grant("kingston")
		call := func(times int) {
			for range times {
				rs, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
				Expect(err).NotTo(HaveOccurred())
				Expect(rs.StatusCode).To(Equal(200))
				Expect(rs.Header).NotTo(HaveKey(gypsumhoist.HeaderDraining))
			}
		}
		call(20)
		Expect(runs(old)).To(BeNumerically(">", 0))
		leaving.Store(true)
		before := runs(old)
		call(20)
		Expect(runs(old)).To(Equal(before + 1))
		fl.restart(old)
		call(20)
		Expect(runs(old)).To(Equal(before + 1))

		leaving.Store(false)
		old.started = old.started.Add(time.Minute)
		fl.restart(old)
		call(20)
		Expect(runs(old)).To(BeNumerically(">", before+1), "another process of the upstream")
	}))

	It("is refused by its own node to callers that have not heard of it", withFleet(func(fl *fleet) {
		nd, entry, key := fl.addSlips(func(wr http.ResponseWriter, _ *http.Request) { wr.Header().Set(gypsumhoist.HeaderDraining, "1") })
		other := fl.add("roster-2", respond(""))
		for _, from := range []*node{entry, other} {
			rs, _, err := fl.call(from, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
			Expect(rs.StatusCode).To(Equal(map[*node]int{entry: 200, other: 503}[from]))
		}
		Expect(runs(nd)).To(Equal(1))
	}))
})
