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

// endless is an upstream that answers its first request with bytes that never end, and all later ones whole.
type endless struct {
	network *emulator.Network
	client  *emulator.Host
	port    net.Listener
	wrote   atomic.Int64
	asked   atomic.Int64
}

func newEndless(g Gomega, head, part string, pause time.Duration) *endless {
	en := &endless{network: emulator.New()}
	en.client = en.network.Host(clientAddr, "d")
	ln, err := en.network.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	en.port = ln
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go en.serve(cn, head, part, pause)
		}
	}()
	return en
}

func (en *endless) serve(cn net.Conn, head, part string, pause time.Duration) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		if _, err := http.ReadRequest(rd); err != nil {
			return
		}
		if en.asked.Add(1) > 1 {
			_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			continue
		}
		_, err := io.WriteString(cn, head)
		for err == nil {
			time.Sleep(pause)
			if _, err = io.WriteString(cn, part); err == nil {
				en.wrote.Add(int64(len(part)))
			}
		}
		return
	}
}

var _ = Describe("Bytes without end from an upstream", func() {
	const bound = 5 * time.Second
	for name, bytes := range map[string]struct {
		head, part string
		pause      time.Duration
	}{
		"in a head":                  {"HTTP/1.1 200 OK\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in one line of a head":      {"HTTP/1.1 200 OK\r\nX-More: ", strings.Repeat("a", 1000), time.Millisecond},
		"in a status line":           {"HTTP/1.1 200 ", strings.Repeat("a", 1000), time.Millisecond},
		"as interim answers":         {"", "HTTP/1.1 103 Early Hints\r\n\r\n", time.Millisecond},
		"in a head, byte by byte":    {"HTTP/1.1 200 OK\r\nX-More: ", "a", 100 * time.Millisecond},
		"in the size of a chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", 1000), time.Millisecond},
		"in a chunk's extensions":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("a", 1000), time.Millisecond},
		"in trailers":                {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: " + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in a body, read by nobody":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + strings.Repeat("a", 1000) + "\r\n", time.Millisecond},
		"in a body without a length": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 1000), time.Millisecond},
	} {
		It(name+" cost its request only, and bounded time and memory", bubble(func(g Gomega) {
			en := newEndless(g, bytes.head, bytes.part, bytes.pause)
			defer en.port.Close()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(en.client))
			up.Start()
			defer up.Stop()
			from := time.Now()
			err := en.call(up, bound)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(from)).To(BeNumerically("<=", bound+100*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			wrote := en.wrote.Load()
			time.Sleep(time.Second)
			g.Expect(en.wrote.Load()).To(Equal(wrote), "it can still send")
			g.Expect(en.call(up, bound)).To(Succeed())
		}))
	}

	It("are not said to have not run", bubble(func(g Gomega) {
		en := newEndless(g, "HTTP/1.1 200 OK\r\n", "X-More: "+strings.Repeat("a", 1000)+"\r\n", time.Millisecond)
		defer en.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(en.client))
		up.Start()
		defer up.Stop()
		g.Expect(connector.VerdictOf(en.call(up, bound))).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(en.wrote.Load()).To(BeNumerically("<=", 2*connector.DefaultMaxHeaderBytes))
	}))
})

// call asks for an answer and reads it to its end, in pieces.
func (en *endless) call(rt http.RoundTripper, bound time.Duration) error {
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

var _ = Describe("Bytes without end from a caller", func() {
	for name, part := range map[string]string{
		"in a head":             "X-More: " + strings.Repeat("a", 1000) + "\r\n",
		"in one line of a head": strings.Repeat("a", 1000),
	} {
		It(name+" are cut off, and the next caller is served", bubble(func(g Gomega) {
			st := newSite(g)
			defer st.server.Close()
			cn := st.dial(g)
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
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(st.client))
			defer up.Stop()
			g.Expect(call(up, 0, time.Second)).To(Succeed())
		}))
	}
})
