package connector

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxReadFrameBytes limits the HTTP/2 frames that clients may send.
// An http.Transport allocates a buffer of this size for each body of unknown length.
const maxReadFrameBytes = 16 << 10

// Server serves HTTP/1.1 and HTTP/2, the latter also without TLS, within limits:
// size and time of the header, time between two parts of a request body or of a response,
// idle time, and the number of connections; further connections wait to be accepted.
// A client that exceeds a limit loses only its own connection.
// A Server is safe for concurrent use.
type Server struct {
	config   config
	server   *http.Server
	refusals *refusals
	left     *metrics.Counter // requests that did not begin, as their client had left
	draining atomic.Bool
}

// NewServer returns a server that passes its requests to a handler.
func NewServer(handler http.Handler, opts ...Option) *Server {
	sv := &Server{config: newConfig(opts)}
	if sv.config.accountant == nil {
		sv.config.accountant = NewAccountant(DefaultLimits)
	}
	sv.refusals = newRefusals(sv)
	sv.left = counter(sv.config.metrics, `gypsumhoist_connector_left_requests_total{port="`+sv.config.port.String()+`"}`)
	var protos http.Protocols
	protos.SetHTTP1(true)
	protos.SetHTTP2(true)
	protos.SetUnencryptedHTTP2(true)
	sv.server = &http.Server{
		Handler:           &guard{next: handler, server: sv},
		Protocols:         &protos,
		ReadHeaderTimeout: sv.config.readHeaderTimeout,
		IdleTimeout:       sv.config.idleTimeout,
		MaxHeaderBytes:    sv.config.maxHeaderBytes,
		ConnContext:       withClientConn,
		ConnState:         notifyState,
		ErrorLog:          log.New(&errorLog{logger: sv.config.logger}, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: sv.maxStreams(),
			MaxReadFrameSize:     maxReadFrameBytes,
			SendPingTimeout:      idlePingInterval,
			PingTimeout:          sv.config.pingTimeout,
			WriteByteTimeout:     sv.config.writeStall,
		},
	}
	return sv
}

// maxStreams returns the limit of concurrent requests on one HTTP/2 connection.
func (sv *Server) maxStreams() int {
	return min(sv.config.maxStreams, sv.config.accountant.limits.Streams)
}

// peerHeaderLines is how many lines the head of a call between nodes may have more than that of the caller's request.
const peerHeaderLines = 100

// headerLines returns the limit of lines of one head.
func (sv *Server) headerLines() int {
	if sv.config.port == PortPeers {
		return sv.config.accountant.limits.HeaderLines + peerHeaderLines
	}
	return sv.config.accountant.limits.HeaderLines
}

// notifyState tells a connection that the server has read a head, or has sent a response and waits for the next request.
func notifyState(cn net.Conn, state http.ConnState) {
	switch cn := cn.(type) {
	case *headConn:
		cn.setState(state)
	case *requestConn:
		if state == http.StateIdle {
			cn.idle()
		}
	}
}

// Serve accepts connections until Shutdown or Close and then returns nil.
// TLS is left to the Network that returned the listener; the TLS field of a request stays nil.
func (sv *Server) Serve(ln net.Listener) error {
	ln = newLimitListener(ln, &sv.config, sv.refuse)
	if sv.config.pipelining {
		ln = newPipeListener(ln, &sv.config, &sv.draining)
	}
	ln = &headListener{Listener: ln, server: sv}
	err := sv.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	sv.config.logger.Log(eventServeFailed, "address", ln.Addr(), "error", err)
	return err
}

// Shutdown stops accepting connections, sends GOAWAY to HTTP/2 clients,
// closes idle connections and returns when no request is left or the context ends.
func (sv *Server) Shutdown(ctx context.Context) error { return sv.server.Shutdown(ctx) }

// Drain makes the clients move elsewhere without interrupting a request: each later response has the header
// "Connection: close", and on HTTP/2 a GOAWAY is sent with it. Idle connections stay open, so that a
// request that is already on its way on one of them is served; Shutdown closes the remaining ones.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Close closes all connections immediately.
func (sv *Server) Close() error { return sv.server.Close() }
