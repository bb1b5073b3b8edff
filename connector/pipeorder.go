package connector

import (
	"net"
	"time"
)

// pipeLinger is how long the client can read the last response before its connection is closed.
const pipeLinger = 500 * time.Millisecond

// responseSlot is the place of one request in the order of responses.
type responseSlot struct {
	done       bool  // the response was sent
	closesConn bool  // the connection is closed after the response
	cost       int64 // charged for a pipelined request
}

// beginHead adds a slot when the server begins to read the head of a request.
func (pc *pipeConn) beginHead() {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	switch {
	case pc.current == nil:
		pc.current = &responseSlot{}
		pc.slots = append(pc.slots, pc.current)
	case pc.next == nil && len(pc.head) == 0:
		pc.next = &responseSlot{}
		pc.slots = append(pc.slots, pc.next)
	}
}

// Write implements net.Conn.
func (pc *pipeConn) Write(buf []byte) (int, error) {
	pc.mu.Lock()
	current := pc.current
	pc.mu.Unlock()
	return pc.writeInTurn(current, buf)
}

// writeInTurn waits until a slot is the first one and writes.
func (pc *pipeConn) writeInTurn(rs *responseSlot, buf []byte) (int, error) {
	for {
		pc.mu.Lock()
		first := len(pc.slots) == 0 || pc.slots[0] == rs
		closed, changed := pc.closed, pc.changed
		pc.mu.Unlock()
		switch {
		case first:
			return pc.Conn.Write(buf)
		case closed:
			return 0, net.ErrClosed
		}
		<-changed
	}
}

// idle records that the response on this connection was sent and that the server waits for the next request.
func (pc *pipeConn) idle() {
	pc.mu.Lock()
	if pc.current != nil {
		pc.current.done = true
	}
	pc.current, pc.next = pc.next, nil
	pc.advance()
	pc.mu.Unlock()
	if pc.phase == phaseHeadRead || pc.phase == phasePipelined {
		pc.phase = phaseHead
		pc.resetHead()
	}
}

// finish marks a slot as done, and the connection to be closed after it unless the response is whole.
// It does not change a slot that is done already.
func (pc *pipeConn) finish(rs *responseSlot, whole bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if rs.done {
		return
	}
	rs.done = true
	pc.listener.accountant.add(pc.listener.port, -rs.cost)
	rs.closesConn = rs.closesConn || !whole
	pc.advance()
}

// advance removes the slots that are done from the front. The mutex is held.
func (pc *pipeConn) advance() {
	for len(pc.slots) > 0 && pc.slots[0].done {
		closesConn := pc.slots[0].closesConn
		pc.slots = pc.slots[1:]
		if closesConn {
			pc.closeGracefully()
			break
		}
	}
	pc.signal()
}

// closeGracefully closes the client's connection after leaving the client time to read what was written. The mutex is held.
func (pc *pipeConn) closeGracefully() {
	pc.closed = true
	if cw, ok := pc.Conn.(interface{ CloseWrite() error }); ok && cw.CloseWrite() == nil {
		time.AfterFunc(pipeLinger, func() { _ = pc.Conn.Close() })
		return
	}
	_ = pc.Conn.Close()
}

// signal wakes all goroutines that wait for a change. The mutex is held.
func (pc *pipeConn) signal() {
	close(pc.changed)
	pc.changed = make(chan struct{})
}

// CloseWrite closes the sending side if the connection supports it.
func (pc *pipeConn) CloseWrite() error {
	if cw, ok := pc.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Responses that are still due are sent first.
func (pc *pipeConn) Close() error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	last := len(pc.slots) - 1
	switch {
	case pc.closed || last < 0 || pc.current != nil && pc.slots[0] == pc.current:
		pc.closed = true
		pc.signal()
		return pc.Conn.Close()
	case pc.current != nil:
		pc.current.done, pc.current.closesConn = true, true
	default:
		pc.slots[last].closesConn = true
	}
	return nil
}
