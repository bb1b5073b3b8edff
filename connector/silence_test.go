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

// testServer is a server on an emulated network.
type testServer struct {
	network *emulator.Network
	client  *emulator.Host
	server  *connector.Server
}

// newTestServer returns a server whose handler responds after the duration in the query.
func newTestServer(g Gomega, opts ...connector.Option) *testServer {
	return newTestServerWith(g, func(wr http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		wait, _ := time.ParseDuration(req.URL.RawQuery)
		time.Sleep(wait)
		_, _ = io.WriteString(wr, "done")
	}, opts...)
}

// newTestServerWith returns a server with the given handler.
func newTestServerWith(g Gomega, handler http.HandlerFunc, opts ...connector.Option) *testServer {
	ts := &testServer{network: emulator.New()}
	ts.client = ts.network.Host(clientAddr, "d")
	ts.server = connector.NewServer(handler, opts...)
	ln, err := ts.network.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = ts.server.Serve(ln) }()
	return ts
}

// dial opens a connection to the server.
func (ts *testServer) dial(g Gomega) net.Conn {
	cn, err := ts.client.Dial(context.Background(), serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	return cn
}

func (ts *testServer) freeze() {
	ts.network.Freeze([]netip.Addr{clientAddr}, []netip.Addr{serverAddr})
}

// call sends a POST whose response takes a given time, and returns the error of the request or of the body.
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
	It("between peers is closed after its probe, and the next request uses a new one", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		ts.freeze()
		from := time.Now()
		err := call(pp, 0, time.Minute)
		g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(time.Since(from)).To(BeNumerically("<=", connector.DefaultPingAfter+connector.DefaultPingTimeout))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
	}))

	It("between peers is not mistaken for a slow response on a working connection", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
		g.Expect(call(pp, 10*time.Second, time.Minute)).To(Succeed())
		g.Expect(ts.client.Dials()).To(BeEquivalentTo(1))
	}))

	It("to an upstream is retired, with the others, once a probe over a new one is answered", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client))
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
		ts.freeze()
		go func() { ends <- call(up, 0, 20*time.Second) }()
		time.Sleep(connector.DefaultSilenceAfter + connector.DefaultSilenceAfter/2 + 100*time.Millisecond)
		// Only the connection of the waiting request is left.
		g.Expect(up.Conns()).To(Equal(1))
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
	}))

	It("to an upstream is not mistaken for a slow response, nor are other connections closed for one", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client))
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
		g.Expect(ts.client.Dials()).To(BeEquivalentTo(3))
	}))

	It("to an upstream does not block other requests, even if silent ones take all of the connection limit", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client), connector.WithMaxConns(4))
		up.Start()
		defer up.Stop()
		ends := make(chan error, 4)
		for range 4 {
			go func() { ends <- call(up, time.Second, time.Minute) }()
		}
		time.Sleep(100 * time.Millisecond)
		ts.freeze()
		time.Sleep(2 * connector.DefaultSilenceAfter)
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		for range 4 {
			g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		}
	}))

	It("is closed after its request when the pool stops, and later requests fail as not run", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client))
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

	It("of a caller stops counting towards the connection limit", bubble(func(g Gomega) {
		ts := newTestServer(g, connector.WithMaxConns(2), connector.WithIdleTimeout(10*time.Second))
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithIdleTimeout(time.Hour))
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client), connector.WithIdleTimeout(time.Hour))
		g.Expect(call(up, 0, time.Second)).To(Succeed())
		ts.freeze()
		other := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.network.Host(netip.MustParseAddr("10.0.0.3"), "d")))
		from := time.Now()
		g.Expect(call(other, 0, time.Minute)).To(Succeed())
		g.Expect(time.Since(from)).To(BeNumerically("<=", 10*time.Second))
		ts.network.Crash(clientAddr)
		up.Stop()
	}))
})

var _ = Describe("A Server", func() {
	It("closes the connections of slow senders, and no others", bubble(func(g Gomega) {
		ts := newTestServer(g, connector.WithMaxConns(50))
		defer ts.server.Close()
		ends := make(chan time.Duration, 3)
		for _, bytes := range []string{"GET / HT", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\none"} {
			go func() { ends <- ts.timeUntilClosed(g, bytes) }()
		}
		for range 100 {
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client))
			g.Expect(call(up, 0, time.Second)).To(Succeed())
			up.Stop()
		}
		g.Expect(<-ends).To(BeNumerically("~", connector.DefaultReadHeaderTimeout, time.Second))
		g.Expect(<-ends).To(BeNumerically("~", connector.DefaultBodyStall, time.Second))
	}))

	It("aborts a write that makes no progress", bubble(func(g Gomega) {
		ended := make(chan time.Duration, 1)
		ts := newTestServerWith(g, func(wr http.ResponseWriter, _ *http.Request) {
			from := time.Now()
			for {
				if _, err := wr.Write(make([]byte, 64<<10)); err != nil {
					break
				}
			}
			ended <- time.Since(from)
		})
		defer ts.server.Close()
		cn := ts.dial(g)
		defer cn.Close()
		_, _ = io.WriteString(cn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		g.Expect(<-ended).To(BeNumerically("~", connector.DefaultWriteStall, time.Second))
	}))
})

// timeUntilClosed sends some bytes and returns after how long the server closes the connection.
func (ts *testServer) timeUntilClosed(g Gomega, bytes string) time.Duration {
	from := time.Now()
	cn := ts.dial(g)
	defer cn.Close()
	_, _ = io.WriteString(cn, bytes)
	_, _ = io.Copy(io.Discard, net.Conn(cn))
	return time.Since(from)
}

var _ = Describe("Connections between peers", func() {
	It("cost almost no traffic without requests", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client), connector.WithIdleTimeout(time.Hour))
		defer pp.Close()
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		time.Sleep(time.Second)
		before := ts.client.Writes()
		time.Sleep(time.Minute)
		g.Expect(ts.client.Writes() - before).To(BeNumerically("<=", 8))
	}))

	It("that go silent while a response is awaited fail the request in time", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
		defer pp.Close()
		ends := make(chan error, 1)
		go func() { ends <- call(pp, 30*time.Second, time.Minute) }()
		time.Sleep(3500 * time.Millisecond)
		ts.freeze()
		from := time.Now()
		g.Expect(connector.VerdictOf(<-ends)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(time.Since(from)).To(BeNumerically("<=", connector.DefaultPingAfter+connector.DefaultPingTimeout))
	}))

	It("that go silent are detected even if each request times out early", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
		defer pp.Close()
		g.Expect(call(pp, 0, time.Second)).To(Succeed())
		ts.freeze()
		from := time.Now()
		for call(pp, 0, 200*time.Millisecond) != nil {
			g.Expect(time.Since(from)).To(BeNumerically("<=", 2500*time.Millisecond))
		}
	}))

	It("without requests are probed, too, once another was silent", bubble(func(g Gomega) {
		ts := newTestServer(g)
		defer ts.server.Close()
		second := netip.MustParseAddrPort("10.0.0.4:80")
		ln, err := ts.network.Host(second.Addr(), "d").Listen(second)
		g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = ts.server.Serve(ln) }()
		pp := connector.NewPeerPool(connector.WithNetwork(ts.client))
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
		ts.network.Freeze([]netip.Addr{clientAddr}, []netip.Addr{serverAddr, second.Addr()})
		g.Expect(call(pp, 0, time.Minute)).NotTo(Succeed())
		time.Sleep(connector.DefaultPingTimeout + 100*time.Millisecond)
		g.Expect(toSecond(100 * time.Millisecond)).To(Succeed())
	}))
})

var _ = Describe("An upstream that neither answers nor queues a request", func() {
	It("fails only that request, as its connection is not reused", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		received := make(chan int, 20)
		go func() {
			for number := 0; ; number++ {
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				go serveExceptFirst(cn, number, received)
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
		close(received)
		onFirst := 0
		for number := range received {
			if number == 0 {
				onFirst++
			}
		}
		g.Expect(onFirst).To(Equal(1))
	}))
})

// serveExceptFirst answers the requests of a connection, except on connection number 0.
func serveExceptFirst(cn net.Conn, number int, received chan<- int) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		received <- number
		if number > 0 {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}
