package forwarder_test

import (
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("A call that finds all slots taken", func() {
	const target = 500 * time.Millisecond

	// wait fills the slots of the only upstream for a time and returns how one more call ends, and when.
	wait := func(fl *fleet, busy time.Duration) (status int, took time.Duration) {
		node := fl.add("roster-1", func(wr http.ResponseWriter, req *http.Request) {
			if req.URL.Path == "/roster/long" {
				time.Sleep(busy)
			}
			wr.WriteHeader(http.StatusOK)
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster", Importance: 50, TargetLatency: target})
		key := fl.grant("kingston")
		var full sync.WaitGroup
		for range slotsOfNode {
			full.Go(func() { _, _, _ = fl.call(node, "GET", "/roster/long", "", gypsumhoist.HeaderKey, key) })
		}
		time.Sleep(time.Millisecond)
		from := time.Now()
		rs, _, err := fl.call(node, "GET", "/roster/short", "", gypsumhoist.HeaderKey, key)
		took = time.Since(from)
		Expect(err).NotTo(HaveOccurred())
		full.Wait()
		return rs.StatusCode, took
	}

	It("waits for one that comes free while it can still be on time", inFleet(func(fl *fleet) {
		status, took := wait(fl, 2*target/5)
		Expect(status).To(Equal(http.StatusOK))
		Expect(took).To(BeNumerically("<=", target))
	}))

	It("is told so while its caller has half of its time left", inFleet(func(fl *fleet) {
		status, took := wait(fl, 2*target)
		Expect(status).NotTo(Equal(http.StatusOK))
		Expect(took).To(BeNumerically("<=", target/2+50*time.Millisecond))
	}))
})
