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

// paths notes what a pool tells of its ways.
type paths struct {
	mu    sync.Mutex
	bound time.Duration
	told  []string
}

func (pa *paths) note(text string) {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if len(pa.told) == 0 || pa.told[len(pa.told)-1] != text {
		pa.told = append(pa.told, text)
	}
}

func (pa *paths) all() []string {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return append([]string(nil), pa.told...)
}

func (pa *paths) ConnectBound(netip.AddrPort) time.Duration { return pa.bound }
func (pa *paths) AnswerBound(netip.AddrPort) time.Duration  { return pa.bound }
func (pa *paths) Connected(netip.AddrPort, time.Duration)   { pa.note("connected") }
func (pa *paths) Answered(netip.AddrPort, time.Duration)    { pa.note("answered") }
func (pa *paths) Heard(netip.AddrPort)                      { pa.note("heard") }
func (pa *paths) Refused(netip.AddrPort)                    { pa.note("refused") }
func (pa *paths) TimedOut(netip.AddrPort, time.Time)        { pa.note("timed out") }
func (pa *paths) Silent(netip.AddrPort, time.Time)          { pa.note("silent") }

var _ = Describe("the way to another instance", func() {
	client, server := []netip.Addr{clientAddr}, []netip.Addr{serverAddr}

	It("that is cut is known after twice the usual time, as not run", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pa := &paths{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithPaths(pa))
		st.network.CutBoth(client, server)
		from := time.Now()
		g.Expect(connector.VerdictOf(call(pp, 0, time.Minute))).To(Equal(gypsumhoist.VerdictNotRun))
		g.Expect(time.Since(from)).To(Equal(200 * time.Millisecond))
		g.Expect(pa.all()).To(Equal([]string{"timed out"}))
		g.Expect(st.client.Dials()).To(BeEquivalentTo(2))
	}))

	It("stands one lost opening packet", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pa := &paths{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithPaths(pa))
		st.network.CutBoth(client, server)
		time.AfterFunc(90*time.Millisecond, func() { st.network.HealBoth(client, server) })
		g.Expect(call(pp, 0, time.Minute)).To(Succeed())
		g.Expect(pa.all()).To(Equal([]string{"connected", "heard"}))
	}))

	It("over an open connection counts as silent long before the connection is given up", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pa := &paths{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithPaths(pa))
		for range 20 {
			g.Expect(call(pp, 20*time.Millisecond, time.Minute)).To(Succeed())
		}
		ends := make(chan error, 1)
		st.network.CutBoth(client, server)
		go func() { ends <- call(pp, 20*time.Millisecond, time.Minute) }()
		time.Sleep(350 * time.Millisecond)
		g.Expect(pa.all()).To(HaveExactElements("connected", "heard", "silent"))
		g.Expect(ends).NotTo(Receive())
		st.network.HealBoth(client, server)
		// A machine that was only silent goes on with what it runs.
		g.Expect(<-ends).To(Succeed())
		time.Sleep(time.Second)
		g.Expect(pa.all()).To(HaveExactElements("connected", "heard", "silent", "heard", "answered", "heard"))
	}))

	It("is not called silent for an answer that takes long", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pa := &paths{bound: 100 * time.Millisecond}
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithPaths(pa))
		g.Expect(call(pp, 10*time.Second, time.Minute)).To(Succeed())
		g.Expect(pa.all()).NotTo(ContainElement("silent"))
	}))

	It("is probed over a fresh connection", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		st.freeze()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		g.Expect(pp.Probe(ctx, serverPort)).To(Succeed())
		g.Expect(st.client.Dials()).To(BeEquivalentTo(2))
		st.network.CutBoth(client, server)
		g.Expect(pp.Probe(ctx, serverPort)).NotTo(Succeed())
	}))
})
