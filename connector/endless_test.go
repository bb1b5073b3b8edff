package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// endlessUpstream is an upstream that responds to its first request with endless bytes, and to all later ones normally.
type endlessUpstream struct {
	network  *emulator.Network
	client   *emulator.Host
	port     net.Listener
	written  atomic.Int64
	requests atomic.Int64
}

func newEndlessUpstream(g Gomega, head, part string, pause time.Duration) *endlessUpstream {
	eu := &endlessUpstream{network: emulator.New()}
	eu.client = eu.network.Host(clientAddr, "d")
	ln, err := eu.network.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	eu.port = ln
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go eu.serve(cn, head, part, pause)
		}
	}()
	return eu
}

func (eu *endlessUpstream) serve(cn net.Conn, head, part string, pause time.Duration) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		if _, err := http.ReadRequest(rd); err != nil {
			return
		}
		if eu.requests.Add(1) > 1 {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			continue
		}
		_, err := io.WriteString(cn, head)
		for err == nil {
			time.Sleep(pause)
			if _, err = io.WriteString(cn, part); err == nil {
				eu.written.Add(int64(len(part)))
			}
		}
		return
	}
}

var _ = Describe("Endless bytes from an upstream", func() {
	const bound = 5 * time.Second
	for name, bytes := range map[string]struct {
		head, part string
		pause      time.Duration
	}{
		"in a head":                  {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in one line of a head":      {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("a", 1000), time.Millisecond},
		"in a status line":           {"HTTP/1.1 200 ", strings.Repeat("a", 1000), time.Millisecond},
		"as interim responses":       {"", "HTTP/1.1 103 Early Hints\r\n\r\n", time.Millisecond},
		"in a head, byte by byte":    {"HTTP/1.1 200 OK\r\nX-More: ", "a", 100 * time.Millisecond},
		"in the size of a chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000), time.Millisecond},
		"in a chunk's extensions":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 1000), time.Millisecond},
		"in trailers":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in a chunked body":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in a body without a length": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 1000), time.Millisecond},
	} {
		It(name+" fail only that request, within bounded time and memory", bubble(func(g Gomega) {
			eu := newEndlessUpstream(g, bytes.head, bytes.part, bytes.pause)
			defer eu.port.Close()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(eu.client))
			up.Start()
			defer up.Stop()
			from := time.Now()
			err := eu.call(up, bound)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(from)).To(BeNumerically("<=", bound+100*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			wrote := eu.written.Load()
			time.Sleep(time.Second)
			g.Expect(eu.written.Load()).To(Equal(wrote), "the upstream can still send")
			g.Expect(eu.call(up, bound)).To(Succeed())
		}))
	}

	It("leave open whether the request has run", bubble(func(g Gomega) {
		eu := newEndlessUpstream(g, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("a", 1000)+"\r\n", time.Millisecond)
		defer eu.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(eu.client))
		up.Start()
		defer up.Stop()
		g.Expect(connector.VerdictOf(eu.call(up, bound))).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(eu.written.Load()).To(BeNumerically("<=", 2*connector.DefaultMaxHeaderBytes))
	}))
})

// call sends a request and reads the response to its end, 1 KB at a time.
func (eu *endlessUpstream) call(rt http.RoundTripper, bound time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	rsp, err := rt.RoundTrip(newRequest("GET", false, "").WithContext(ctx))
	if err != nil {
		return err
	}
	defer rsp.Body.Close()
	_, err = io.CopyBuffer(io.Discard, rsp.Body, make([]byte, 1024))
	return err
}

var _ = Describe("Endless bytes from a caller", func() {
	for name, part := range map[string]string{
		"in a head":             "X-More: " + strings.Repeat("a", 1000) + "\r\n",
		"in one line of a head": strings.Repeat("a", 1000),
	} {
		It(name+" are rejected, and the next caller is served", bubble(func(g Gomega) {
			ts := newTestServer(g)
			defer ts.server.Close()
			cn := ts.dial(g)
			defer cn.Close()
			_, err := io.WriteString(cn, "GET / HTTP/1.1\r\nHost: a\r\n")
			go func() { _, _ = io.Copy(io.Discard, cn) }()
			wrote := 0
			for err == nil && wrote < 1<<20 {
				_, err = io.WriteString(cn, part)
				wrote += len(part)
				time.Sleep(time.Millisecond)
			}
			g.Expect(err).To(HaveOccurred())
			g.Expect(wrote).To(BeNumerically("<=", 1<<20-1))
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ts.client))
			defer up.Stop()
			g.Expect(call(up, 0, time.Second)).To(Succeed())
		}))
	}
})
