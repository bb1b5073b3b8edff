package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// benchServer serves on loopback and returns its address.
func benchServer(b *testing.B, opts ...connector.Option) netip.AddrPort {
	ln, err := (&connector.TCP{}).Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	sv := connector.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "ok") }), opts...)
	go func() { _ = sv.Serve(ln) }()
	b.Cleanup(func() { _ = sv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// BenchmarkRequestHTTP1 measures one ordinary request on a kept connection, with the client's half.
func BenchmarkRequestHTTP1(b *testing.B) {
	head := "GET /a HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("Some-Name: some value\r\n", 12) + "\r\n"
	for name, opts := range map[string][]connector.Option{"plain": nil, "pipelining": {connector.WithPipelining()}} {
		b.Run(name, func(b *testing.B) {
			cn, err := net.Dial("tcp", benchServer(b, opts...).String())
			if err != nil {
				b.Fatal(err)
			}
			defer cn.Close()
			rd := bufio.NewReader(cn)
			b.ReportAllocs()
			for b.Loop() {
				_, _ = io.WriteString(cn, head)
				rs, err := http.ReadResponse(rd, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, rs.Body)
			}
		})
	}
}

// BenchmarkRequestHTTP2 measures one ordinary request between peers, with the client's half.
func BenchmarkRequestHTTP2(b *testing.B) {
	addr := benchServer(b, connector.WithPeerTraffic())
	pool := connector.NewPeerPool()
	defer pool.Close()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, pool.URL(addr)+"/a", nil)
		if err != nil {
			b.Fatal(err)
		}
		for _, name := range []string{"A", "B", "C", "D", "E", "F", "G", "H"} {
			req.Header.Set("Some-Name-"+name, "some value")
		}
		rs, err := pool.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, rs.Body)
		_ = rs.Body.Close()
	}
}
