package connector

import (
	"io"
	"net"
	"sync"
	"time"
)

// peerConn is a connection of a PeerPool that knows what it waits for. Its pool closes it with itself.
type peerConn struct {
	net.Conn
	pool *PeerPool
	addr string

	mu sync.Mutex
	// read is when the last byte came, asked when the first request since then went out; zero for none.
	read, asked time.Time
	// busy counts requests without a whole answer.
	busy    int
	probing bool
}

// Read implements net.Conn.
func (pc *peerConn) Read(buf []byte) (int, error) {
	n, err := pc.Conn.Read(buf)
	if n > 0 {
		pc.mu.Lock()
		pc.read, pc.asked = time.Now(), time.Time{}
		pc.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (pc *peerConn) Close() error {
	pc.pool.mu.Lock()
	delete(pc.pool.conns, pc)
	pc.pool.mu.Unlock()
	return pc.Conn.Close()
}

// acquire notes that a request goes out.
func (pc *peerConn) acquire() {
	pc.mu.Lock()
	pc.busy++
	if pc.asked.IsZero() {
		pc.asked = time.Now()
	}
	pc.mu.Unlock()
	pc.pool.watch()
}

// release notes the end of a request.
func (pc *peerConn) release() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.busy--
}

// waits reports whether anything should come, and since when nothing has.
func (pc *peerConn) waits() (time.Time, bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	since := pc.read
	if pc.asked.After(since) {
		since = pc.asked
	}
	return since, pc.busy > 0 || !pc.asked.IsZero()
}

// heardSince reports whether a byte has come since a time.
func (pc *peerConn) heardSince(from time.Time) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return !pc.read.Before(from)
}

// beginProbe reports whether no probe is on its way, and notes that one is.
func (pc *peerConn) beginProbe() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	begins := !pc.probing
	pc.probing = true
	return begins
}

func (pc *peerConn) endProbe() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.probing = false
}

// peerBody is the body of an answer, whose end is that of its request.
type peerBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (pb *peerBody) Read(buf []byte) (int, error) {
	n, err := pb.ReadCloser.Read(buf)
	if err != nil {
		pb.attempt.peerDone()
	}
	return n, err
}

// Close implements io.Closer.
func (pb *peerBody) Close() error {
	pb.attempt.peerDone()
	return pb.ReadCloser.Close()
}
