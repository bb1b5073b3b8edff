package connector

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// guard stands before a Server's handler.
// It bounds the time between two parts of a request's body and drains.
type guard struct {
	next   http.Handler
	server *Server
}

// ServeHTTP implements http.Handler.
func (gu *guard) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if gu.server.draining.Load() {
		wr.Header().Set("Connection", "close")
	}
	if gu.server.config.peers && req.Header.Get(headerEmpty) != "" {
		req.Header.Del(headerEmpty)
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	if req.Body != nil && req.Body != http.NoBody {
		wr, req = gu.guarded(wr, req)
	}
	gu.next.ServeHTTP(wr, req)
}

// guarded returns a copy of a request with its body guarded, and the writer of its answer. The original keeps its body, by whose
// type net/http tells how much of it is left to read ahead of an answer. Of HTTP/1.1, that reading
// is bounded by the deadline that stands until the body's end.
func (gu *guard) guarded(wr http.ResponseWriter, req *http.Request) (http.ResponseWriter, *http.Request) {
	gb := &guardedBody{
		ReadCloser: req.Body, control: http.NewResponseController(wr),
		stall: gu.server.config.bodyStall, stands: req.ProtoMajor == 1,
	}
	if gb.stands {
		// As in Read, a writer that knows no deadlines leaves the body unbounded.
		_ = gb.control.SetReadDeadline(time.Now().Add(gb.stall))
	}
	out := req.WithContext(req.Context())
	out.Body = gb
	if !gb.stands {
		return wr, out
	}
	return &earlyWriter{ResponseWriter: wr, body: gb}, out
}

// guardedBody gives each read a deadline of its own. It takes the deadline away after the read or,
// where one that has passed does no harm, at the end of the body.
type guardedBody struct {
	io.ReadCloser
	control *http.ResponseController
	stall   time.Duration
	stands  bool
	// ended tells that the whole body has been read.
	ended atomic.Bool
	// closed tells that nobody wants the rest.
	closed atomic.Bool
}

// Close implements io.Closer. The rest of the body is read after the answer, by the server itself:
// whoever passes the body on must not wait for it.
func (gb *guardedBody) Close() error {
	gb.closed.Store(true)
	return nil
}

// Read implements io.Reader.
func (gb *guardedBody) Read(buf []byte) (int, error) {
	if gb.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	// A writer that knows no deadlines leaves the body unbounded; net/http's own ones know them.
	_ = gb.control.SetReadDeadline(time.Now().Add(gb.stall))
	n, err := gb.ReadCloser.Read(buf)
	if err == io.EOF {
		gb.ended.Store(true)
	}
	if err == io.EOF || err == nil && !gb.stands {
		_ = gb.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// stallConn bounds the time that one write may take.
type stallConn struct {
	net.Conn
	stall   time.Duration
	onClose func()
}

// Write implements net.Conn.
func (sc *stallConn) Write(buf []byte) (int, error) {
	if err := sc.SetWriteDeadline(time.Now().Add(sc.stall)); err != nil {
		return 0, err
	}
	return sc.Conn.Write(buf)
}

// Close implements net.Conn.
func (sc *stallConn) Close() error {
	sc.onClose()
	return sc.Conn.Close()
}

// CloseWrite closes the sending side where the connection can, so that an answer that is given
// before the whole request was read is not lost to a reset.
func (sc *stallConn) CloseWrite() error {
	if cw, ok := sc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}
