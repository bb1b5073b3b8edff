package connector

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// responseConn is the client's end of an HTTP/1.1 connection. It checks the bytes of each response before net/http parses them, and
// delivers none of a malformed one's further bytes.
//
// A response that ends with the connection is complete only if its request was sent completely: a reset during a write is reported to
// the write, and a read after that sees an orderly end. So the end is held back until the write has ended, and is an error if that failed.
type responseConn struct {
	net.Conn
	// onBroken is called at most once, with the error by which the connection can't be used further.
	onBroken func(error)

	mu      sync.Mutex
	changed sync.Cond
	scanner responseScanner
	// writes counts the writes in progress; sent is set once the whole request was passed to Write.
	writes              int
	sent, failed, ended bool
	// err is the final error of reads.
	err error
}

func newResponseConn(cn net.Conn, onBroken func(error)) *responseConn {
	rc := &responseConn{Conn: cn, onBroken: onBroken}
	rc.changed.L = &rc.mu
	return rc
}

// begin expects the response to a request that will now be written.
func (rc *responseConn) begin(method string) {
	rc.mu.Lock()
	rc.sent = false
	err := rc.scanner.begin(method == "HEAD")
	first := rc.failLocked(err)
	rc.mu.Unlock()
	rc.report(first, err)
}

// noteSent records that the whole request was passed to Write.
func (rc *responseConn) noteSent() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sent = true
	rc.changed.Broadcast()
}

// Read implements net.Conn.
func (rc *responseConn) Read(buf []byte) (int, error) {
	rc.mu.Lock()
	err := rc.err
	rc.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := rc.Conn.Read(buf)
	rc.mu.Lock()
	broken := rc.err
	if broken == nil {
		n, broken = rc.scanLocked(buf[:n])
	}
	if broken == nil && errors.Is(err, io.EOF) && rc.scanner.endsWithConn() {
		broken = rc.awaitSentLocked()
	}
	first := rc.failLocked(broken)
	if broken == nil && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		// The system reports a reset once and an orderly end to later reads.
		rc.err = err
	}
	rc.mu.Unlock()
	rc.report(first, broken)
	if broken != nil {
		return n, broken
	}
	return n, err
}

// scanLocked checks received bytes. A server may close an idle connection with a 408, which is no fault.
func (rc *responseConn) scanLocked(part []byte) (int, error) {
	n, err := rc.scanner.scan(part)
	if n == 0 && errors.Is(err, errUnsolicited) && isTimeoutResponse(part) {
		err = net.ErrClosed
	}
	return n, err
}

func isTimeoutResponse(part []byte) bool {
	const status = " 408"
	return len(part) >= spaceAt+len(status) && string(part[:versionAt]) == statusStart && string(part[spaceAt:spaceAt+len(status)]) == status
}

// awaitSentLocked waits until the request is written completely. It returns an error if a write fails or the connection is closed first.
func (rc *responseConn) awaitSentLocked() error {
	for !rc.failed && !rc.ended && (!rc.sent || rc.writes > 0) {
		rc.changed.Wait()
	}
	switch {
	case rc.failed:
		return errRequestNotSent
	case rc.ended:
		return net.ErrClosed
	default:
		return nil
	}
}

// failLocked makes all further reads fail and reports whether none had failed before. A nil error changes nothing.
func (rc *responseConn) failLocked(err error) bool {
	if err == nil || rc.err != nil {
		return false
	}
	rc.err = err
	return true
}

func (rc *responseConn) report(first bool, err error) {
	if first && rc.onBroken != nil && !errors.Is(err, net.ErrClosed) {
		rc.onBroken(err)
	}
}

// Write implements net.Conn.
func (rc *responseConn) Write(buf []byte) (int, error) {
	rc.mu.Lock()
	rc.writes++
	rc.mu.Unlock()
	n, err := rc.Conn.Write(buf)
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.writes--
	rc.failed = rc.failed || err != nil && !rc.ended
	rc.changed.Broadcast()
	return n, err
}

// Close implements net.Conn.
func (rc *responseConn) Close() error {
	rc.mu.Lock()
	rc.ended = true
	rc.changed.Broadcast()
	rc.mu.Unlock()
	return rc.Conn.Close()
}
