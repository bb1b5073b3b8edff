package connector

import (
	"bytes"
	"net"
	"slices"
	"time"
)

// pipeLinger is how long the client can read the last response before its connection is closed.
const pipeLinger = 500 * time.Millisecond

// responseSlot is the place of one request in the order of responses.
type responseSlot struct {
	response   pipedResponse
	received   bool  // the whole head of the request was passed to the server
	done       bool  // the response was sent
	closesConn bool  // the connection is closed after the response
	cost       int64 // charged for a pipelined request
}

// beginHead adds a slot when the server begins to read the head of a request. It reports false if the connection takes no more requests.
func (pc *pipeConn) beginHead() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closing {
		return false
	}
	if pc.current == nil {
		pc.current = &responseSlot{}
		pc.slots = append(pc.slots, pc.current)
	}
	return true
}

// endHead records that the head in progress is complete, or too long to be parsed. It reports false if the connection takes no more requests.
func (pc *pipeConn) endHead() bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.closing {
		return false
	}
	pc.current.received = true
	pc.current.response.isHEAD = isHEAD(pc.head)
	return true
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
			return pc.writeResponse(rs, buf)
		case closed:
			return 0, net.ErrClosed
		}
		<-changed
	}
}

// writeResponse writes a part of the response whose turn it is. The slot is nil after a head that was not parsed.
func (pc *pipeConn) writeResponse(rs *responseSlot, buf []byte) (int, error) {
	if rs == nil {
		return pc.Conn.Write(buf)
	}
	pc.mu.Lock()
	out := rs.response.next(buf, func(head []byte) []byte { return pc.editHead(rs, head) })
	pc.mu.Unlock()
	if len(out) == 0 {
		return len(buf), nil
	}
	if _, err := pc.Conn.Write(out); err != nil {
		pc.mu.Lock()
		defer pc.mu.Unlock()
		rs.response.opaque = true
		return 0, err
	}
	return len(buf), nil
}

// editHead announces the end of the connection in the response to the last request that the server has received, and in no other:
// what comes after that response is lost, although upstreams may run the requests. The mutex is held.
func (pc *pipeConn) editHead(rs *responseSlot, head []byte) []byte {
	closes := bytes.Contains(head, closeField)
	if closes {
		pc.endRequests(rs)
	}
	last := len(pc.slots) == 0 || pc.slots[len(pc.slots)-1] == rs
	switch {
	case closes && !last:
		return withoutClose(head)
	case pc.closing && last && !closes:
		return withClose(head)
	default:
		return head
	}
}

// endRequests makes the connection take no more requests and end after the response to the last one. A request whose head is
// incomplete is dropped, unless it is the given one, which is being answered. The mutex is held.
func (pc *pipeConn) endRequests(answered *responseSlot) {
	pc.closing = true
	pc.slots = slices.DeleteFunc(pc.slots, func(rs *responseSlot) bool { return !rs.received && rs != answered })
	if len(pc.slots) > 0 {
		pc.slots[len(pc.slots)-1].closesConn = true
	}
}

// idle records that the response on this connection was sent and that the server waits for the next request.
func (pc *pipeConn) idle() {
	pc.mu.Lock()
	if pc.current != nil {
		pc.current.done = true
	}
	pc.current = nil
	pc.advance()
	pc.mu.Unlock()
	if pc.phase == phaseHeadRead || pc.phase == phasePipelined {
		pc.phase = phaseHead
		pc.resetHead()
	}
}

// finish marks a slot as done, and the connection to be closed after it unless the response is complete or the server would serve
// another request after it. It does not change a slot that is done already.
func (pc *pipeConn) finish(rs *responseSlot, reusable bool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if rs.done {
		return
	}
	rs.done = true
	pc.listener.accountant.add(pc.listener.port, -rs.cost)
	rs.closesConn = rs.closesConn || !reusable && !rs.response.complete()
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
	pc.end()
	if cw, ok := pc.Conn.(interface{ CloseWrite() error }); ok && cw.CloseWrite() == nil {
		pc.lingering = true
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

// Close implements net.Conn. The server calls it after a response or on an idle connection, also while requests on requestConns run.
// Responses that are still due are sent first; one that is not complete ends the connection in its place.
func (pc *pipeConn) Close() error {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if !pc.closed {
		pc.endRequests(nil)
		if rs := pc.current; rs != nil && !rs.done {
			rs.done, rs.closesConn = true, rs.closesConn || !rs.response.complete()
		}
		if len(pc.slots) > 0 && !pc.slots[0].closesConn {
			pc.advance()
		}
	}
	if pc.lingering {
		return nil
	}
	if pc.closed || len(pc.slots) == 0 || pc.slots[0].done {
		pc.end()
		return pc.Conn.Close()
	}
	pc.discard()
	return nil
}

// abort ends the connection at once, with all its requests.
func (pc *pipeConn) abort() {
	pc.mu.Lock()
	pc.end()
	pc.mu.Unlock()
	abortConn(pc.Conn)
}
