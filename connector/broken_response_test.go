package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// rawUpstream is an upstream whose responses are given as bytes.
type rawUpstream struct {
	client *emulator.Host
	port   net.Listener
	conns  atomic.Int64
	// response is sent to each request; further only after the first response of the first connection.
	response, further string
	furtherAfter      time.Duration
	// closes ends each connection after its response.
	closes bool
	// reset ends each connection after its response while the rest of the request is unread, which resets it.
	reset bool
	// answersProbesOnly leaves all other requests without a response; probes counts the probes.
	answersProbesOnly bool
	probes            atomic.Int64
}

func newRawUpstream(g Gomega, response string) *rawUpstream {
	nw := emulator.New()
	ru := &rawUpstream{client: nw.Host(clientAddr, "d"), response: response}
	ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	ru.port = ln
	return ru
}

func (ru *rawUpstream) serve() {
	for {
		cn, err := ru.port.Accept()
		if err != nil {
			return
		}
		go ru.serveConn(cn, ru.conns.Add(1) == 1)
	}
}

func (ru *rawUpstream) serveConn(cn net.Conn, first bool) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if !ru.reset {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		if req.Method == http.MethodOptions {
			ru.probes.Add(1)
		} else if ru.answersProbesOnly {
			continue
		}
		_, _ = io.WriteString(cn, ru.response)
		if ru.reset {
			time.Sleep(10 * time.Millisecond)
			return
		}
		if ru.closes {
			return
		}
		if first && ru.further != "" {
			time.Sleep(ru.furtherAfter)
			_, _ = io.WriteString(cn, ru.further)
			first = false
		}
	}
}

// exchange sends a request and reads the response to its end.
func exchange(rt http.RoundTripper, method string) (rsp *http.Response, body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	rsp, err = rt.RoundTrip(newRequest(method, method == "POST", "").WithContext(ctx))
	if err != nil {
		return nil, "", err
	}
	defer rsp.Body.Close()
	data, err := io.ReadAll(rsp.Body)
	return rsp, string(data), err
}

const bodyOf4 = "Content-Length: 4\r\n\r\nbody"

// brokenHeads are responses whose heads are malformed or frame the body ambiguously.
var brokenHeads = map[string]string{
	"status 000":                         "HTTP/1.1 000 None\r\n" + bodyOf4,
	"status 099":                         "HTTP/1.1 099 None\r\n" + bodyOf4,
	"status 600":                         "HTTP/1.1 600 None\r\n" + bodyOf4,
	"status 999":                         "HTTP/1.1 999 None\r\n" + bodyOf4,
	"a signed status":                    "HTTP/1.1 +20 OK\r\n" + bodyOf4,
	"a status of four digits":            "HTTP/1.1 2000 OK\r\n" + bodyOf4,
	"status 101 that was not requested":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\nbody",
	"two spaces before the status":       "HTTP/1.1  200 OK\r\n" + bodyOf4,
	"another version":                    "HTTP/1.2 200 OK\r\n" + bodyOf4,
	"version 2.0":                        "HTTP/2.0 200 OK\r\n" + bodyOf4,
	"another protocol":                   "HTTQ/1.1 200 OK\r\n" + bodyOf4,
	"a control byte in the reason":       "HTTP/1.1 200 O\x01K\r\n" + bodyOf4,
	"a bare CR in the reason":            "HTTP/1.1 200 O\rK\r\n" + bodyOf4,
	"bare LFs":                           "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
	"one bare LF":                        "HTTP/1.1 200 OK\r\nA: b\nContent-Length: 4\r\n\r\nbody",
	"a name with a space":                "HTTP/1.1 200 OK\r\nNa me: v\r\n" + bodyOf4,
	"a length with a space before colon": "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
	"a name with a control byte":         "HTTP/1.1 200 OK\r\nNa\x01me: v\r\n" + bodyOf4,
	"a name with a tab":                  "HTTP/1.1 200 OK\r\nNa\tme: v\r\n" + bodyOf4,
	"a name beyond ASCII":                "HTTP/1.1 200 OK\r\nNa\xc3\xa4: v\r\n" + bodyOf4,
	"a name with a slash":                "HTTP/1.1 200 OK\r\nNa/me: v\r\n" + bodyOf4,
	"an empty name":                      "HTTP/1.1 200 OK\r\n: v\r\n" + bodyOf4,
	"a line without a colon":             "HTTP/1.1 200 OK\r\nName\r\n" + bodyOf4,
	"a folded line":                      "HTTP/1.1 200 OK\r\nName: v\r\n w\r\n" + bodyOf4,
	"a folded length":                    "HTTP/1.1 200 OK\r\nContent-Length:\r\n 4\r\n\r\nbody",
	"a folded first line":                "HTTP/1.1 200 OK\r\n Name: v\r\n" + bodyOf4,
	"a value with NUL":                   "HTTP/1.1 200 OK\r\nName: a\x00b\r\n" + bodyOf4,
	"a value with a control byte":        "HTTP/1.1 200 OK\r\nName: a\x1bb\r\n" + bodyOf4,
	"a value with DEL":                   "HTTP/1.1 200 OK\r\nName: a\x7fb\r\n" + bodyOf4,
	"a value with a bare CR":             "HTTP/1.1 200 OK\r\nName: a\rb\r\n" + bodyOf4,
	"two different lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + bodyOf4,
	"two lengths in one line":            "HTTP/1.1 200 OK\r\nContent-Length: 4, 4\r\n\r\nbody",
	"an empty length":                    "HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\nbody",
	"a negative length":                  "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
	"a signed length":                    "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody",
	"a length too large":                 "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551620\r\n\r\nbody",
	"a length and chunks":                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks and a length":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks twice":                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"another transfer coding":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a broken interim response":          "HTTP/1.1 103 Early Hints\r\nNa me: v\r\n\r\nHTTP/1.1 200 OK\r\n" + bodyOf4,
	"status 000 after an interim one":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + bodyOf4,
	"only an interim response":           "HTTP/1.1 103 Early Hints\r\n\r\n",
	"interim responses without end":      strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1000) + "HTTP/1.1 200 OK\r\n" + bodyOf4,
	"a head that is cut":                 "HTTP/1.1 200 OK\r\nName: v\r\nContent-Length: 4\r\n",
	"a blank line first":                 "\r\nHTTP/1.1 200 OK\r\n" + bodyOf4,
	"no bytes":                           "",
	"no response":                        "body",
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// brokenBodies are responses with a proper head and a body that is not whole.
var brokenBodies = map[string]string{
	"a length, cut":                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody",
	"a length, nothing of it":             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	"a length in HTTP/1.0, cut":           "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nbody",
	"no chunk":                            chunkedHead,
	"no last chunk":                       chunkedHead + "4\r\nbody\r\n",
	"a chunk, cut":                        chunkedHead + "5\r\nbody",
	"a chunk without its line end":        chunkedHead + "4\r\nbody",
	"a chunk longer than its size":        chunkedHead + "3\r\nbody\r\n0\r\n\r\n",
	"a last chunk without a blank line":   chunkedHead + "4\r\nbody\r\n0\r\n",
	"a last chunk and half a blank line":  chunkedHead + "4\r\nbody\r\n0\r\n\r",
	"an empty size":                       chunkedHead + "4\r\nbody\r\n\r\n\r\n",
	"a size that is no number":            chunkedHead + "4\r\nbody\r\nx\r\n\r\n",
	"a negative size":                     chunkedHead + "-4\r\nbody\r\n0\r\n\r\n",
	"a size with a prefix":                chunkedHead + "0x4\r\nbody\r\n0\r\n\r\n",
	"a size too large":                    chunkedHead + "4\r\nbody\r\n10000000000000004\r\nbody\r\n0\r\n\r\n",
	"a size line that ends with LF":       chunkedHead + "4\nbody\r\n0\r\n\r\n",
	"a chunk that ends with LF":           chunkedHead + "4\r\nbody\n0\r\n\r\n",
	"a control byte in a chunk extension": chunkedHead + "4;a=\x01\r\nbody\r\n0\r\n\r\n",
	"trailers, cut":                       chunkedHead + "4\r\nbody\r\n0\r\nName: v\r\n",
	"a trailer name with a space":         chunkedHead + "4\r\nbody\r\n0\r\nNa me: v\r\n\r\n",
	"a trailer name with a control byte":  chunkedHead + "4\r\nbody\r\n0\r\nNa\x01me: v\r\n\r\n",
	"a trailer value with a control byte": chunkedHead + "4\r\nbody\r\n0\r\nName: \x01\r\n\r\n",
	"a folded trailer":                    chunkedHead + "4\r\nbody\r\n0\r\nName: v\r\n w\r\n\r\n",
	"a trailer without a colon":           chunkedHead + "4\r\nbody\r\n0\r\nName\r\n\r\n",
	"a length in the trailers":            chunkedHead + "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n",
}

// wholeResponses are proper responses with the body "body", in all ways in which one can be framed.
var wholeResponses = map[string]string{
	"a length":                       "HTTP/1.1 200 OK\r\n" + bodyOf4,
	"no reason":                      "HTTP/1.1 200 \r\n" + bodyOf4,
	"no space after the status":      "HTTP/1.1 200\r\n" + bodyOf4,
	"a reason beyond ASCII":          "HTTP/1.1 200 Sch\xf6n\tgut\r\n" + bodyOf4,
	"the same length twice":          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + bodyOf4,
	"spaces around the length":       "HTTP/1.1 200 OK\r\ncontent-length:\t 4 \r\n\r\nbody",
	"an empty value":                 "HTTP/1.1 200 OK\r\nName:\r\nOther: \r\n" + bodyOf4,
	"every character of names":       "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\n" + bodyOf4,
	"a value beyond ASCII":           "HTTP/1.1 200 OK\r\nName: \xc3\xa4\t\xff : x\r\n" + bodyOf4,
	"an interim response":            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\n" + bodyOf4,
	"two interim responses":          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + bodyOf4,
	"HTTP/1.0 and a length":          "HTTP/1.0 200 OK\r\n" + bodyOf4,
	"chunks":                         chunkedHead + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
	"chunks by another name":         "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"a chunk with an extension":      chunkedHead + "04;a=\"b\" \r\nbody\r\n000;c\r\n\r\n",
	"a chunk with spaces":            chunkedHead + "4  \r\nbody\r\n0\r\n\r\n",
	"trailers":                       chunkedHead + "4\r\nbody\r\n0\r\nName: v\r\nOther: w\r\n\r\n",
	"a status of its own":            "HTTP/1.1 299 Odd\r\n" + bodyOf4,
	"an error":                       "HTTP/1.1 599 Odd\r\n" + bodyOf4,
	"no length and HTTP/1.1":         "HTTP/1.1 200 OK\r\nName: v\r\n\r\nbody",
	"no length and HTTP/1.0":         "HTTP/1.0 200 OK\r\n\r\nbody",
	"no length and an error":         "HTTP/1.0 413 Too Large\r\n\r\nbody",
	"a length and Connection: close": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + bodyOf4,
}

var _ = Describe("A response that is not proper HTTP/1.1", func() {
	for name, response := range brokenHeads {
		It("is a failure after which the request may have run: "+name, bubble(func(g Gomega) {
			ru := newRawUpstream(g, response)
			ru.closes = true
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			defer up.Stop()
			for _, method := range []string{"GET", "POST", "HEAD"} {
				rsp, body, err := exchange(up, method)
				g.Expect(err).To(HaveOccurred(), "%s: got %v %q", method, rsp, body)
				g.Expect(rsp).To(BeNil(), "the head was accepted, only the body failed")
				g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
			}
		}))
	}

	for name, response := range brokenBodies {
		It("never has a body that ends cleanly: "+name, bubble(func(g Gomega) {
			ru := newRawUpstream(g, response)
			ru.closes = true
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			defer up.Stop()
			for _, method := range []string{"GET", "POST"} {
				rsp, body, err := exchange(up, method)
				g.Expect(rsp).NotTo(BeNil())
				g.Expect(err).To(HaveOccurred(), "%s: got %q", method, body)
			}
		}))
	}

	It("fails no other request, and its connection is not used again", bubble(func(g Gomega) {
		ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\nNa me: v\r\n"+bodyOf4)
		defer ru.port.Close()
		go ru.serve()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
		defer up.Stop()
		_, _, err := exchange(up, "POST")
		g.Expect(err).To(HaveOccurred())
		ru.response = "HTTP/1.1 200 OK\r\n" + bodyOf4
		for range 3 {
			_, body, err := exchange(up, "POST")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("body"))
		}
		g.Expect(ru.conns.Load()).To(BeEquivalentTo(2))
	}))
})

var _ = Describe("A proper response", func() {
	for name, response := range wholeResponses {
		It("is passed on whole: "+name, bubble(func(g Gomega) {
			ru := newRawUpstream(g, response)
			ru.closes = true
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			defer up.Stop()
			for _, method := range []string{"GET", "POST"} {
				_, body, err := exchange(up, method)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("body"))
				// The next request is not sent before the pool has seen that the upstream closed the connection.
				time.Sleep(time.Millisecond)
			}
		}))
	}

	for name, response := range map[string]string{
		"with a length":  "HTTP/1.1 200 OK\r\n" + bodyOf4,
		"in chunks":      chunkedHead + "4\r\nbody\r\n0\r\nName: v\r\n\r\n",
		"without a body": "HTTP/1.1 204 No Content\r\n\r\n",
		"not modified":   "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	} {
		It("leaves the connection to further requests: "+name, bubble(func(g Gomega) {
			ru := newRawUpstream(g, response)
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			defer up.Stop()
			for range 5 {
				_, _, err := exchange(up, "POST")
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(ru.conns.Load()).To(BeEquivalentTo(1))
		}))
	}

	It("to HEAD has no body, whatever length it names, and leaves the connection to further requests", bubble(func(g Gomega) {
		ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
		defer ru.port.Close()
		go ru.serve()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
		defer up.Stop()
		for range 5 {
			rsp, body, err := exchange(up, "HEAD")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(BeEmpty())
			g.Expect(rsp.ContentLength).To(BeEquivalentTo(4))
		}
		g.Expect(ru.conns.Load()).To(BeEquivalentTo(1))
	}))

	It("followed by bytes of none is whole, and no later request gets these bytes", bubble(func(g Gomega) {
		ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\n"+bodyOf4)
		ru.further = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
		defer ru.port.Close()
		go ru.serve()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
		defer up.Stop()
		for range 5 {
			_, body, err := exchange(up, "POST")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("body"))
			time.Sleep(time.Second)
		}
		g.Expect(ru.conns.Load()).To(BeEquivalentTo(2))
	}))
})

// uploadBytes is more than the buffers of a connection hold, so that the upload is unfinished when the response comes.
const uploadBytes = 16 << 20

func upload(ctx context.Context, addr netip.AddrPort, length int64) *http.Request {
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr.String()+"/orders", io.LimitReader(zeroes{}, uploadBytes))
	if err != nil {
		panic(err)
	}
	req.ContentLength = length
	return req
}

// zeroes is an endless body.
type zeroes struct{}

func (zeroes) Read(buf []byte) (int, error) { return len(buf), nil }

var _ = Describe("A response without a length to a long upload", func() {
	for name, length := range map[string]int64{"of a known length": uploadBytes, "of an unknown length": -1} {
		It("is broken if the connection is reset while the upload is still being written: an upload "+name, bubble(func(g Gomega) {
			ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", 3000))
			ru.reset = true
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			defer up.Stop()
			for range 50 {
				rsp, err := up.RoundTrip(upload(context.Background(), serverPort, length))
				if err == nil {
					_, err = io.ReadAll(rsp.Body)
					_ = rsp.Body.Close()
				}
				g.Expect(err).To(HaveOccurred())
				g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
			}
		}))
	}

	It("is broken if a real connection is reset, which the system reports to the write only", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		ru := &rawUpstream{port: ln, response: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 3000), reset: true}
		go ru.serve()
		addr := netip.MustParseAddrPort(ln.Addr().String())
		up := connector.NewUpstreamPool(addr)
		defer up.Stop()
		whole := 0
		for range 16 {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			rsp, err := up.RoundTrip(upload(ctx, addr, uploadBytes))
			if err == nil {
				if _, err = io.ReadAll(rsp.Body); err == nil {
					whole++
				}
				_ = rsp.Body.Close()
			}
			cancel()
		}
		Expect(whole).To(BeZero(), "truncated responses that were taken for complete ones, of 16")
	})

	It("is whole if the upstream closes only its sending side and reads the upload to its end", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			for {
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer cn.Close()
					rd := bufio.NewReader(cn)
					req, err := http.ReadRequest(rd)
					if err != nil {
						return
					}
					_, _ = io.WriteString(cn, "HTTP/1.1 413 Too Large\r\n\r\nbody")
					_ = cn.(interface{ CloseWrite() error }).CloseWrite()
					time.Sleep(100 * time.Millisecond)
					_, _ = io.Copy(io.Discard, req.Body)
				}()
			}
		}()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
		defer up.Stop()
		for range 20 {
			rsp, err := up.RoundTrip(upload(context.Background(), serverPort, uploadBytes))
			g.Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(rsp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(data)).To(Equal("body"))
			_ = rsp.Body.Close()
		}
	}))

	It("fails at the request's deadline if the upload does not end", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			defer cn.Close()
			if _, err = http.ReadRequest(bufio.NewReader(cn)); err == nil {
				_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\nbody")
				_ = cn.(interface{ CloseWrite() error }).CloseWrite()
				time.Sleep(10 * time.Second)
			}
		}()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
		defer up.Stop()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		from := time.Now()
		rsp, err := up.RoundTrip(upload(ctx, serverPort, uploadBytes))
		g.Expect(err).NotTo(HaveOccurred())
		defer rsp.Body.Close()
		_, err = io.ReadAll(rsp.Body)
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		g.Expect(time.Since(from)).To(BeNumerically("<=", 2100*time.Millisecond))
	}))
})

var _ = Describe("A response with a length to a long upload", func() {
	It("is whole although the upstream reads on only after it, and the connection stays in use", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		var conns atomic.Int64
		go func() {
			for {
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				conns.Add(1)
				go serveEarly(cn)
			}
		}()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
		defer up.Stop()
		for ix := range 20 {
			rsp, err := up.RoundTrip(upload(context.Background(), serverPort, uploadBytes))
			g.Expect(err).NotTo(HaveOccurred())
			data, err := io.ReadAll(rsp.Body)
			g.Expect(err).NotTo(HaveOccurred(), "request %d", ix)
			g.Expect(string(data)).To(Equal("body"))
			_ = rsp.Body.Close()
			time.Sleep(10 * time.Millisecond)
		}
		g.Expect(conns.Load()).To(BeEquivalentTo(1))
	}))
})

// serveEarly answers each request before it reads the body.
func serveEarly(cn net.Conn) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = fmt.Fprint(cn, "HTTP/1.1 200 OK\r\n"+bodyOf4)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}
