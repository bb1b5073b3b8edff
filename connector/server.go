package connector

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"sync/atomic"
)

// maxReadFrame is the longest HTTP/2 frame that clients may send, in bytes.
// A http.Transport takes a buffer of that size for each body of unknown length.
const maxReadFrame = 16 << 10

// Server answers HTTP/1.1 and HTTP/2, the latter also without TLS, within bounds:
// the header's size and time, the time between two parts of a body or of an answer,
// idle time, and the number of connections; more connections wait to be accepted.
// A client that exceeds a bound loses its own connection only.
// A Server is safe for concurrent use.
type Server struct {
	config   config
	server   *http.Server
	draining atomic.Bool
}

// NewServer returns a server that hands its requests to a handler.
func NewServer(handler http.Handler, opts ...Option) *Server {
	sv := &Server{config: newConfig(opts)}
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
		ErrorLog:          log.New(&errorLog{logger: sv.config.logger}, "", 0),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: sv.config.maxStreams,
			MaxReadFrameSize:     maxReadFrame,
			SendPingTimeout:      idlePing,
			PingTimeout:          sv.config.pingTimeout,
			WriteByteTimeout:     sv.config.writeStall,
		},
	}
	if sv.config.pipelining {
		sv.server.ConnState = pipeState
	}
	return sv
}

// pipeState tells a connection with pipelining that the server has sent an answer and waits.
func pipeState(cn net.Conn, state http.ConnState) {
	if idler, ok := cn.(interface{ idle() }); ok && state == http.StateIdle {
		idler.idle()
	}
}

// Serve accepts connections until Shutdown or Close; it then returns nil.
// TLS is the matter of the Network that gave the listener; a request's TLS field stays nil.
func (sv *Server) Serve(ln net.Listener) error {
	ln = newLimitListener(ln, sv.config.maxConns, sv.config.writeStall)
	if sv.config.pipelining {
		ln = newPipeListener(ln, sv.config.idleTimeout, &sv.draining)
	}
	err := sv.server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	sv.config.logger.Log(eventServeFailed, "address", ln.Addr(), "error", err)
	return err
}

// Shutdown accepts no more connections, tells HTTP/2 clients to go elsewhere (GOAWAY),
// closes idle connections and returns when no request is left or the context ends.
func (sv *Server) Shutdown(ctx context.Context) error { return sv.server.Shutdown(ctx) }

// Drain asks the clients to go elsewhere without cutting anything: from now on each answer says
// "Connection: close", on HTTP/2 a GOAWAY goes out with it. Idle connections stay open, so that a
// request which is on its way on one of them is answered; Shutdown closes those that are left.
func (sv *Server) Drain() { sv.draining.Store(true) }

// Close closes all connections at once.
func (sv *Server) Close() error { return sv.server.Close() }
