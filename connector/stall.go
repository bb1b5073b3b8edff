package connector

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// guard wraps a Server's handler.
// It bounds the time between two parts of a request body, and asks clients to close their connections during a drain.
type guard struct {
	next   http.Handler
	server *Server
}

// ServeHTTP implements http.Handler.
func (gu *guard) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	if req.Context().Err() != nil {
		// The client closed the connection before the request began.
		gu.server.left.Inc()
		panic(http.ErrAbortHandler)
	}
	client := clientConnOf(req)
	if hc, ok := client.(*headConn); ok {
		refused := hc.rejected
		if frames := hc.frames.Load(); frames != nil {
			refused = frames.handlerBegins()
			defer frames.handlerEnds()
		}
		if refused {
			refuseRequest(wr, req)
			return
		}
	}
	aw := newAnswerWriter(wr, gu.server, client)
	defer aw.detach()
	wr = aw
	if gu.server.draining.Load() {
		wr.Header().Set("Connection", "close")
	}
	if gu.server.config.peers && req.Header.Get(headerEmpty) != "" {
		req.Header.Del(headerEmpty)
		req.Body = http.NoBody
		req.ContentLength = 0
	}
	if req.Body == nil || req.Body == http.NoBody {
		gu.next.ServeHTTP(wr, req)
		return
	}
	gu.serveBody(wr, req)
}

// serveBody serves a copy of a request with a guarded body. The original request keeps its body:
// net/http examines its type to find out how much of it is left to read before a response. On HTTP/1.1 that read
// is bounded by the deadline, which stays set until the end of the body.
func (gu *guard) serveBody(wr http.ResponseWriter, req *http.Request) {
	gb := &guardedBody{
		ReadCloser: req.Body, controller: http.NewResponseController(wr),
		stall: gu.server.config.bodyStall, keepsDeadline: req.ProtoMajor == 1,
	}
	defer gb.detach()
	out := req.WithContext(req.Context())
	out.Body = gb
	if gb.keepsDeadline {
		gb.setReadDeadline(time.Now().Add(gb.stall))
		wr = &earlyWriter{ResponseWriter: wr, body: gb}
	}
	gu.next.ServeHTTP(wr, out)
}

// guardedBody sets a deadline for each read. It clears the deadline after the read or,
// where an expired one does no harm (HTTP/1.1), at the end of the body.
// It may be read by a transport that still sends it after the handler has returned.
type guardedBody struct {
	io.ReadCloser
	stall         time.Duration
	keepsDeadline bool
	mu            sync.Mutex
	controller    *http.ResponseController // nil once the handler has returned, as net/http then clears what it refers to
	// ended is set once the whole body has been read.
	ended atomic.Bool
	// closed is set once the handler needs no more of the body.
	closed atomic.Bool
}

// Close implements io.Closer. The server itself reads the rest of the body after the response,
// so that whoever forwards the body does not wait for it.
func (gb *guardedBody) Close() error {
	gb.closed.Store(true)
	return nil
}

// Read implements io.Reader.
func (gb *guardedBody) Read(buf []byte) (int, error) {
	if gb.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	gb.setReadDeadline(time.Now().Add(gb.stall))
	n, err := gb.ReadCloser.Read(buf)
	if err == io.EOF {
		gb.ended.Store(true)
	}
	if err == io.EOF || err == nil && !gb.keepsDeadline {
		gb.setReadDeadline(time.Time{})
	}
	return n, err
}

// setReadDeadline has no effect after detach.
func (gb *guardedBody) setReadDeadline(at time.Time) {
	gb.mu.Lock()
	defer gb.mu.Unlock()
	if gb.controller != nil {
		// A writer that does not support deadlines leaves the body unbounded; those of net/http support them.
		_ = gb.controller.SetReadDeadline(at)
	}
}

// detach ends the use of the response writer. Later reads fail.
func (gb *guardedBody) detach() {
	gb.closed.Store(true)
	gb.mu.Lock()
	defer gb.mu.Unlock()
	gb.controller = nil
}

// stallConn bounds the time that one write may take.
type stallConn struct {
	net.Conn
	writeStall time.Duration
	onClose    func()
	// writeBegan is the time of the write in progress in Unix nanoseconds, or 0.
	writeBegan atomic.Int64
}

// Write implements net.Conn.
func (sc *stallConn) Write(buf []byte) (int, error) {
	if err := sc.SetWriteDeadline(time.Now().Add(sc.writeStall)); err != nil {
		return 0, err
	}
	sc.writeBegan.Store(time.Now().UnixNano())
	defer sc.writeBegan.Store(0)
	return sc.Conn.Write(buf)
}

// waitsToWrite reports whether a write is in progress for as long or longer.
func (sc *stallConn) waitsToWrite(least time.Duration) bool {
	began := sc.writeBegan.Load()
	return began != 0 && time.Since(time.Unix(0, began)) >= least
}

// Close implements net.Conn.
func (sc *stallConn) Close() error {
	sc.onClose()
	return sc.Conn.Close()
}

// CloseWrite closes the sending side if the connection supports it, so that a response that is sent
// before the whole request was read is not lost to a TCP reset.
func (sc *stallConn) CloseWrite() error {
	if cw, ok := sc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}
