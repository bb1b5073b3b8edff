package connector_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// checkedTransport returns a transport with the connections of a rawUpstream's client.
func checkedTransport(ru *rawUpstream) *connector.CheckedTransport {
	return connector.NewCheckedTransport(&http.Transport{DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
		return ru.client.Dial(ctx, netip.MustParseAddrPort(addr))
	}})
}

// withRaw runs a spec with a CheckedTransport whose requests get a response of the given bytes.
func withRaw(response string, spec func(g Gomega, ct *connector.CheckedTransport)) func() {
	return bubble(func(g Gomega) {
		ru := newRawUpstream(g, response)
		ru.closes = true
		defer ru.port.Close()
		go ru.serve()
		spec(g, checkedTransport(ru))
	})
}

var _ = Describe("A CheckedTransport", func() {
	for name, response := range brokenHeads {
		It("rejects "+name, withRaw(response, func(g Gomega, ct *connector.CheckedTransport) {
			rsp, body, err := exchange(ct, "POST")
			g.Expect(err).To(HaveOccurred(), "got %v %q", rsp, body)
			g.Expect(rsp).To(BeNil(), "the head was accepted, only the body failed")
		}))
	}

	for name, response := range brokenBodies {
		It("gives an error at the end of a body: "+name, withRaw(response, func(g Gomega, ct *connector.CheckedTransport) {
			_, body, err := exchange(ct, "POST")
			g.Expect(err).To(HaveOccurred(), "got %q", body)
		}))
	}

	for name, response := range wholeResponses {
		framed := strings.Contains(strings.ToLower(response), "content-length") || strings.Contains(strings.ToLower(response), "transfer-encoding")
		It("takes a proper response if it is framed: "+name, withRaw(response, func(g Gomega, ct *connector.CheckedTransport) {
			_, body, err := exchange(ct, "POST")
			if !framed {
				g.Expect(err).To(HaveOccurred(), "got %q", body)
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(body).To(Equal("body"))
		}))
	}

	It("keeps connections open", bubble(func(g Gomega) {
		ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\n"+bodyOf4)
		defer ru.port.Close()
		go ru.serve()
		ct := checkedTransport(ru)
		defer ct.CloseIdleConnections()
		for range 5 {
			_, _, err := exchange(ct, "POST")
			g.Expect(err).NotTo(HaveOccurred())
		}
		g.Expect(ru.conns.Load()).To(BeEquivalentTo(1))
	}))

	It("speaks TLS, and refuses a server that it does not trust", func() {
		sv := httptest.NewTLSServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
			_, _ = wr.Write([]byte(req.Proto))
		}))
		defer sv.Close()
		config := sv.Client().Transport.(*http.Transport).TLSClientConfig
		get := func(ct *connector.CheckedTransport) (string, error) {
			defer ct.CloseIdleConnections()
			req, err := http.NewRequest("GET", sv.URL, nil)
			Expect(err).NotTo(HaveOccurred())
			rsp, err := ct.RoundTrip(req)
			if err != nil {
				return "", err
			}
			defer rsp.Body.Close()
			data, err := io.ReadAll(rsp.Body)
			return string(data), err
		}
		Expect(get(connector.NewCheckedTransport(&http.Transport{TLSClientConfig: config}))).To(Equal("HTTP/1.1"))
		untrusting := config.Clone()
		untrusting.RootCAs = nil
		_, err := get(connector.NewCheckedTransport(&http.Transport{TLSClientConfig: untrusting}))
		Expect(err).To(HaveOccurred())
	})
})
