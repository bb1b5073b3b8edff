package forwarder_test

import (
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// hopRecorder records the hops that a node sends to its peers.
type hopRecorder struct {
	connector.Peers
	mu   sync.Mutex
	hops []*forwarderpb.Hop
}

// Do implements connector.Peers.
func (hr *hopRecorder) Do(req *http.Request) (*http.Response, error) {
	hop, err := forwarder.DecodeHop(req.Header.Get(forwarder.HeaderHop))
	if err != nil {
		return nil, err
	}
	hr.mu.Lock()
	hr.hops = append(hr.hops, hop)
	hr.mu.Unlock()
	return hr.Peers.Do(req)
}

// Guards against calls that are refused although earlier ones of the same request were served, and against a change of the messages
// about services that don't report their load.
var _ = Describe("the second call of an upstream", func() {
	committed := func(fl *fleet, reports func(gypsumhoist.Service) bool, paced bool) []bool {
		var front *node
		front = fl.add("slips-1", func(_ http.ResponseWriter, req *http.Request) {
			fl.nestedCall(front, "GET", "/roster/1", req.Header.Get(gypsumhoist.HeaderCall))
			fl.nestedCall(front, "GET", "/roster/2", req.Header.Get(gypsumhoist.HeaderCall))
		})
		fl.add("roster-1", respond("names"))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips"})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/roster", Service: "roster"})
		peers := connector.NewPeerPool(connector.WithNetwork(front.host))
		fl.closers = append(fl.closers, peers.Close)
		rec := &hopRecorder{Peers: peers}
		front.options = append(front.options, forwarder.WithPeers(rec), forwarder.WithLoadReports(reports))
		fl.restart(front)
		rs, _, err := fl.call(front, "GET", "/slips", "", gypsumhoist.HeaderKey, fl.grant("kingston"))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		var out []bool
		for _, hop := range rec.hops {
			out = append(out, hop.GetCommitted())
			Expect(hop.GetLoadReported()).To(Equal(paced))
		}
		return out
	}

	It("says that the first was answered, if the service reports its load", withFleet(func(fl *fleet) {
		Expect(committed(fl, func(sv gypsumhoist.Service) bool { return sv == "roster" }, true)).To(Equal([]bool{false, true}))
	}))

	It("does not say so for other services", withFleet(func(fl *fleet) {
		Expect(committed(fl, func(sv gypsumhoist.Service) bool { return sv == "slips" }, false)).To(Equal([]bool{false, false}))
	}))

	It("does not say so if nothing tells which services report their load", withFleet(func(fl *fleet) {
		Expect(committed(fl, nil, false)).To(Equal([]bool{false, false}))
	}))
})
