package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"
)

// errStopped is the cause of failures of requests after Stop.
var errStopped = errors.New("the pool has stopped")

// maxProbeBackoff bounds the wait between two probes that get no response.
const maxProbeBackoff = 30 * time.Second

// UpstreamPool sends requests to one upstream over a limited number of persistent HTTP/1.1 connections.
// At the limit, a request waits for a connection to become free.
// It uses no proxy, follows no redirect and never sends a request twice.
// A response that is not proper HTTP/1.1 is a Failure; one whose body is not complete gives an error of the body's Read.
// It is safe for concurrent use.
//
// Between Start and Stop it looks for silent connections: when a request has received no byte for
// the time set by WithSilence, it sends "OPTIONS *" over a new connection. A response shows that the
// upstream is alive; every connection that is older than the probe and has been silent as
// long then gets no further request. The requests on these connections continue until their own deadlines,
// as a slow response looks the same.
type UpstreamPool struct {
	addr   netip.AddrPort
	config config
	tomb   tomb.Tomb

	mu        sync.Mutex
	transport *http.Transport
	single    *http.Transport // uses each connection for one request
	conns     map[*poolConn]struct{}
	dials     *metrics.Counter
	retired   *metrics.Counter
	broken    *brokenResponses
}

var _ http.RoundTripper = (*UpstreamPool)(nil)

// NewUpstreamPool returns a pool without connections for the upstream at an address.
func NewUpstreamPool(addr netip.AddrPort, opts ...Option) *UpstreamPool {
	up := &UpstreamPool{addr: addr, config: newConfig(opts), conns: map[*poolConn]struct{}{}}
	up.transport = up.newTransport()
	up.single = up.newTransport()
	up.single.DisableKeepAlives = true
	up.dials = counter(up.config.metrics, `gypsumhoist_connector_dials_total{kind="upstream"}`)
	up.retired = counter(up.config.metrics, `gypsumhoist_connector_retired_total{kind="upstream"}`)
	up.broken = newBrokenResponses(&up.config, "upstream", addr)
	return up
}

func (up *UpstreamPool) newTransport() *http.Transport {
	var protos http.Protocols
	protos.SetHTTP1(true)
	return &http.Transport{
		DialContext:            up.dial,
		Protocols:              &protos,
		DisableCompression:     true,
		IdleConnTimeout:        up.config.idleTimeout,
		MaxConnsPerHost:        up.config.maxConns,
		MaxIdleConns:           up.config.maxConns,
		MaxIdleConnsPerHost:    up.config.maxConns,
		MaxResponseHeaderBytes: int64(up.config.maxHeaderBytes),
	}
}

type ownConnectionKey struct{}

// WithOwnConnection returns a context whose requests through an UpstreamPool go over a connection that has carried no other request, so
// that no late bytes of an earlier exchange can be taken for the response.
func WithOwnConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, ownConnectionKey{}, true)
}

// transportFor returns the transport for a new request.
func (up *UpstreamPool) transportFor(ctx context.Context) *http.Transport {
	if ctx.Value(ownConnectionKey{}) != nil {
		return up.single
	}
	return up.currentTransport()
}

// currentTransport returns the transport for requests over persistent connections.
func (up *UpstreamPool) currentTransport() *http.Transport {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.transport
}

// RoundTrip implements http.RoundTripper. The error is always a *Failure.
// Scheme and host of the request's URL are replaced by the upstream's address; its Host stays.
// GetBody of the request is not used; TRACE is refused.
func (up *UpstreamPool) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.Method == http.MethodTrace {
		return nil, newFailure(req.Context(), true, errTrace)
	}
	if !up.tomb.Alive() {
		return nil, newFailure(req.Context(), true, errStopped)
	}
	at := &attempt{}
	out := at.prepare(req, false)
	target := *req.URL
	target.Scheme = "http"
	target.Host = up.addr.String()
	out.URL = &target
	rsp, err := up.transportFor(req.Context()).RoundTrip(out)
	if err != nil {
		return nil, newFailure(req.Context(), at.notRunHTTP1(), err)
	}
	rsp.Request = req
	if err := up.config.responseCheck(req, rsp); err != nil {
		// The connection is closed, too, as further bytes on it can't be attributed to a request.
		at.closeConn()
		_ = rsp.Body.Close()
		return nil, newFailure(req.Context(), false, err)
	}
	return rsp, nil
}

// Conns returns the number of open connections.
func (up *UpstreamPool) Conns() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.conns)
}

// Start starts the detection of silent connections.
func (up *UpstreamPool) Start() { up.tomb.Go(up.run) }

// Stop ends the detection if Start began it, and refuses later requests as not run.
// Requests in flight continue; each connection is closed once it carries none.
func (up *UpstreamPool) Stop() {
	up.tomb.Kill(nil)
	up.currentTransport().CloseIdleConnections()
	up.retireAll()
}

// retireAll retires all present connections.
func (up *UpstreamPool) retireAll() {
	for _, pc := range up.connSnapshot() {
		pc.retire(time.Now().Add(time.Hour))
	}
}

func (up *UpstreamPool) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, up.config.dialTimeout)
	defer cancel()
	up.dials.Inc()
	cn, err := up.config.network.Dial(ctx, up.addr)
	if err != nil {
		return nil, err
	}
	setBuffers(cn, up.config.receiveBuffer, up.config.sendBuffer)
	pc := newPoolConn(cn, up.removeConn, up.noteBroken)
	up.mu.Lock()
	up.conns[pc] = struct{}{}
	up.mu.Unlock()
	return pc, nil
}

// noteBroken reports a connection that can't be used further because of what was received on it.
func (up *UpstreamPool) noteBroken(err error) {
	if errors.Is(err, errUnsolicited) || errors.Is(err, errOverlap) {
		up.config.logger.Log(eventConnFailed, "upstream", up.addr, "error", err)
		return
	}
	up.broken.note(err)
}

func (up *UpstreamPool) removeConn(pc *poolConn) {
	up.mu.Lock()
	delete(up.conns, pc)
	up.mu.Unlock()
}

func (up *UpstreamPool) run() error {
	period := up.config.silenceAfter / 2
	wait := period
	for {
		tm := time.NewTimer(wait)
		select {
		case <-up.tomb.Dying():
			tm.Stop()
			return nil
		case <-tm.C:
		}
		wait = period
		if up.anySilent() && !up.probeAndRetire() {
			wait = min(2*wait, maxProbeBackoff)
		}
	}
}
