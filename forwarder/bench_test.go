package forwarder_test

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// Load of the benchmarks on real sockets: half of the slots are busy.
const (
	benchSlots   = 40
	benchCallers = benchSlots / 2
	benchWork    = 5 * time.Millisecond
	benchLongest = int64(10 * time.Second / time.Microsecond)
)

var benchAnswer = []byte(`{"slip":7,"cleared":true}`)

// bench is an entry node, and another node with an upstream.
type bench struct {
	entry, other *forwarder.Forwarder
	setPeer      func(peer netip.AddrPort)
	key          string
}

func newBench(tb testing.TB, peers connector.Peers) *bench {
	tables := registrar.NewHolder()
	key, gr, err := registrar.MintKey("kingston", rand.Reader)
	if err != nil {
		tb.Fatal(err)
	}
	rw := registrar.Row{
		Number: 1, Workspace: "kingston", Route: "/slips", Service: "slips", Weight: 1, Importance: 50,
		Deadline: 10 * time.Second, Retries: 2, RetryPercent: 20,
	}
	tables.Update(registrar.NewTable(registrar.Contents{Revision: 1, Rows: []registrar.Row{rw}, Grants: []registrar.KeyGrant{gr}}))
	tables.Confirm(1, time.Now())
	rt := router.New(domain)
	add := func(name gypsumhoist.Instance) *forwarder.Forwarder {
		ad := admitter.New()
		ad.SetSlots(benchSlots)
		return forwarder.New(
			forwarder.WithInstance(name), forwarder.WithHolder(tables), forwarder.WithRouter(rt),
			forwarder.WithRetrier(retrier.New()), forwarder.WithAdmitter(ad, admitter.NewForecaster()),
			forwarder.WithPeers(peers), forwarder.WithRecordStore(explainer.New(1000)),
			forwarder.WithQuarantiner(quarantiner.New(quarantiner.Process{Instance: name, Boot: 1})),
		)
	}
	bn := &bench{entry: add("roster-1"), other: add("slips-1"), key: key}
	bn.setPeer = func(peer netip.AddrPort) {
		rt.SetUpstreams("slips", []router.Upstream{{Instance: "slips-1", Domain: domain, Peer: peer, Slots: benchSlots}})
	}
	return bn
}

// listen serves a handler on a loopback port of its own.
func listen(tb testing.TB, handler http.Handler) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	sv := connector.NewServer(handler)
	go func() { _ = sv.Serve(ln) }()
	tb.Cleanup(func() { _ = sv.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// onLoopback returns a bench connected by real sockets. It also returns the addresses of the entry node and of the upstream.
func onLoopback(tb testing.TB, upstream http.Handler) (*bench, netip.AddrPort, netip.AddrPort) {
	peers := connector.NewPeerPool()
	tb.Cleanup(peers.Close)
	bn := newBench(tb, peers)
	up := listen(tb, upstream)
	pool := connector.NewUpstreamPool(up)
	pool.Start()
	tb.Cleanup(pool.Stop)
	bn.other.SetUpstream(up, time.Time{}, pool)
	bn.setPeer(listen(tb, bn.other.Peer(http.NotFoundHandler())))
	return bn, listen(tb, bn.entry.Callers()), up
}

func upstreamWork(wr http.ResponseWriter, _ *http.Request) {
	time.Sleep(benchWork)
	_, _ = wr.Write(benchAnswer)
}

// timeCall makes one call and returns how long it took.
func timeCall(tb testing.TB, client *http.Client, addr netip.AddrPort, key string) time.Duration {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr.String()+"/slips/7", nil)
	if err != nil {
		tb.Error(err)
		return 0
	}
	req.Header.Set(gypsumhoist.HeaderKey, key)
	began := time.Now()
	rs, err := client.Do(req)
	if err != nil {
		tb.Error(err)
		return 0
	}
	defer rs.Body.Close()
	if _, err := io.Copy(io.Discard, rs.Body); err != nil || rs.StatusCode != http.StatusOK {
		tb.Errorf("status %d, error %v", rs.StatusCode, err)
	}
	return time.Since(began)
}

// BenchmarkAddedLatency compares caller → entry node → other node → upstream with caller → upstream
// in one run on loopback: each caller makes one call of each kind in turn.
func BenchmarkAddedLatency(b *testing.B) {
	bn, entry, up := onLoopback(b, http.HandlerFunc(upstreamWork))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	direct, through := hdrhistogram.New(1, benchLongest, 3), hdrhistogram.New(1, benchLongest, 3)
	var left atomic.Int64
	left.Store(int64(b.N))
	var wg sync.WaitGroup
	b.ResetTimer()
	for range benchCallers {
		wg.Go(func() {
			for left.Add(-1) >= 0 {
				one, two := timeCall(b, client, up, ""), timeCall(b, client, entry, bn.key)
				mu.Lock()
				_ = direct.RecordValue(one.Microseconds())
				_ = through.RecordValue(two.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	for _, qu := range []struct {
		name string
		at   float64
	}{{"p50", 50}, {"p99", 99}} {
		one, two := direct.ValueAtQuantile(qu.at), through.ValueAtQuantile(qu.at)
		b.ReportMetric(float64(one), qu.name+"-direct-µs")
		b.ReportMetric(float64(two), qu.name+"-through-µs")
		b.ReportMetric(float64(two-one), qu.name+"-added-µs")
	}
}

// inProcess connects nodes with each other, and a node with its upstream, without sockets.
type inProcess struct{ http.Handler }

func (ip inProcess) Do(req *http.Request) (*http.Response, error) { return ip.RoundTrip(req) }
func (ip inProcess) URL(addr netip.AddrPort) string               { return "http://" + addr.String() }

// RoundTrip hands the request to the handler and returns the complete answer.
func (ip inProcess) RoundTrip(req *http.Request) (*http.Response, error) {
	rec := httptest.NewRecorder()
	in := req.Clone(req.Context())
	ip.ServeHTTP(rec, in)
	rs := rec.Result()
	rs.Request = req
	rs.ContentLength = int64(rec.Body.Len())
	rs.Trailer = http.Header{}
	for name, vals := range rec.Header() {
		if own := len(http.TrailerPrefix); len(name) > own && name[:own] == http.TrailerPrefix {
			rs.Trailer[name[own:]] = vals
		}
	}
	return rs, nil
}

// BenchmarkInProcess measures the two nodes' own work for a call, without sockets and net/http's clients.
func BenchmarkInProcess(b *testing.B) {
	var other http.Handler
	peers := inProcess{http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) { other.ServeHTTP(wr, req) })}
	bn := newBench(b, peers)
	other = bn.other.Peer(http.NotFoundHandler())
	addr := netip.MustParseAddrPort("10.0.0.2:7402")
	bn.setPeer(addr)
	bn.other.SetUpstream(addr, time.Time{}, inProcess{http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(benchAnswer) })})
	entry := bn.entry.Callers()
	req := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/slips/7", nil)
	b.ReportAllocs()
	for b.Loop() {
		in := req.Clone(req.Context())
		in.Header.Set(gypsumhoist.HeaderKey, bn.key)
		rec := httptest.NewRecorder()
		entry.ServeHTTP(rec, in)
		if rec.Code != http.StatusOK {
			b.Fatal(rec.Code, rec.Body.String())
		}
	}
}

// BenchmarkLoopbackAllocations measures the allocations of one call in total: caller, both nodes and upstream.
func BenchmarkLoopbackAllocations(b *testing.B) {
	bn, entry, up := onLoopback(b, http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write(benchAnswer) }))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, way := range []struct {
		name string
		addr netip.AddrPort
		key  string
	}{{"direct", up, ""}, {"through", entry, bn.key}} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				timeCall(b, client, way.addr, way.key)
			}
		})
	}
}
