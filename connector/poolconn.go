package connector

import (
	"net"
	"sync"
	"time"
)

// poolConn is a connection of an UpstreamPool that tracks when it was last active and checks the responses that it receives.
type poolConn struct {
	*responseConn
	opened  time.Time
	onClose func(*poolConn)

	mu sync.Mutex
	// writeBegun is set by the first write after acquire; sealed makes all later writes fail.
	writeBegun, sealed bool
	// busy is set while a request is in flight; retired, once no further request may be sent.
	busy, retired, closed bool
	// requests counts the requests that were assigned to the connection.
	requests uint64
	// lastActivity is the later of the last byte received and the start of the last request.
	lastActivity time.Time
}

func newPoolConn(cn net.Conn, onClose func(*poolConn), onBroken func(error)) *poolConn {
	now := time.Now()
	pc := &poolConn{opened: now, lastActivity: now, onClose: onClose}
	pc.responseConn = newResponseConn(cn, func(err error) {
		pc.mu.Lock()
		pc.retired = true
		pc.mu.Unlock()
		onBroken(err)
	})
	return pc
}

// Read implements net.Conn.
func (pc *poolConn) Read(buf []byte) (int, error) {
	n, err := pc.responseConn.Read(buf)
	if n > 0 {
		pc.mu.Lock()
		pc.lastActivity = time.Now()
		pc.mu.Unlock()
	}
	return n, err
}

// Write implements net.Conn.
func (pc *poolConn) Write(buf []byte) (int, error) {
	pc.mu.Lock()
	// The transport may assign a retired connection to a waiting request before release is called.
	if pc.sealed || pc.retired && !pc.writeBegun {
		pc.sealed = true
		pc.mu.Unlock()
		return 0, net.ErrClosed
	}
	pc.writeBegun = true
	pc.mu.Unlock()
	return pc.responseConn.Write(buf)
}

// Close implements net.Conn.
func (pc *poolConn) Close() error {
	pc.mu.Lock()
	first := !pc.closed
	pc.closed = true
	pc.mu.Unlock()
	if first && pc.onClose != nil {
		pc.onClose(pc)
	}
	return pc.responseConn.Close()
}

// acquire records the start of a request and returns its number.
func (pc *poolConn) acquire(method string) uint64 {
	pc.begin(method)
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.writeBegun = false
	pc.busy = true
	pc.lastActivity = time.Now()
	pc.requests++
	return pc.requests
}

// release records the end of a request, unless the next one has begun already.
func (pc *poolConn) release(request uint64) {
	pc.mu.Lock()
	last := pc.requests == request
	if last {
		pc.busy = false
	}
	closes := last && pc.retired
	pc.mu.Unlock()
	if closes {
		_ = pc.Close()
	}
}

// seal makes later writes fail and reports whether none has begun since acquire; otherwise it changes nothing.
func (pc *poolConn) seal() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.writeBegun {
		return false
	}
	pc.sealed = true
	return true
}

// silentSince reports whether a request is in flight and the last activity was before the given time.
func (pc *poolConn) silentSince(since time.Time) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.busy && !pc.retired && pc.lastActivity.Before(since)
}

// retiredBusy reports whether the connection is retired but a request is still in flight.
func (pc *poolConn) retiredBusy() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.retired && pc.busy
}

// retire closes the connection, after the request in flight if there is one,
// unless it was active since the given time. It reports whether it did.
func (pc *poolConn) retire(since time.Time) bool {
	pc.mu.Lock()
	if pc.retired || !pc.lastActivity.Before(since) {
		pc.mu.Unlock()
		return false
	}
	pc.retired = true
	busy := pc.busy
	pc.mu.Unlock()
	if !busy {
		_ = pc.Close()
	}
	return true
}
