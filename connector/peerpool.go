package connector

import (
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// PeerPool sends requests to other instances over shared HTTP/2 connections.
// It uses no proxy, follows no redirect and never sends a request twice.
// A connection on which nothing arrives though a request went out is asked, and closed without an answer,
// so that a silent one is replaced after the two times that WithPing sets. Then others are asked too.
// One without requests is left alone: a fleet has a connection for each pair of its nodes.
// TLS is the Network's matter. A PeerPool is safe for concurrent use.
type PeerPool struct {
	config    config
	transport *http.Transport
	dials     *metrics.Counter

	mu     sync.Mutex
	closed bool
	conns  map[*peerConn]struct{}
	// watching tells that look is about to be called.
	watching bool
}

var (
	_ Peers             = (*PeerPool)(nil)
	_ http.RoundTripper = (*PeerPool)(nil)
)

// NewPeerPool returns a pool without connections.
func NewPeerPool(opts ...Option) *PeerPool {
	pp := &PeerPool{config: newConfig(opts), conns: map[*peerConn]struct{}{}}
	var protos http.Protocols
	protos.SetUnencryptedHTTP2(true)
	pp.transport = &http.Transport{
		DialContext:            pp.dial,
		Protocols:              &protos,
		DisableCompression:     true,
		IdleConnTimeout:        pp.config.idleTimeout,
		MaxResponseHeaderBytes: int64(pp.config.maxHeaderBytes),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  idlePing,
			PingTimeout:      pp.config.pingTimeout,
			WriteByteTimeout: pp.config.pingTimeout,
		},
	}
	pp.dials = counter(pp.config.metrics, `gypsumhoist_connector_dials_total{kind="peer"}`)
	return pp
}

// RoundTrip implements http.RoundTripper. The error is always a *Failure.
// A GetBody of the request is not used; TRACE is refused.
func (pp *PeerPool) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodTrace {
		return nil, newFailure(req.Context(), true, errTrace)
	}
	at := &attempt{}
	rsp, err := pp.transport.RoundTrip(at.prepare(req, true))
	if err != nil {
		at.peerDone()
		return nil, newFailure(req.Context(), at.notRun2(req.Context(), err), err)
	}
	rsp.Request = req
	rsp.Body = &peerBody{ReadCloser: rsp.Body, attempt: at}
	return rsp, nil
}

// Do implements Peers. It is RoundTrip by the name that connect clients ask for.
func (pp *PeerPool) Do(req *http.Request) (*http.Response, error) { return pp.RoundTrip(req) }

// URL implements Peers.
func (pp *PeerPool) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Close ends the requests that are on their way, closes all connections and refuses later requests.
func (pp *PeerPool) Close() {
	pp.mu.Lock()
	pp.closed = true
	open := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	for _, pc := range open {
		// The transport hears of it from its own read.
		_ = pc.Close()
	}
	pp.transport.CloseIdleConnections()
}

// keep notes a new connection, or closes it where the pool is closed.
func (pp *PeerPool) keep(cn net.Conn, to netip.AddrPort) (net.Conn, error) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.closed {
		_ = cn.Close()
		return nil, net.ErrClosed
	}
	pc := &peerConn{Conn: cn, pool: pp, to: to, read: time.Now()}
	pp.conns[pc] = struct{}{}
	return pc, nil
}

// counter returns the named counter, one that nobody reads for a nil set.
func counter(ms *metrics.Set, name string) *metrics.Counter {
	if ms == nil {
		return &metrics.Counter{}
	}
	return ms.GetOrCreateCounter(name)
}
