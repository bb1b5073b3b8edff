package emulator

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

// passThroughAttempts is how many attempts a PassThrough node makes for a request; each hop of a call has a node of its own.
const passThroughAttempts = 3

// PassThrough is a baseline node without any policy. It picks a random upstream of the route, ignores keys, rates,
// importance and load, and retries a failed request at once; as every hop does so, retries multiply.
// It is safe for concurrent use. The zero value is not usable; call NewPassThrough.
type PassThrough struct {
	routes map[string][]netip.AddrPort
	client *http.Client
	mu     sync.Mutex
	random *rand.Rand
}

// NewPassThrough returns a node that forwards each route to the given upstreams.
func NewPassThrough(routes map[string][]netip.AddrPort, nw connector.Network, seed uint64) *PassThrough {
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) {
		ap, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, err
		}
		return nw.Dial(ctx, ap)
	}
	return &PassThrough{
		routes: routes, random: rand.New(rand.NewPCG(seed, seed)),
		client: &http.Client{Transport: connector.NewCheckedTransport(&http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: clientIdleConns, IdleConnTimeout: time.Minute,
		})},
	}
}

// Close closes idle connections.
func (pt *PassThrough) Close() { pt.client.CloseIdleConnections() }

// ServeHTTP forwards one request.
func (pt *PassThrough) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	for try := range passThroughAttempts {
		rs, err := pt.attempt(req)
		if err == nil && (rs.StatusCode < http.StatusInternalServerError || try == passThroughAttempts-1) {
			pt.answer(wr, rs)
			return
		}
		if err == nil {
			_ = rs.Body.Close()
		}
		if req.Context().Err() != nil {
			return
		}
	}
	http.Error(wr, "no upstream answered", http.StatusBadGateway)
}

func (pt *PassThrough) attempt(req *http.Request) (*http.Response, error) {
	addr, ok := pt.pick(req.URL.Path)
	if !ok {
		return nil, net.ErrClosed
	}
	out := req.Clone(req.Context())
	out.RequestURI = ""
	out.URL.Scheme = "http"
	out.URL.Host = addr.String()
	out.Body = http.NoBody
	return pt.client.Do(out)
}

func (pt *PassThrough) pick(path string) (netip.AddrPort, bool) {
	for route, addrs := range pt.routes {
		if (path == route || strings.HasPrefix(path, route+"/")) && len(addrs) > 0 {
			pt.mu.Lock()
			defer pt.mu.Unlock()
			return addrs[pt.random.IntN(len(addrs))], true
		}
	}
	return netip.AddrPort{}, false
}

func (pt *PassThrough) answer(wr http.ResponseWriter, rs *http.Response) {
	defer rs.Body.Close()
	for name, vals := range rs.Header {
		wr.Header()[name] = vals
	}
	wr.WriteHeader(rs.StatusCode)
	if _, err := io.Copy(wr, rs.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
