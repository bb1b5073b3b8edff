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
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// newRequest returns a request in one of the forms that net/http might replay.
func newRequest(method string, body bool, header string) *http.Request {
	var rd io.Reader
	if body {
		rd = strings.NewReader("one crate")
	}
	req, err := http.NewRequest(method, "http://"+serverPort.String()+"/orders", rd)
	if err != nil {
		panic(err)
	}
	if header != "" {
		req.Header.Set(header, "k1")
	}
	return req
}

// closingServer answers the first request of each connection and closes the connection after reading the second.
type closingServer struct{ received atomic.Int64 }

func (cs *closingServer) serve(ln net.Listener) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go cs.serveConn(cn)
	}
}

func (cs *closingServer) serveConn(cn net.Conn) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/orders" {
			cs.received.Add(1)
		}
		if !first {
			return
		}
		_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// resettingServer ends each HTTP/2 stream in a given way once it has received the header.
type resettingServer struct {
	received atomic.Int64
	reset    func(fr *http2.Framer, stream uint32)
}

func (rs *resettingServer) serve(ln net.Listener) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go rs.serveConn(cn)
	}
}

func (rs *resettingServer) serveConn(cn net.Conn) {
	defer cn.Close()
	if _, err := io.ReadFull(cn, make([]byte, len(http2.ClientPreface))); err != nil {
		return
	}
	fr := http2.NewFramer(cn, cn)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	_ = fr.WriteSettings()
	for {
		got, err := fr.ReadFrame()
		if err != nil {
			return
		}
		if hd, ok := got.(*http2.MetaHeadersFrame); ok {
			rs.received.Add(1)
			rs.reset(fr, hd.StreamID)
		}
	}
}

var _ = Describe("A pool", func() {
	DescribeTable("never sends an HTTP/1.1 request again that may have reached the upstream",
		func(method string, body bool, header string) {
			bubble(func(g Gomega) {
				nw := emulator.New()
				ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
				g.Expect(err).NotTo(HaveOccurred())
				sv := &closingServer{}
				go sv.serve(ln)
				up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
				warm := newRequest("GET", false, "")
				warm.URL.Path = "/warm"
				rsp, err := up.RoundTrip(warm)
				g.Expect(err).NotTo(HaveOccurred())
				_, _ = io.Copy(io.Discard, rsp.Body)
				_ = rsp.Body.Close()
				time.Sleep(time.Millisecond)
				_, err = up.RoundTrip(newRequest(method, body, header))
				g.Expect(err).To(HaveOccurred())
				g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
				g.Expect(sv.received.Load()).To(BeEquivalentTo(1))
				_ = ln.Close()
				up.Stop()
			})()
		},
		Entry("GET", "GET", false, ""),
		Entry("GET with a key", "GET", false, "Idempotency-Key"),
		Entry("HEAD", "HEAD", false, ""),
		Entry("OPTIONS", "OPTIONS", false, ""),
		Entry("DELETE with a key", "DELETE", false, "Idempotency-Key"),
		Entry("POST", "POST", false, ""),
		Entry("POST with a key", "POST", false, "Idempotency-Key"),
		Entry("POST with the other key", "POST", false, "X-Idempotency-Key"),
		Entry("POST with a body and a key", "POST", true, "Idempotency-Key"),
		Entry("PUT with a body", "PUT", true, ""),
		Entry("GET with a body", "GET", true, ""),
	)

	It("refuses TRACE, which net/http may replay in every form", func() {
		req := newRequest("TRACE", false, "")
		for _, rt := range []http.RoundTripper{connector.NewUpstreamPool(serverPort), connector.NewPeerPool()} {
			_, err := rt.RoundTrip(req)
			Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictNotRun))
		}
	})

	DescribeTable("tells from the end of an HTTP/2 stream whether the request may have run, and never sends it again",
		func(reset func(*http2.Framer, uint32), want gypsumhoist.Verdict) {
			for _, form := range []*http.Request{
				newRequest("GET", false, ""), newRequest("POST", false, "Idempotency-Key"),
				newRequest("POST", true, "Idempotency-Key"), newRequest("HEAD", false, ""),
			} {
				bubble(func(g Gomega) {
					nw := emulator.New()
					ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
					g.Expect(err).NotTo(HaveOccurred())
					sv := &resettingServer{reset: reset}
					go sv.serve(ln)
					pp := connector.NewPeerPool(connector.WithNetwork(nw.Host(clientAddr, "d")))
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					defer cancel()
					_, err = pp.RoundTrip(form.WithContext(ctx))
					g.Expect(err).To(HaveOccurred())
					g.Expect(connector.VerdictOf(err)).To(Equal(want), "%s %v", form.Method, err)
					g.Expect(sv.received.Load()).To(BeEquivalentTo(1), form.Method)
					_ = ln.Close()
					nw.Crash(serverAddr)
					pp.Close()
				})()
			}
		},
		Entry("REFUSED_STREAM", func(fr *http2.Framer, id uint32) {
			_ = fr.WriteRSTStream(id, http2.ErrCodeRefusedStream)
		}, gypsumhoist.VerdictNotRun),
		Entry("GOAWAY before the stream", func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(id-1, http2.ErrCodeNo, nil)
		}, gypsumhoist.VerdictNotRun),
		Entry("GOAWAY with an error before the stream", func(fr *http2.Framer, id uint32) {
			_ = fr.WriteGoAway(id-1, http2.ErrCodeInternal, nil)
		}, gypsumhoist.VerdictMayHaveRun),
		Entry("PROTOCOL_ERROR", func(fr *http2.Framer, id uint32) {
			_ = fr.WriteRSTStream(id, http2.ErrCodeProtocol)
		}, gypsumhoist.VerdictMayHaveRun),
		Entry("INTERNAL_ERROR", func(fr *http2.Framer, id uint32) {
			_ = fr.WriteRSTStream(id, http2.ErrCodeInternal)
		}, gypsumhoist.VerdictMayHaveRun),
	)
})
