package connector_test

import (
	"context"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
)

// reportRecorder records the reports of a pool to its PathMonitor, repeated ones once.
type reportRecorder struct {
	mu      sync.Mutex
	bound   time.Duration
	reports []string
}

func (rp *reportRecorder) record(text string) {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	if len(rp.reports) == 0 || rp.reports[len(rp.reports)-1] != text {
		rp.reports = append(rp.reports, text)
	}
}

func (rp *reportRecorder) all() []string {
	rp.mu.Lock()
	defer rp.mu.Unlock()
	return append([]string(nil), rp.reports...)
}

func (rp *reportRecorder) ConnectBound(netip.AddrPort) time.Duration { return rp.bound }
func (rp *reportRecorder) AnswerBound(netip.AddrPort) time.Duration  { return rp.bound }
func (rp *reportRecorder) Connected(netip.AddrPort, time.Duration)   { rp.record("connected") }
func (rp *reportRecorder) Answered(netip.AddrPort, time.Duration)    { rp.record("answered") }
func (rp *reportRecorder) Heard(netip.AddrPort)                      { rp.record("heard") }
func (rp *reportRecorder) Refused(netip.AddrPort)                    { rp.record("refused") }
func (rp *reportRecorder) TimedOut(netip.AddrPort, time.Time)        { rp.record("timed out") }
func (rp *reportRecorder) Silent(netip.AddrPort, time.Time)          { rp.record("silent") }

var _ = Describe("The network path to another instance", func() {
	client, server := []netip.Addr{clientAddr}, []netip.Addr{serverAddr}

	It("is reported as timed out after two dials if it is cut, and the request as not run", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		rp := &reportRecorder{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithPathMonitor(rp))
		ts.network.CutBoth(client, server)
		from := time.Now()
		g.Expect(connector.VerdictOf(call(pp, 0, time.Minute))).To(Equal(gypsumhoist.VerdictNotRun))
		g.Expect(time.Since(from)).To(Equal(200 * time.Millisecond))
		g.Expect(rp.all()).To(Equal([]string{"timed out"}))
		g.Expect(ts.client.Dials()).To(BeEquivalentTo(2))
	}))

	It("tolerates one lost SYN packet", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		rp := &reportRecorder{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithPathMonitor(rp))
		ts.network.CutBoth(client, server)
		time.AfterFunc(90*time.Millisecond, func() { ts.network.HealBoth(client, server) })
		g.Expect(call(pp, 0, time.Minute)).To(Succeed())
		g.Expect(rp.all()).To(Equal([]string{"connected", "heard"}))
	}))

	It("is reported as silent long before the open connection is closed", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		rp := &reportRecorder{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithPathMonitor(rp))
		for range 20 {
			g.Expect(call(pp, 20*time.Millisecond, time.Minute)).To(Succeed())
		}
		ends := make(chan error, 1)
		ts.network.CutBoth(client, server)
		go func() { ends <- call(pp, 20*time.Millisecond, time.Minute) }()
		time.Sleep(350 * time.Millisecond)
		g.Expect(rp.all()).To(HaveExactElements("connected", "heard", "silent"))
		g.Expect(ends).NotTo(Receive())
		ts.network.HealBoth(client, server)
		// An instance that was only silent continues with its requests.
		g.Expect(<-ends).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(rp.all()).To(HaveExactElements("connected", "heard", "silent", "heard", "answered", "heard"))
	}))

	It("is not reported as silent while a response takes long", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		rp := &reportRecorder{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithPathMonitor(rp))
		g.Expect(call(pp, 10*time.Second, time.Minute)).To(Succeed())
		g.Expect(rp.all()).NotTo(ContainElement("silent"))
	}))

	It("is probed over a new connection", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		ts.freeze()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(pp.Probe(ctx, serverPort)).To(Succeed())
		g.Expect(ts.client.Dials()).To(BeEquivalentTo(2))
		ts.network.CutBoth(client, server)
		g.Expect(pp.Probe(ctx, serverPort)).NotTo(Succeed())
	}))
})
