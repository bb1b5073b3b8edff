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

var _ = Describe("nested calls of an importance of which some are refused", func() {
	It("go on to an upstream with room instead of failing their request", withFleet(func(fl *fleet) {
		token := make(chan string, 1)
		release := make(chan struct{})
		front := fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			token <- req.Header.Get(gypsumhoist.HeaderCall)
			<-release
			wr.WriteHeader(http.StatusOK)
		})
		slow := func(wr http.ResponseWriter, _ *http.Request) {
			time.Sleep(100 * time.Millisecond)
			wr.WriteHeader(http.StatusOK)
		}
		one, two := fl.add("roster-1", slow), fl.add("roster-2", slow)
		fl.add("roster-3", slow)
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Importance: 80})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster", Importance: 10, TargetLatency: 160 * time.Millisecond})
		key := fl.grant("kingston")
		var parent sync.WaitGroup
		parent.Go(func() { _, _, _ = fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, key) })
		tok := <-token

		// Twice what the upstreams can run, so that some calls are admitted and some refused.
		var calls sync.WaitGroup
		for range 6 * nodeSlots {
			calls.Go(func() { fl.nestedCall(front, "GET", "/roster/1", tok) })
		}
		calls.Wait()

		one.fw.SetLeaving(true)
		two.fw.SetLeaving(true)
		for range 5 {
			rs, text := fl.nestedCall(front, "GET", "/roster/2", tok)
			Expect(rs.StatusCode).To(Equal(http.StatusOK), text)
		}
		close(release)
		parent.Wait()
	}))
})
