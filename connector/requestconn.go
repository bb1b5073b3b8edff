package connector

import (
	"io"
	"net"
	"os"
	"time"
)

// requestConn is an in-memory connection that passes one pipelined request of a pipeConn to the server.
type requestConn struct {
	conn *pipeConn
	slot *responseSlot

	// These are guarded by the mutex of conn.
	head        []byte
	readExpired bool // the server's read deadline has passed
}

// Read implements net.Conn. After the request it blocks until the response was sent or the client has disconnected.
func (rc *requestConn) Read(buf []byte) (int, error) {
	for {
		rc.conn.mu.Lock()
		n := copy(buf, rc.head)
		rc.head = rc.head[n:]
		expired, ended, changed := rc.readExpired, rc.slot.done || rc.conn.closed, rc.conn.changed
		rc.conn.mu.Unlock()
		switch {
		case n > 0:
			return n, nil
		case expired:
			return 0, os.ErrDeadlineExceeded
		case ended:
			return 0, io.EOF
		}
		<-changed
	}
}

// Write implements net.Conn.
func (rc *requestConn) Write(buf []byte) (int, error) { return rc.conn.writeInTurn(rc.slot, buf) }

// idle records that the response was sent.
func (rc *requestConn) idle() { rc.conn.finish(rc.slot, true) }

// Close implements net.Conn. Before the whole response was sent, it closes the client's connection in place of the response.
func (rc *requestConn) Close() error {
	rc.conn.finish(rc.slot, false)
	return nil
}

// multiplexes implements clientConn.
func (rc *requestConn) multiplexes() bool { return false }

// waitsToWrite implements clientConn.
func (rc *requestConn) waitsToWrite(time.Duration) bool { return false }

// abort implements clientConn.
func (rc *requestConn) abort() { rc.conn.abort() }

// LocalAddr implements net.Conn.
func (rc *requestConn) LocalAddr() net.Addr { return rc.conn.LocalAddr() }

// RemoteAddr implements net.Conn.
func (rc *requestConn) RemoteAddr() net.Addr { return rc.conn.RemoteAddr() }

// SetReadDeadline implements net.Conn. A deadline in the future has no effect, as reads only wait for the end of the response.
func (rc *requestConn) SetReadDeadline(at time.Time) error {
	rc.conn.mu.Lock()
	defer rc.conn.mu.Unlock()
	rc.readExpired = !at.IsZero() && !at.After(time.Now())
	rc.conn.signal()
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect: each write to the client's connection is bounded there.
func (rc *requestConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (rc *requestConn) SetDeadline(at time.Time) error { return rc.SetReadDeadline(at) }
