package connector_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
)

// newIdentity returns TLS configurations for both sides that trust one new certificate for the loopback address.
func newIdentity() (client, server *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	pair := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	client = &tls.Config{Certificates: pair, RootCAs: pool}
	server = &tls.Config{Certificates: pair, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	return client, server
}

var _ = Describe("TCP", func() {
	serve := func(tc *connector.TCP) netip.AddrPort {
		ln, err := tc.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		sv := connector.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
			_, _ = io.WriteString(wr, req.Proto)
		}))
		go func() { _ = sv.Serve(ln) }()
		DeferCleanup(sv.Close)
		return ln.Addr().(*net.TCPAddr).AddrPort()
	}
	get := func(rt http.RoundTripper, at netip.AddrPort) (string, error) {
		req, err := http.NewRequest(http.MethodGet, "http://"+at.String()+"/", nil)
		Expect(err).NotTo(HaveOccurred())
		rsp, err := rt.RoundTrip(req)
		if err != nil {
			return "", err
		}
		defer rsp.Body.Close()
		body, err := io.ReadAll(rsp.Body)
		return string(body), err
	}

	It("carries HTTP/2 between peers and HTTP/1.1 to upstreams", func() {
		at := serve(&connector.TCP{})
		Expect(get(connector.NewPeerPool(), at)).To(Equal("HTTP/2.0"))
		Expect(get(connector.NewUpstreamPool(at), at)).To(Equal("HTTP/1.1"))
	})

	It("carries HTTP/2 between peers that trust each other's certificates, and rejects other clients", func() {
		client, server := newIdentity()
		at := serve(&connector.TCP{Server: server})
		Expect(get(connector.NewPeerPool(connector.WithNetwork(&connector.TCP{Client: client})), at)).To(Equal("HTTP/2.0"))

		stranger, _ := newIdentity()
		for _, tc := range []*connector.TCP{{}, {Client: stranger}, {Client: &tls.Config{RootCAs: client.RootCAs}}} {
			_, err := get(connector.NewPeerPool(connector.WithNetwork(tc)), at)
			Expect(err).To(HaveOccurred())
		}
	})

	It("lets ordinary HTTPS clients choose their version", func() {
		client, server := newIdentity()
		at := serve(&connector.TCP{Server: &tls.Config{Certificates: server.Certificates}})
		for _, want := range []string{"HTTP/1.1", "HTTP/2.0"} {
			tr := &http.Transport{TLSClientConfig: client.Clone(), ForceAttemptHTTP2: want == "HTTP/2.0"}
			if want == "HTTP/1.1" {
				tr.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
			}
			rsp, err := (&http.Client{Transport: tr}).Get("https://" + at.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(rsp.Proto).To(Equal(want))
			Expect(rsp.Body.Close()).To(Succeed())
			tr.CloseIdleConnections()
		}
	})

	It("reports a request as not run if nobody listens", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		at := ln.Addr().(*net.TCPAddr).AddrPort()
		Expect(ln.Close()).To(Succeed())
		_, err = get(connector.NewPeerPool(), at)
		Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictNotRun))
	})
})
