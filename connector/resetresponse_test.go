package connector_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

var _ = Describe("A response to HTTP/1.0 that is reset after a part of it", func() {
	handler := http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(wr, strings.Repeat("a", 100<<10))
		_ = http.NewResponseController(wr).Flush()
		// The client reads what was sent before the reset, which discards it.
		time.Sleep(50 * time.Millisecond)
		Expect(connector.ResetResponse(wr)).To(BeTrue())
	})
	// read sends a request and reads the response to its end.
	read := func(cn net.Conn) error {
		defer cn.Close()
		_, err := io.WriteString(cn, "GET / HTTP/1.0\r\nHost: a\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		rsp, err := http.ReadResponse(bufio.NewReader(cn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(rsp.StatusCode).To(Equal(200))
		_, err = io.Copy(io.Discard, rsp.Body)
		return err
	}

	for name, opts := range map[string][]connector.Option{"on a plain port": nil, "on a port with pipelining": {connector.WithPipelining()}} {
		It("has no orderly end "+name+", and its connection no longer counts", func() {
			nw := &connector.TCP{}
			ln, err := nw.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			Expect(err).NotTo(HaveOccurred())
			sv := connector.NewServer(handler, append(opts, connector.WithMaxConns(1))...)
			go func() { _ = sv.Serve(ln) }()
			defer sv.Close()
			for range 3 {
				cn, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
				Expect(err).NotTo(HaveOccurred())
				Expect(cn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
				Expect(read(cn)).To(MatchError(ContainSubstring("reset")))
			}
		})
	}

	It("has no orderly end over TLS", func() {
		keys := httptest.NewUnstartedServer(nil)
		keys.StartTLS()
		defer keys.Close()
		nw := &connector.TCP{Server: keys.TLS}
		ln, err := nw.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		sv := connector.NewServer(handler)
		go func() { _ = sv.Serve(ln) }()
		defer sv.Close()
		pool := x509.NewCertPool()
		pool.AddCert(keys.Certificate())
		cn, err := tls.Dial("tcp", ln.Addr().String(), &tls.Config{RootCAs: pool, NextProtos: []string{"http/1.1"}})
		Expect(err).NotTo(HaveOccurred())
		Expect(cn.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		Expect(read(cn)).To(HaveOccurred())
	})
})
