package connector

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// errHeadRefused ends the reception of a head beyond a limit. net/http answers it with a 400, which Write replaces.
var errHeadRefused = errors.New("the head of the request is beyond a limit")

// refusedAnswer is the response to a request whose head is not received completely.
const refusedAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// h2Preface begins each HTTP/2 connection.
const h2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// headListener makes the connections of a Server count the heads that they receive.
type headListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (hl *headListener) Accept() (net.Conn, error) {
	cn, err := hl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if _, ok := cn.(*requestConn); ok {
		// Its request was charged when it was dispatched.
		return cn, nil
	}
	return newHeadConn(cn, hl.server), nil
}

// headConn is a client's connection that charges the heads that it receives before net/http parses them.
//
// On HTTP/1 all bytes that net/http reads while it waits for a request are those of a head; it says by its connection states
// when the head is complete and when the next one is due. On HTTP/2 a headFrames decodes the heads.
type headConn struct {
	net.Conn
	server *Server
	charge charge

	// These are used by one goroutine at a time, which net/http synchronizes.
	prefaceLen int  // bytes of h2Preface received, or -1 on HTTP/1
	receiving  bool // a head is due or in progress
	lines      int
	bytes      int64
	reads      int   // since the last request
	lastCost   int64 // of the bytes of the last read, which net/http may have buffered

	// frames is set on HTTP/2.
	frames atomic.Pointer[headFrames]

	// refused says that the head in progress is beyond a limit; rejected, that its request must not run.
	refused  bool
	rejected bool
	answered atomic.Bool
	evicted  atomic.Bool
}

func newHeadConn(cn net.Conn, sv *Server) *headConn {
	hc := &headConn{Conn: cn, server: sv, receiving: true}
	hc.charge.port = sv.config.port
	hc.charge.evict = func() {
		hc.evicted.Store(true)
		sv.refuse(causeBytes)
		// Ends a read that waits for more of the head. It fails only on a closed connection.
		_ = cn.SetReadDeadline(time.Unix(1, 0))
	}
	return hc
}

// Read implements net.Conn.
func (hc *headConn) Read(buf []byte) (int, error) {
	if hc.refused {
		return 0, errHeadRefused
	}
	n, err := hc.Conn.Read(buf)
	if hc.evicted.Load() {
		// Otherwise net/http reads in the background while the request is answered.
		if hc.receiving {
			hc.refused = true
		}
		return 0, errHeadRefused
	}
	if n > 0 {
		if refused := hc.received(buf[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// received counts bytes that net/http is about to get.
func (hc *headConn) received(part []byte) error {
	if frames := hc.frames.Load(); frames != nil {
		return frames.received(part)
	}
	if hc.prefaceLen >= 0 {
		return hc.receivedFirst(part)
	}
	return hc.receivedHead(part)
}

// receivedFirst finds out whether the connection speaks HTTP/2.
func (hc *headConn) receivedFirst(part []byte) error {
	rest := h2Preface[hc.prefaceLen:]
	n := min(len(rest), len(part))
	if string(part[:n]) != rest[:n] {
		hc.prefaceLen = -1
		return hc.receivedHead(part)
	}
	if hc.prefaceLen += n; hc.prefaceLen < len(h2Preface) {
		return nil
	}
	frames := newHeadFrames(hc)
	hc.frames.Store(frames)
	return frames.received(part[n:])
}

// receivedHead charges bytes of a head of HTTP/1.
func (hc *headConn) receivedHead(part []byte) error {
	lines := bytes.Count(part, []byte{'\n'})
	hc.reads++
	hc.lastCost = headCost(int64(len(part)), lines)
	if !hc.receiving {
		return nil
	}
	hc.lines += lines
	hc.bytes += int64(len(part))
	switch {
	case hc.lines > hc.server.headerLines():
		hc.server.refuse(causeLines)
	case !hc.server.config.accountant.receive(&hc.charge, headCost(receivingFactor*int64(len(part)), lines)):
		hc.server.refuse(causeBytes)
	default:
		return nil
	}
	hc.refused = true
	return errHeadRefused
}

// headCost returns what a head costs in memory.
func headCost(size int64, lines int) int64 { return size + headLineCost*int64(lines) }

// setState follows net/http's state of the connection.
func (hc *headConn) setState(state http.ConnState) {
	if hc.frames.Load() != nil {
		return
	}
	switch state {
	case http.StateActive:
		hc.headComplete()
	case http.StateIdle:
		hc.server.config.accountant.release(&hc.charge)
		hc.receiving, hc.lines, hc.bytes, hc.reads = true, 0, 0, 0
		if idler, ok := hc.Conn.(interface{ idle() }); ok {
			idler.idle()
		}
	}
}

// headComplete charges what the request costs while it runs.
func (hc *headConn) headComplete() {
	hc.receiving = false
	accountant := hc.server.config.accountant
	if hc.reads == 0 {
		// The whole head was buffered by net/http with the end of the last request.
		if !accountant.receive(&hc.charge, hc.lastCost) {
			hc.server.refuse(causeBytes)
			hc.rejected = true
			return
		}
		hc.rejected = !accountant.received(&hc.charge, hc.lastCost)
		return
	}
	if !accountant.received(&hc.charge, headCost(hc.bytes, hc.lines)) {
		hc.rejected = true
	}
}

// Write implements net.Conn.
func (hc *headConn) Write(buf []byte) (int, error) {
	if frames := hc.frames.Load(); frames != nil {
		frames.sent(buf)
		return hc.Conn.Write(buf)
	}
	if !hc.refused {
		return hc.Conn.Write(buf)
	}
	if !hc.answered.Swap(true) {
		if _, err := io.WriteString(hc.Conn, refusedAnswer); err != nil {
			return 0, err
		}
	}
	return len(buf), nil
}

// CloseWrite closes the sending side if the connection supports it.
func (hc *headConn) CloseWrite() error {
	if cw, ok := hc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. A client that was refused is given time to read the response.
func (hc *headConn) Close() error {
	hc.server.config.accountant.close(&hc.charge)
	if frames := hc.frames.Load(); frames != nil {
		frames.close()
	}
	if hc.answered.Load() && hc.CloseWrite() == nil {
		time.AfterFunc(pipeLinger, func() { _ = hc.Conn.Close() })
		return nil
	}
	return hc.Conn.Close()
}

// multiplexes implements clientConn.
func (hc *headConn) multiplexes() bool { return hc.frames.Load() != nil }

// waitsToWrite implements clientConn.
func (hc *headConn) waitsToWrite(least time.Duration) bool {
	inner := hc.Conn
	if pc, ok := inner.(*pipeConn); ok {
		inner = pc.Conn
	}
	sc, ok := inner.(*stallConn)
	return ok && sc.waitsToWrite(least)
}

// abort implements clientConn.
func (hc *headConn) abort() {
	if pc, ok := hc.Conn.(*pipeConn); ok {
		pc.abort()
		return
	}
	abortConn(hc.Conn)
}
