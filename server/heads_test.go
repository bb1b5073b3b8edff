package server_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/server"
)

func TestLongestLegalHeadPassesBetweenNodes(t *testing.T) {
	// Guards against a head that the callers' port accepts and the peers' port of the next node refuses, as HTTP/2 counts 32 bytes more
	// for each line.
	const headLines = 5499 // the limit of the callers' port, less the line of the request
	ln, err := (&connector.TCP{}).Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	st := loader.Default()
	lines := 0
	sv := connector.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) { lines = len(req.Header) }),
		server.New(st).PortOptions(connector.PortPeers)...)
	go func() { _ = sv.Serve(ln) }()
	defer sv.Close()
	pool := connector.NewPeerPool()
	defer pool.Close()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet,
		pool.URL(netip.MustParseAddrPort(ln.Addr().String()))+"/a", nil)
	if err != nil {
		t.Fatal(err)
	}
	for len(req.Header) < headLines {
		req.Header[fmt.Sprintf("x%x", len(req.Header))] = []string{""}
	}
	req.Header["Added-By-The-Node"], req.Header["Also-Added"] = []string{"a"}, []string{"b"}
	rs, err := pool.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	_, _ = io.Copy(io.Discard, rs.Body)
	if rs.StatusCode != http.StatusOK || lines < len(req.Header) {
		t.Errorf("%s, %d of %d lines", rs.Status, lines, len(req.Header))
	}
}
