package connector

import (
	"io"
	"net"
	"os"
	"time"
)

// follower is a connection in memory that brings the server one request, which came behind another on a lead.
type follower struct {
	lead *lead
	turn *turn

	// The lead's mutex guards these.
	head []byte
	past bool // the server's time for reading is over
}

// Read implements net.Conn. After the request there is nothing until its answer is out or the client has gone.
func (fl *follower) Read(buf []byte) (int, error) {
	for {
		fl.lead.mu.Lock()
		n := copy(buf, fl.head)
		fl.head = fl.head[n:]
		past, over, changed := fl.past, fl.turn.over || fl.lead.gone, fl.lead.changed
		fl.lead.mu.Unlock()
		switch {
		case n > 0:
			return n, nil
		case past:
			return 0, os.ErrDeadlineExceeded
		case over:
			return 0, io.EOF
		}
		<-changed
	}
}

// Write implements net.Conn.
func (fl *follower) Write(buf []byte) (int, error) { return fl.lead.write(fl.turn, buf) }

// idle notes that the answer is out.
func (fl *follower) idle() { fl.lead.end(fl.turn, true) }

// Close implements net.Conn. Before the answer is out it ends the client's connection in the answer's place.
func (fl *follower) Close() error {
	fl.lead.end(fl.turn, false)
	return nil
}

// LocalAddr implements net.Conn.
func (fl *follower) LocalAddr() net.Addr { return fl.lead.LocalAddr() }

// RemoteAddr implements net.Conn.
func (fl *follower) RemoteAddr() net.Addr { return fl.lead.RemoteAddr() }

// SetReadDeadline implements net.Conn. A time to come is of no effect, as nothing is waited for but the answer's end.
func (fl *follower) SetReadDeadline(at time.Time) error {
	fl.lead.mu.Lock()
	defer fl.lead.mu.Unlock()
	fl.past = !at.IsZero() && !at.After(time.Now())
	fl.lead.signal()
	return nil
}

// SetWriteDeadline implements net.Conn. It is of no effect: each write is bounded where it goes to the client.
func (fl *follower) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (fl *follower) SetDeadline(at time.Time) error { return fl.SetReadDeadline(at) }
