package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// site is a server on an emulated network.
type site struct {
	network *emulator.Network
	client  *emulator.Host
	server  *connector.Server
}

// newSite returns one whose handler answers after the time that the query names.
func newSite(g Gomega, opts ...connector.Option) *site {
	return newSiteOf(g, func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		wait, _ := time.ParseDuration(req.URL.RawQuery)
		time.Sleep(wait)
		_, _ = io.WriteString(wr, "done")
	}, opts...)
}

// newSiteOf returns one with a handler.
func newSiteOf(g Gomega, handler http.HandlerFunc, opts ...connector.Option) *site {
	st := &site{network: emulator.New()}
	st.client = st.network.Host(clientAddr, "d")
	st.server = connector.NewServer(handler, opts...)
	ln, err := st.network.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = st.server.Serve(ln) }()
	return st
}

// dial opens a connection to the server.
func (st *site) dial(g Gomega) net.Conn {
	cn, err := st.client.Dial(context.Background(), serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	return cn
}

func (st *site) freeze() {
	st.network.Freeze([]netip.Addr{clientAddr}, []netip.Addr{serverAddr})
}

// call sends a POST whose answer takes a time, and returns the error of either header or body.
func call(rt http.RoundTripper, takes, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	req := newRequest("POST", true, "").WithContext(ctx)
	req.URL.RawQuery = takes.String()
	rsp, err := rt.RoundTrip(req)
	if err != nil {
		return err
	}
	defer rsp.Body.Close()
	_, err = io.Copy(io.Discard, rsp.Body)
	return err
}

var _ = Describe("A silent connection", func() {
	It("between peers is closed by its pings, and the next request takes a new one", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		st.freeze()
		from := time.Now()
		err := call(pp, 0, time.Minute)
		g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(time.Since(from)).To(BeNumerically("<=", connector.DefaultPingAfter+connector.DefaultPingTimeout))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
	}))

	It("between peers does not hit a slow answer on a connection that works", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		g.Expect(call(pp, 10*time.Second, time.Minute)).To(Succeed())
		g.Expect(st.client.Dials()).To(BeEquivalentTo(1))
	}))

	It("to an upstream is retired with its kin once a fresh one is answered", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client))
		up.Start()
		defer up.Stop()
		ends := make(chan error, 20)
		for range 10 {
			go func() { ends <- call(up, 100*time.Millisecond, time.Minute) }()
		}
		for range 10 {
			g.Expect(<-ends).To(Succeed())
		}
		g.Expect(up.Conns()).To(Equal(10))
		time.Sleep(3 * time.Second)
		st.freeze()
		go func() { ends <- call(up, 0, 20*time.Second) }()
		time.Sleep(connector.DefaultSilenceAfter + connector.DefaultSilenceAfter/2 + 100*time.Millisecond)
		// Only the one that the request waits on is left.
		g.Expect(up.Conns()).To(Equal(1))
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
	}))

	It("to an upstream is not seen in a slow answer, nor does that cost the other connections", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client))
		up.Start()
		defer up.Stop()
		ends := make(chan error, 1)
		go func() { ends <- call(up, 10*time.Second, time.Minute) }()
		for range 100 {
			g.Expect(call(up, 0, time.Second)).To(Succeed())
			time.Sleep(90 * time.Millisecond)
		}
		g.Expect(<-ends).To(Succeed())
		// Two connections and one probe.
		g.Expect(st.client.Dials()).To(BeEquivalentTo(3))
	}))

	It("to an upstream does not block the others, even when every place is taken by one", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client), connector.WithMaxConns(4))
		up.Start()
		defer up.Stop()
		ends := make(chan error, 4)
		for range 4 {
			go func() { ends <- call(up, time.Second, time.Minute) }()
		}
		time.Sleep(100 * time.Millisecond)
		st.freeze()
		time.Sleep(2 * connector.DefaultSilenceAfter)
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		for range 4 {
			g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		}
	}))

	It("is closed after its request when the pool stops, and later requests have not run", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client))
		up.Start()
		ends := make(chan error, 1)
		go func() { ends <- call(up, 3*time.Second, time.Minute) }()
		time.Sleep(time.Second)
		up.Stop()
		g.Expect(connector.VerdictOf(call(up, 0, time.Second))).To(Equal(gypsumhoist.VerdictNotRun))
		g.Expect(<-ends).To(Succeed())
		time.Sleep(time.Millisecond)
		g.Expect(up.Conns()).To(BeZero())
	}))

	It("of a caller gives its place free", bubble(func(g Gomega) {
		st := newSite(g, connector.WithMaxConns(2), connector.WithIdleTimeout(10*time.Second))
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithIdleTimeout(time.Hour))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client), connector.WithIdleTimeout(time.Hour))
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		st.freeze()
		other := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.network.Host(netip.MustParseAddr("10.0.0.3"), "d")))
		from := time.Now()
		g.Expect(call(other, 0, time.Minute)).To(Succeed())
		g.Expect(time.Since(from)).To(BeNumerically("<=", 10*time.Second))
		st.network.Crash(clientAddr)
		up.Stop()
	}))
})

var _ = Describe("A Server", func() {
	It("cuts off slow senders and slow readers, and nobody else", bubble(func(g Gomega) {
		st := newSite(g, connector.WithMaxConns(50))
		defer st.server.Close()
		ends := make(chan time.Duration, 3)
		for _, bytes := range []string{"GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\none"} {
			go func() { ends <- st.trickle(g, bytes) }()
		}
		for range 100 {
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client))
			g.Expect(call(up, 0, time.Second)).To(Succeed())
			up.Stop()
		}
		g.Expect(<-ends).To(BeNumerically("~", connector.DefaultReadHeaderTimeout, time.Second))
		g.Expect(<-ends).To(BeNumerically("~", connector.DefaultBodyStall, time.Second))
	}))

	It("ends a write that makes no progress", bubble(func(g Gomega) {
		ended := make(chan time.Duration, 1)
		st := newSiteOf(g, func(wr http.ResponseWriter, _ *http.Request) {
			from := time.Now()
			for {
				if _, err := wr.Write(make([]byte, 64<<10)); err != nil {
					break
				}
			}
			ended <- time.Since(from)
		})
		defer st.server.Close()
		cn := st.dial(g)
		defer cn.Close()
		_, _ = io.WriteString(cn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(<-ended).To(BeNumerically("~", connector.DefaultWriteStall, time.Second))
	}))
})

// trickle sends some bytes, no more, and returns after how long the server closes the connection.
func (st *site) trickle(g Gomega, bytes string) time.Duration {
	from := time.Now()
	cn := st.dial(g)
	defer cn.Close()
	_, _ = io.WriteString(cn, bytes)
	_, _ = io.Copy(io.Discard, net.Conn(cn))
	return time.Since(from)
}

var _ = Describe("Connections between peers", func() {
	It("cost next to nothing while nobody asks for anything", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client), connector.WithIdleTimeout(time.Hour))
		defer pp.Close()
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		time.Sleep(time.Second)
		before := st.client.Writes()
		time.Sleep(time.Minute)
		g.Expect(st.client.Writes() - before).To(BeNumerically("<=", 8))
	}))

	It("that go silent while an answer is being made fail the request in time", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		defer pp.Close()
		ends := make(chan error, 1)
		go func() { ends <- call(pp, 30*time.Second, time.Minute) }()
		time.Sleep(3500 * time.Millisecond)
		st.freeze()
		from := time.Now()
		g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(time.Since(from)).To(BeNumerically("<=", connector.DefaultPingAfter+connector.DefaultPingTimeout))
	}))

	It("that go silent are found though each request gives up early", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		defer pp.Close()
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		st.freeze()
		from := time.Now()
		for call(pp, 0, 200*time.Millisecond) != nil {
			g.Expect(time.Since(from)).To(BeNumerically("<=", 2500*time.Millisecond))
		}
	}))

	It("that nobody uses are asked too once one was silent", bubble(func(g Gomega) {
		st := newSite(g)
		defer st.server.Close()
		second := netip.MustParseAddrPort("10.0.0.4:80")
		ln, err := st.network.Host(second.Addr(), "d").Listen(second)
		g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = st.server.Serve(ln) }()
		pp := connector.NewPeerPool(connector.WithNetwork(st.client))
		defer pp.Close()
		toSecond := func(bound time.Duration) error {
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			req := newRequest("GET", false, "").WithContext(ctx)
			req.URL.Host = second.String()
			rsp, err := pp.RoundTrip(req)
			if err != nil {
				return err
			}
			return rsp.Body.Close()
		}
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		g.Expect(toSecond(time.Second)).To(Succeed())
		time.Sleep(3 * time.Second)
		st.network.Freeze([]netip.Addr{clientAddr}, []netip.Addr{serverAddr, second.Addr()})
		g.Expect(call(pp, 0, time.Minute)).NotTo(Succeed())
		time.Sleep(connector.DefaultPingTimeout + 100*time.Millisecond)
		g.Expect(toSecond(100 * time.Millisecond)).To(Succeed())
	}))
})

var _ = Describe("An upstream that neither answers nor queues a request", func() {
	It("costs that request only, as its connection is not used again", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		asked := make(chan int, 20)
		go func() {
			for number := 0; ; number++ {
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				go serveFrom(cn, number, asked)
			}
		}()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
		up.Start()
		defer up.Stop()
		from := time.Now()
		g.Expect(connector.VerdictOf(call(up, 0, 300*time.Millisecond))).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(time.Since(from)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
		for range 5 {
			g.Expect(call(up, 0, 300*time.Millisecond)).To(Succeed())
		}
		close(asked)
		onFirst := 0
		for number := range asked {
			if number == 0 {
				onFirst++
			}
		}
		g.Expect(onFirst).To(Equal(1))
	}))
})

// serveFrom answers the requests of a connection; those of the first one never.
func serveFrom(cn net.Conn, number int, asked chan<- int) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		asked <- number
		if number > 0 {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}
