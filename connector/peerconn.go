package connector

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist/estimator"
)

// Bounds of the time without a byte after which a connection that waits is asked.
const (
	gapLeast   = 100 * time.Millisecond
	gapUnknown = 500 * time.Millisecond
)

// peerConn is a connection of a PeerPool that knows what it waits for. Its pool closes it with itself.
type peerConn struct {
	net.Conn
	pool *PeerPool
	to   netip.AddrPort

	mu sync.Mutex
	// read is when the last byte came, asked when the first request since then went out; zero for none.
	read, asked time.Time
	// busy counts requests without a whole answer.
	busy    int
	probing bool
	// gap is how long something that was asked for usually takes to bring a byte.
	gap estimator.RoundTrip
}

// Read implements net.Conn.
func (pc *peerConn) Read(buf []byte) (int, error) {
	n, err := pc.Conn.Read(buf)
	if n > 0 {
		pc.note(time.Now())
		pc.pool.config.paths.Heard(pc.to)
	}
	return n, err
}

// note takes the time of bytes that came.
func (pc *peerConn) note(now time.Time) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.asked.IsZero() {
		pc.gap.Learn(now.Sub(pc.asked))
	}
	pc.read, pc.asked = now, time.Time{}
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

// waits reports whether anything should come, since when nothing has, and after how long that is unusual.
func (pc *peerConn) waits(most time.Duration) (since time.Time, overdue time.Duration, waits bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	since = pc.read
	if pc.asked.After(since) {
		since = pc.asked
	}
	limits := estimator.Limits{Least: min(gapLeast, most), Most: most, Unknown: min(gapUnknown, most)}
	return since, pc.gap.Bound(limits), pc.busy > 0 || !pc.asked.IsZero()
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
