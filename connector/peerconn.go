package connector

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist/estimator"
)

// Bounds of the time without a received byte after which a connection that awaits a response is probed.
const (
	minFirstByteBound     = 100 * time.Millisecond
	initialFirstByteBound = 500 * time.Millisecond
)

// peerConn is a connection of a PeerPool that tracks whether a response is due. Closing it removes it from its pool.
type peerConn struct {
	net.Conn
	pool *PeerPool
	addr netip.AddrPort

	mu sync.Mutex
	// lastRead is when the last byte was received, awaitingSince when the first request after that was sent; zero if none was.
	lastRead, awaitingSince time.Time
	// inFlight counts requests whose response is not complete.
	inFlight int
	probing  bool
	// firstByte estimates the time from sending a request to the next received byte.
	firstByte estimator.RoundTrip
}

// Read implements net.Conn.
func (pc *peerConn) Read(buf []byte) (int, error) {
	n, err := pc.Conn.Read(buf)
	if n > 0 {
		pc.noteRead(time.Now())
		pc.pool.config.pathMonitor.Heard(pc.addr)
	}
	return n, err
}

// noteRead records that bytes were received at the given time.
func (pc *peerConn) noteRead(now time.Time) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.awaitingSince.IsZero() {
		pc.firstByte.Observe(now.Sub(pc.awaitingSince))
	}
	pc.lastRead, pc.awaitingSince = now, time.Time{}
}

// Close implements net.Conn.
func (pc *peerConn) Close() error {
	pc.pool.mu.Lock()
	delete(pc.pool.conns, pc)
	pc.pool.mu.Unlock()
	return pc.Conn.Close()
}

// acquire records the start of a request.
func (pc *peerConn) acquire() {
	pc.mu.Lock()
	pc.inFlight++
	if pc.awaitingSince.IsZero() {
		pc.awaitingSince = time.Now()
	}
	pc.mu.Unlock()
	pc.pool.scheduleCheck()
}

// release records the end of a request.
func (pc *peerConn) release() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.inFlight--
}

// waitState reports whether bytes are awaited, since when none have been received, and after how long (at most limit) they are overdue.
func (pc *peerConn) waitState(limit time.Duration) (since time.Time, overdue time.Duration, waiting bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	since = pc.lastRead
	if pc.awaitingSince.After(since) {
		since = pc.awaitingSince
	}
	limits := estimator.Limits{Min: min(minFirstByteBound, limit), Max: limit, Initial: min(initialFirstByteBound, limit)}
	return since, pc.firstByte.Timeout(limits), pc.inFlight > 0 || !pc.awaitingSince.IsZero()
}

// receivedSince reports whether a byte has been received since the given time.
func (pc *peerConn) receivedSince(from time.Time) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return !pc.lastRead.Before(from)
}

// tryBeginProbe marks a probe as running and reports whether none was running before.
func (pc *peerConn) tryBeginProbe() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	first := !pc.probing
	pc.probing = true
	return first
}

func (pc *peerConn) endProbe() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.probing = false
}

// peerBody is a response body that ends its request on the peerConn when it is read to the end or closed.
type peerBody struct {
	io.ReadCloser
	attempt *attempt
}

// Read implements io.Reader.
func (pb *peerBody) Read(buf []byte) (int, error) {
	n, err := pb.ReadCloser.Read(buf)
	if err != nil {
		pb.attempt.releasePeer()
	}
	return n, err
}

// Close implements io.Closer.
func (pb *peerBody) Close() error {
	pb.attempt.releasePeer()
	return pb.ReadCloser.Close()
}
