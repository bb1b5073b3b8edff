package connector

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Limits of pipelining.
const (
	pipeReadBytes = 4 << 10 // bytes per read from a client
	// pipeKeepBytes is how much a connection holds that the server has not read yet; more, up to pipeAheadBytes, is charged in steps of aheadStep.
	pipeKeepBytes  = 4 << 10
	pipeAheadBytes = 64 << 10
	aheadStep      = 16 << 10
)

// phase is the part of the byte stream that the server reads next from a pipeConn.
type phase uint8

const (
	phaseHead     phase = iota
	phaseHeadRead       // the head was read; the framing is determined once more bytes arrive
	phaseBody
	phasePipelined   // the request was read; what follows is pipelined
	phasePassthrough // all further bytes are passed to the server unparsed
)

// pipeConn is a client's connection as the server sees it. It is read from its start to its end, whatever the server does, so that it is
// known at once when the client closes it: that ends the contexts of all its requests. While a request runs, pipelined ones are dispatched.
type pipeConn struct {
	net.Conn
	listener *pipeListener

	// These are used by one goroutine of the server at a time.
	phase    phase
	head     []byte // of the current request
	bodyLeft int64  // unread bytes of the body

	mu sync.Mutex
	// arrived is signaled when there is something new to read, or room for it.
	arrived      sync.Cond
	buffered     receiveBuffer // read from the client, not yet passed to the server
	ahead        int64         // charged for what is buffered beyond pipeKeepBytes
	readErr      error         // that ended the reception
	readDeadline time.Time
	readTimer    *time.Timer
	// ctx is that of the connection's requests, and cancel ends it; nil before the server has the connection.
	ctx    context.Context
	cancel context.CancelFunc

	slots []*responseSlot
	// current is the slot of the request that the server reads or runs on this connection.
	current *responseSlot
	// closed is set once nothing more is sent; closing, once no more requests are taken; discarding, once the server reads nothing more.
	closed, closing, discarding bool
	lingering                   bool // the client is given time to read the last response
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newPipeConn(cn net.Conn, pl *pipeListener) *pipeConn {
	pc := &pipeConn{Conn: cn, listener: pl, changed: make(chan struct{})}
	pc.arrived.L = &pc.mu
	return pc
}

// begin starts the reception. It returns the context of the connection's requests.
func (pc *pipeConn) begin(ctx context.Context) context.Context {
	pc.ctx, pc.cancel = context.WithCancel(ctx)
	go pc.run()
	return pc.ctx
}

// run reads what the client sends until the connection ends.
func (pc *pipeConn) run() {
	var buf [pipeReadBytes]byte
	for {
		num, err := pc.Conn.Read(buf[:pc.waitForRoom()])
		pc.receive(buf[:num], err)
		if err != nil {
			return
		}
	}
}

// waitForRoom waits until the buffer has room and returns how much, pipeReadBytes at most.
func (pc *pipeConn) waitForRoom() int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for !pc.discarding {
		room := pipeKeepBytes + int(pc.ahead) - pc.buffered.len()
		if room <= 0 && pc.ahead < pipeAheadBytes && pc.listener.accountant.tryPipelined(pc.listener.port, aheadStep) {
			pc.ahead += aheadStep
			room += aheadStep
		}
		if room > 0 {
			return min(room, pipeReadBytes)
		}
		pc.arrived.Wait()
	}
	return pipeReadBytes
}

// receive takes what was read. An error ends the connection and the contexts of its requests: nobody waits for their responses.
func (pc *pipeConn) receive(part []byte, err error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.discarding {
		pc.buffered.append(part)
	}
	if err != nil {
		pc.readErr = err
		pc.end()
	}
	pc.arrived.Broadcast()
}

// end marks the connection as closed: nothing more is sent or passed to the server, and its requests end. The mutex is held.
func (pc *pipeConn) end() {
	pc.closed = true
	if pc.readTimer != nil {
		pc.readTimer.Stop()
	}
	pc.discard()
	if pc.cancel != nil {
		pc.cancel()
	}
	pc.signal()
}

// discard drops what the server has not read and what still arrives. The mutex is held.
func (pc *pipeConn) discard() {
	pc.discarding = true
	pc.take(pc.buffered.len())
	pc.arrived.Broadcast()
}

// take removes bytes from the front of the buffer. The mutex is held.
func (pc *pipeConn) take(num int) {
	pc.buffered.remove(num)
	if pc.ahead > 0 && pc.buffered.len() < pipeKeepBytes/2 {
		pc.buffered.shrink()
		pc.listener.accountant.add(pc.listener.port, -pc.ahead)
		pc.ahead = 0
	}
	pc.arrived.Broadcast()
}

// SetReadDeadline implements net.Conn. The deadline is that of Read, not of the reception.
func (pc *pipeConn) SetReadDeadline(at time.Time) error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.readDeadline = at
	pc.arrived.Broadcast()
	return nil
}

// SetDeadline implements net.Conn.
func (pc *pipeConn) SetDeadline(at time.Time) error {
	if err := pc.SetReadDeadline(at); err != nil {
		return err
	}
	return pc.SetWriteDeadline(at)
}

// await waits until the buffer holds more than a number of bytes. The mutex is held.
func (pc *pipeConn) await(num int) error {
	for {
		switch {
		case pc.readErr != nil:
			return pc.readErr
		case pc.closed:
			return net.ErrClosed
		case pc.readDeadline.IsZero():
		case !time.Now().Before(pc.readDeadline):
			return os.ErrDeadlineExceeded
		}
		if pc.buffered.len() > num {
			return nil
		}
		pc.scheduleDeadline()
		pc.arrived.Wait()
	}
}

// scheduleDeadline wakes await at the read deadline. The mutex is held.
func (pc *pipeConn) scheduleDeadline() {
	if pc.readTimer != nil {
		pc.readTimer.Stop()
	}
	if pc.readDeadline.IsZero() {
		return
	}
	wait := time.Until(pc.readDeadline)
	if pc.readTimer == nil {
		pc.readTimer = time.AfterFunc(wait, func() {
			pc.mu.Lock()
			defer pc.mu.Unlock()
			pc.arrived.Broadcast()
		})
		return
	}
	pc.readTimer.Reset(wait)
}

// Read implements net.Conn.
func (pc *pipeConn) Read(buf []byte) (int, error) {
	for {
		switch pc.phase {
		case phaseHead:
			n, err := pc.readBuffered(buf)
			if err != nil && pc.extendIdle(err) {
				continue
			}
			accepted, ok := pc.splitHead(buf[:n])
			if !ok && err == nil {
				// The server reads on, to notice that the client disconnects.
				continue
			}
			return accepted, err
		case phaseHeadRead:
			if err := pc.awaitMore(); err != nil {
				return 0, err
			}
			pc.setBodyPhase()
		case phaseBody:
			n, err := pc.readBuffered(buf[:min(int64(len(buf)), pc.bodyLeft)])
			if pc.bodyLeft -= int64(n); pc.bodyLeft == 0 {
				pc.phase = phasePipelined
			}
			return n, err
		case phasePipelined:
			// The server reads in the background while a request runs, until it interrupts this with a deadline.
			return 0, pc.dispatchPipelined()
		default:
			return pc.readBuffered(buf)
		}
	}
}

// readBuffered returns bytes in the order in which they arrived.
func (pc *pipeConn) readBuffered(buf []byte) (int, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if err := pc.await(0); err != nil {
		return 0, err
	}
	num := copy(buf, pc.buffered.unread)
	pc.take(num)
	return num, nil
}

// awaitMore waits until there is something to read.
func (pc *pipeConn) awaitMore() error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	return pc.await(0)
}

// unread puts bytes back to the front of the buffer.
func (pc *pipeConn) unread(part []byte) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.buffered.prepend(part)
}

// splitHead moves bytes beyond the end of the head to the buffer and returns how many of the bytes belong to the head.
// It reports false, and drops the bytes, if the connection takes no more requests.
func (pc *pipeConn) splitHead(part []byte) (n int, ok bool) {
	if len(part) == 0 {
		return 0, true
	}
	if !pc.beginHead() {
		return 0, false
	}
	from := max(0, len(pc.head)-len(headEnd)+1)
	pc.head = append(pc.head, part...)
	end := bytes.Index(pc.head[from:], headEnd)
	if end < 0 {
		if len(pc.head) > pipeMaxHeadBytes {
			if !pc.endHead() {
				return 0, false
			}
			pc.phase, pc.head = phasePassthrough, nil
		}
		return len(part), true
	}
	headLen := from + end + len(headEnd)
	extra := len(pc.head) - headLen
	if extra > 0 {
		pc.unread(part[len(part)-extra:])
	}
	pc.head = pc.head[:headLen]
	if !pc.endHead() {
		return 0, false
	}
	pc.phase = phaseHeadRead
	return len(part) - extra, true
}

// resetHead empties the buffer of the head, and frees a large one.
func (pc *pipeConn) resetHead() {
	pc.head = pc.head[:0]
	if cap(pc.head) > pipeKeepBytes {
		pc.head = nil
	}
}

// setBodyPhase sets the phase that follows the head.
func (pc *pipeConn) setBodyPhase() {
	fr, length, _ := parseFraming(pc.head)
	pc.resetHead()
	switch fr {
	case framingNone:
		pc.phase = phasePipelined
	case framingLength:
		pc.phase, pc.bodyLeft = phaseBody, length
	default:
		pc.phase = phasePassthrough
	}
}

// dispatchPipelined dispatches pipelined requests until the read deadline passes or the connection ends. One that can't be dispatched waits,
// with all behind it, until the server reads it.
func (pc *pipeConn) dispatchPipelined() error {
	for {
		head, err := pc.awaitHead()
		if err != nil {
			return err
		}
		if head == nil || !canRunConcurrently(head) || !pc.dispatch(head) {
			return pc.awaitEnd()
		}
	}
}

// awaitHead waits for the head of the next request and returns a copy of it, without taking it. It returns nil for one that is too long to be parsed.
func (pc *pipeConn) awaitHead() ([]byte, error) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for seen := 0; ; {
		if err := pc.await(seen); err != nil {
			return nil, err
		}
		if end := bytes.Index(pc.buffered.unread, headEnd); end >= 0 {
			return slices.Clone(pc.buffered.unread[:end+len(headEnd)]), nil
		}
		if seen = pc.buffered.len(); seen >= pipeMaxHeadBytes {
			return nil, nil
		}
	}
}

// awaitEnd waits until the read deadline passes or the connection ends. What arrives meanwhile stays in the buffer, unless it can't be a request
// any more.
func (pc *pipeConn) awaitEnd() error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	for {
		if pc.closing {
			pc.take(pc.buffered.len())
		}
		if err := pc.await(pc.buffered.len()); err != nil {
			return err
		}
	}
}

// dispatch passes a request to the server on a requestConn and reports whether it did.
func (pc *pipeConn) dispatch(head []byte) bool {
	pc.mu.Lock()
	if pc.closed || pc.closing || len(pc.slots) >= pc.listener.accountant.limits.Pipelined || pc.listener.draining.Load() {
		pc.mu.Unlock()
		return false
	}
	cost := pipelinedCost + headCost(receivingFactor*int64(len(head)), bytes.Count(head, []byte{'\n'}))
	if !pc.listener.accountant.tryPipelined(pc.listener.port, cost) {
		pc.mu.Unlock()
		return false
	}
	rc := &requestConn{conn: pc, head: head, slot: &responseSlot{received: true, cost: cost}}
	rc.slot.response.isHEAD = isHEAD(head)
	pc.slots = append(pc.slots, rc.slot)
	pc.take(len(head))
	pc.mu.Unlock()
	if pc.listener.offer(rc) {
		return true
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.buffered.prepend(head)
	pc.listener.accountant.add(pc.listener.port, -cost)
	pc.slots = slices.DeleteFunc(pc.slots, func(rs *responseSlot) bool { return rs == rc.slot })
	return false
}

// extendIdle extends the read deadline of an idle connection while dispatched requests still run, and reports whether it did.
func (pc *pipeConn) extendIdle(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	pc.mu.Lock()
	extend := pc.current == nil && len(pc.slots) > 0 && !pc.closed
	pc.mu.Unlock()
	return extend && pc.SetReadDeadline(time.Now().Add(pc.listener.idleTimeout)) == nil
}
