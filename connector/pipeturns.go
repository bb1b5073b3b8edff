package connector

import (
	"net"
	"time"
)

// pipeBye is for how long the client can read the last answer before its connection is closed.
const pipeBye = 500 * time.Millisecond

// turn is one request's place in the order of answers.
type turn struct {
	over   bool // its answer is out
	closes bool // nothing may follow its answer
}

// begin notes that the server reads the head of a request.
func (ld *lead) begin() {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	switch {
	case ld.own == nil:
		ld.own = &turn{}
		ld.turns = append(ld.turns, ld.own)
	case ld.next == nil && len(ld.head) == 0:
		ld.next = &turn{}
		ld.turns = append(ld.turns, ld.next)
	}
}

// Write implements net.Conn.
func (ld *lead) Write(buf []byte) (int, error) {
	ld.mu.Lock()
	own := ld.own
	ld.mu.Unlock()
	return ld.write(own, buf)
}

// write waits for a turn and writes.
func (ld *lead) write(tn *turn, buf []byte) (int, error) {
	for {
		ld.mu.Lock()
		first := len(ld.turns) == 0 || ld.turns[0] == tn
		gone, changed := ld.gone, ld.changed
		ld.mu.Unlock()
		switch {
		case first:
			return ld.Conn.Write(buf)
		case gone:
			return 0, net.ErrClosed
		}
		<-changed
	}
}

// idle notes that the answer on the lead is out and that the server waits for the next request.
func (ld *lead) idle() {
	ld.mu.Lock()
	if ld.own != nil {
		ld.own.over = true
	}
	ld.own, ld.next = ld.next, nil
	ld.advance()
	ld.mu.Unlock()
	if ld.phase == phaseWhole || ld.phase == phaseBehind {
		ld.phase, ld.head = phaseHead, ld.head[:0]
	}
}

// end notes that a turn is over, and with it the connection unless whole. Of a turn that is over it changes nothing.
func (ld *lead) end(tn *turn, whole bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	if tn.over {
		return
	}
	tn.over = true
	tn.closes = tn.closes || !whole
	ld.advance()
}

// advance goes on to the first turn that is not over. The mutex is held.
func (ld *lead) advance() {
	for len(ld.turns) > 0 && ld.turns[0].over {
		closes := ld.turns[0].closes
		ld.turns = ld.turns[1:]
		if closes {
			ld.shut()
			break
		}
	}
	ld.signal()
}

// shut closes the client's connection, once the client can have read what was written. The mutex is held.
func (ld *lead) shut() {
	ld.gone = true
	if cw, ok := ld.Conn.(interface{ CloseWrite() error }); ok && cw.CloseWrite() == nil {
		time.AfterFunc(pipeBye, func() { _ = ld.Conn.Close() })
		return
	}
	_ = ld.Conn.Close()
}

// signal wakes who waits for a change. The mutex is held.
func (ld *lead) signal() {
	close(ld.changed)
	ld.changed = make(chan struct{})
}

// CloseWrite ends the sending side.
func (ld *lead) CloseWrite() error {
	if cw, ok := ld.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. Answers that are still to come go out first.
func (ld *lead) Close() error {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	behind := len(ld.turns) - 1
	switch {
	case ld.gone || behind < 0 || ld.own != nil && ld.turns[0] == ld.own:
		ld.gone = true
		ld.signal()
		return ld.Conn.Close()
	case ld.own != nil:
		ld.own.over, ld.own.closes = true, true
	default:
		ld.turns[behind].closes = true
	}
	return nil
}
