package emulator

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// streamSize limits the unread bytes in one direction.
const streamSize = 256 << 10

// stream carries the bytes of one direction of a connection.
type stream struct {
	delay  time.Duration
	sender *Host

	mu     sync.Mutex
	chunks []chunk
	size   int
	// held and frozen block delivery to the reader, frozen permanently.
	held, frozen bool
	// writeClosed lets the reader see EOF after the chunks; readClosed makes writes fail.
	writeClosed, readClosed, wasReset bool
	eofAt                             time.Time
	readDeadline, writeDeadline       time.Time
	// wake is closed and replaced at each change.
	wake chan struct{}
}

type chunk struct {
	arrivesAt time.Time
	data      []byte
}

func newStream(delay time.Duration, sender *Host) *stream {
	return &stream{delay: delay, sender: sender, wake: make(chan struct{})}
}

// update runs a function under the mutex and wakes all waiting readers and writers.
func (st *stream) update(fn func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fn()
	st.signal()
}

func (st *stream) signal() {
	close(st.wake)
	st.wake = make(chan struct{})
}

func (st *stream) hold(on bool)                  { st.update(func() { st.held = on }) }
func (st *stream) freeze()                       { st.update(func() { st.frozen = true }) }
func (st *stream) reset()                        { st.update(func() { st.wasReset = true }) }
func (st *stream) closeRead()                    { st.update(func() { st.readClosed = true }) }
func (st *stream) setReadDeadline(at time.Time)  { st.update(func() { st.readDeadline = at }) }
func (st *stream) setWriteDeadline(at time.Time) { st.update(func() { st.writeDeadline = at }) }
func (st *stream) closeWrite() {
	st.update(func() {
		if !st.writeClosed {
			st.writeClosed = true
			st.eofAt = time.Now().Add(st.delay)
		}
	})
}

func (st *stream) read(buf []byte) (int, error) {
	for {
		st.mu.Lock()
		n, wait, err := st.tryRead(buf)
		wake := st.wake
		st.mu.Unlock()
		if n > 0 || err != nil || len(buf) == 0 {
			return n, err
		}
		waitSignal(wake, wait)
	}
}

// tryRead returns the bytes that have arrived. Without bytes or an error it returns how long to wait, zero for no limit.
func (st *stream) tryRead(buf []byte) (int, time.Duration, error) {
	now := time.Now()
	blocked := st.held || st.frozen
	var wait time.Duration
	switch {
	case st.readClosed:
		return 0, 0, net.ErrClosed
	case expired(st.readDeadline, now):
		return 0, 0, os.ErrDeadlineExceeded
	case blocked:
	case st.wasReset:
		return 0, 0, syscall.ECONNRESET
	case len(st.chunks) > 0:
		if wait = st.chunks[0].arrivesAt.Sub(now); wait <= 0 {
			return st.takeChunk(buf), 0, nil
		}
	case st.writeClosed:
		if wait = st.eofAt.Sub(now); wait <= 0 {
			return 0, 0, io.EOF
		}
	}
	return 0, shorterWait(wait, st.readDeadline, now), nil
}

func (st *stream) takeChunk(buf []byte) int {
	ck := &st.chunks[0]
	n := copy(buf, ck.data)
	ck.data = ck.data[n:]
	st.size -= n
	if len(ck.data) == 0 {
		st.chunks = st.chunks[1:]
	}
	st.signal()
	return n
}

func (st *stream) write(buf []byte) (int, error) {
	st.sender.writes.Add(1)
	sent := 0
	for {
		st.mu.Lock()
		n, wait, err := st.tryWrite(buf[sent:])
		wake := st.wake
		st.mu.Unlock()
		sent += n
		if err != nil || sent == len(buf) {
			return sent, err
		}
		if n == 0 {
			waitSignal(wake, wait)
		}
	}
}

func (st *stream) tryWrite(buf []byte) (int, time.Duration, error) {
	now := time.Now()
	switch {
	case st.writeClosed:
		return 0, 0, net.ErrClosed
	case st.wasReset, st.readClosed && !st.held && !st.frozen:
		return 0, 0, syscall.ECONNRESET
	case expired(st.writeDeadline, now):
		return 0, 0, os.ErrDeadlineExceeded
	}
	n := min(len(buf), streamSize-st.size)
	if n == 0 {
		return 0, shorterWait(0, st.writeDeadline, now), nil
	}
	st.chunks = append(st.chunks, chunk{arrivesAt: now.Add(st.delay), data: append([]byte(nil), buf[:n]...)})
	st.size += n
	st.sender.sent.Add(uint64(n))
	st.signal()
	return n, 0, nil
}

func expired(at, now time.Time) bool { return !at.IsZero() && !now.Before(at) }

// shorterWait returns the shorter of a wait (zero for none) and the time until a deadline (zero for none).
func shorterWait(wait time.Duration, deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return wait
	}
	left := deadline.Sub(now)
	if wait <= 0 || left < wait {
		return left
	}
	return wait
}

// waitSignal returns when woken or after a wait; zero waits without a limit.
func waitSignal(wake <-chan struct{}, wait time.Duration) {
	if wait <= 0 {
		<-wake
		return
	}
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-wake:
	case <-tm.C:
	}
}
