package forwarder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var _ = Describe("a request whose caller has left", func() {
	// leave sends a request and closes its connection after a while.
	leave := func(fl *fleet, nd *node, after time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), after)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, "GET", fmt.Sprintf("http://%s:%d/slips", nd.addr, portCallers), nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(gypsumhoist.HeaderKey, fl.grant("kingston"))
		_, err = fl.client.Do(req)
		Expect(err).To(HaveOccurred())
	}
	// rows adds rows whose routes are open, so that a call needs no parent to run.
	rows := func(fl *fleet) {
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster", Open: true})
	}

	It("makes no nested calls any more, whether or not its upstream goes on with it", withFleet(func(fl *fleet) {
		var status atomic.Int32
		var front *node
		front = fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			time.Sleep(time.Second)
			rs, _ := fl.nestedCall(front, "GET", "/roster/7", req.Header.Get(gypsumhoist.HeaderCall))
			status.Store(int32(rs.StatusCode))
			Expect(rs.Header.Get(gypsumhoist.HeaderVerdict)).To(Equal(gypsumhoist.VerdictNotRun.String()))
		})
		deep := fl.add("roster-1", respond("names"))
		rows(fl)
		leave(fl, front, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		Expect(status.Load()).NotTo(BeZero())
		Expect(runs(deep)).To(BeZero())
	}))

	It("ends the nested calls that are running", withFleet(func(fl *fleet) {
		var front *node
		answered := make(chan struct{})
		front = fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			fl.nestedCall(front, "GET", "/roster/7", req.Header.Get(gypsumhoist.HeaderCall))
			close(answered)
		})
		ended := make(chan time.Time, 1)
		fl.add("roster-1", func(_ http.ResponseWriter, req *http.Request) {
			select {
			case <-req.Context().Done():
			case <-time.After(3 * time.Second):
			}
			ended <- time.Now()
		})
		rows(fl)
		leave(fl, front, 200*time.Millisecond)
		left := time.Now()
		Expect((<-ended).Sub(left)).To(BeNumerically("<", 100*time.Millisecond))
		// The fleet is stopped when the test returns, which cuts connections that still wait for an answer.
		<-answered
	}))

	It("is sent to no further upstream", withFleet(func(fl *fleet) {
		front := fl.add("entry-1", respond("entry"))
		var first atomic.Bool
		for num := range 3 {
			fl.add(gypsumhoist.Instance(fmt.Sprintf("slips-%d", num+1)), func(wr http.ResponseWriter, req *http.Request) {
				if first.CompareAndSwap(false, true) {
					time.Sleep(time.Second)
				}
				abortConnection(wr, req)
			})
		}
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 4})
		leave(fl, front, 200*time.Millisecond)
		time.Sleep(5 * time.Second)
		Expect(runs(fl.nodes...)).To(Equal(1))
	}))
})
