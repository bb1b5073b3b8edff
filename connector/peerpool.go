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

// Limits of what a PeerPool keeps of responses whose callers don't read them. The defaults of net/http, 4 MiB and 1 GiB, let a few dozen
// slow callers of one upstream fill the memory of a small instance.
const (
	maxUnreadBytes     = 128 << 10 // of one response
	maxUnreadConnBytes = 16 << 20  // of all responses on one connection
)

// PeerPool sends requests to other instances over shared HTTP/2 connections.
// It uses no proxy, follows no redirect and never sends a request twice.
// A response whose status or length is malformed is a Failure; one whose body is not complete gives an error of the body's Read.
// A connection that receives nothing although a request was sent is probed, and closed if the probe gets no response,
// so that a silent connection is replaced after the sum of the two times of WithPing. Other connections are then probed, too.
// Connections without requests are not probed: a fleet has one for each pair of its nodes.
// TLS is left to the Network. A PeerPool is safe for concurrent use.
type PeerPool struct {
	config    config
	transport *http.Transport
	dials     *metrics.Counter
	broken    *brokenResponses

	mu     sync.Mutex
	closed bool
	conns  map[*peerConn]struct{}
	// checkScheduled is set while a call of checkConns is scheduled.
	checkScheduled bool
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
			SendPingTimeout:  idlePingInterval,
			PingTimeout:      pp.config.pingTimeout,
			WriteByteTimeout: pp.config.pingTimeout,

			MaxReceiveBufferPerStream:     maxUnreadBytes,
			MaxReceiveBufferPerConnection: maxUnreadConnBytes,
		},
	}
	pp.dials = counter(pp.config.metrics, `gypsumhoist_connector_dials_total{kind="peer"}`)
	pp.broken = newBrokenResponses(&pp.config, "peer", nil)
	return pp
}

// RoundTrip implements http.RoundTripper. The error is always a *Failure.
// GetBody of the request is not used; TRACE is refused.
func (pp *PeerPool) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodTrace {
		return nil, newFailure(req.Context(), true, errTrace)
	}
	at := &attempt{}
	rsp, err := pp.transport.RoundTrip(at.prepare(req, true))
	if err != nil {
		at.releasePeer()
		return nil, newFailure(req.Context(), at.notRunHTTP2(req.Context(), err), err)
	}
	if err := checkPeerResponse(rsp); err != nil {
		_ = rsp.Body.Close()
		at.releasePeer()
		pp.broken.note(err)
		return nil, newFailure(req.Context(), false, err)
	}
	rsp.Request = req
	rsp.Body = &peerBody{ReadCloser: rsp.Body, attempt: at}
	return rsp, nil
}

// Do implements Peers. It is RoundTrip under the name that connect.HTTPClient requires.
func (pp *PeerPool) Do(req *http.Request) (*http.Response, error) { return pp.RoundTrip(req) }

// URL implements Peers.
func (pp *PeerPool) URL(addr netip.AddrPort) string { return "http://" + addr.String() }

// Close aborts the requests in flight, closes all connections and refuses later requests.
func (pp *PeerPool) Close() {
	pp.mu.Lock()
	pp.closed = true
	conns := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	for _, pc := range conns {
		// The transport notices through its own read.
		_ = pc.Close()
	}
	pp.transport.CloseIdleConnections()
}

// addConn adds a new connection to the pool, or closes it if the pool is closed.
func (pp *PeerPool) addConn(cn net.Conn, to netip.AddrPort) (net.Conn, error) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.closed {
		_ = cn.Close()
		return nil, net.ErrClosed
	}
	pc := &peerConn{Conn: cn, pool: pp, addr: to, lastRead: time.Now()}
	pp.conns[pc] = struct{}{}
	return pc, nil
}

// counter returns the named counter, or an unregistered one for a nil set.
func counter(ms *metrics.Set, name string) *metrics.Counter {
	if ms == nil {
		return &metrics.Counter{}
	}
	return ms.GetOrCreateCounter(name)
}
