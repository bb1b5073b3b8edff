package connector

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// Bounds of pipelining.
const (
	pipeTurns = 32                     // requests of one connection that run at one time
	pipeRead  = 2 << 10                // bytes read at once behind a request
	pipeBye   = 500 * time.Millisecond // for which the client can read the last answer before its connection is closed
)

// phase says which part of a request the server reads next from a lead.
type phase uint8

const (
	phaseHead  phase = iota
	phaseWhole       // the head was read; whether a body follows is looked at once there is more
	phaseBody
	phaseBehind // the request was read; what comes now is behind it
	phaseOpaque // all bytes go to the server as they come, for good
)

// turn is one request's place in the order of answers.
type turn struct {
	over   bool // its answer is out
	closes bool // nothing may follow its answer
}

// lead is a client's connection as the server sees it. Behind a request that runs, it looks for further ones.
type lead struct {
	net.Conn
	listener *pipeListener

	// One goroutine at a time reads.
	phase phase
	head  []byte // of the request that is read
	rest  []byte // read from the client, not yet by the server
	left  int64  // bytes of the body
	one   [1]byte

	mu    sync.Mutex
	turns []*turn
	// own is the turn of the request that the server runs on the lead, next that of the one whose head it reads meanwhile.
	own, next *turn
	gone      bool
	// changed is closed, and replaced, at each change.
	changed chan struct{}
}

// Read implements net.Conn.
func (ld *lead) Read(buf []byte) (int, error) {
	for {
		switch ld.phase {
		case phaseHead:
			n, err := ld.plain(buf)
			if err != nil && ld.waits(err) {
				continue
			}
			return ld.cut(buf[:n]), err
		case phaseWhole:
			if err := ld.fill(len(buf)); err != nil {
				return 0, err
			}
			ld.look()
		case phaseBody:
			n, err := ld.plain(buf[:min(int64(len(buf)), ld.left)])
			if ld.left -= int64(n); ld.left == 0 {
				ld.phase = phaseBehind
			}
			return n, err
		case phaseBehind:
			if err := ld.behind(); err != nil {
				return 0, err
			}
		default:
			return ld.plain(buf)
		}
	}
}

// plain reads what is left over, or from the client.
func (ld *lead) plain(buf []byte) (int, error) {
	if len(ld.rest) > 0 {
		n := copy(buf, ld.rest)
		ld.rest = ld.rest[n:]
		return n, nil
	}
	n, err := ld.Conn.Read(buf)
	ld.noteEnd(err)
	return n, err
}

// fill has something left over, up to a size where it has to read.
func (ld *lead) fill(size int) error {
	if len(ld.rest) > 0 {
		return nil
	}
	buf := ld.one[:]
	if size > 1 {
		buf = make([]byte, min(size, pipeRead))
	}
	n, err := ld.Conn.Read(buf)
	ld.rest = append(ld.rest[:0], buf[:n]...)
	ld.noteEnd(err)
	if n > 0 {
		return nil
	}
	return err
}

// more adds to what is left over.
func (ld *lead) more() error {
	buf := make([]byte, pipeRead)
	n, err := ld.Conn.Read(buf)
	ld.rest = append(ld.rest, buf[:n]...)
	ld.noteEnd(err)
	if n > 0 {
		return nil
	}
	return err
}

// cut keeps back what lies beyond the head and returns how much of the bytes is the head's.
func (ld *lead) cut(part []byte) int {
	if len(part) == 0 {
		return 0
	}
	ld.begin()
	from := max(0, len(ld.head)-len(headEnd)+1)
	ld.head = append(ld.head, part...)
	end := bytes.Index(ld.head[from:], headEnd)
	if end < 0 {
		if len(ld.head) > pipeHeadMax {
			ld.phase, ld.head = phaseOpaque, nil
		}
		return len(part)
	}
	whole := from + end + len(headEnd)
	over := len(ld.head) - whole
	if over > 0 {
		ld.rest = append(slices.Clone(part[len(part)-over:]), ld.rest...)
	}
	ld.head = ld.head[:whole]
	ld.phase = phaseWhole
	return len(part) - over
}

// look decides what follows the head.
func (ld *lead) look() {
	fr, length, _ := frame(ld.head)
	ld.head = ld.head[:0]
	switch fr {
	case framingNone:
		ld.phase = phaseBehind
	case framingLength:
		ld.phase, ld.left = phaseBody, length
	default:
		ld.phase = phaseOpaque
	}
}

// behind hands requests that come behind one that runs to followers. It returns without an error
// once there is something that the server has to read itself.
func (ld *lead) behind() error {
	for {
		if err := ld.fill(1); err != nil {
			return err
		}
		end := bytes.Index(ld.rest, headEnd)
		if end < 0 && len(ld.rest) <= pipeHeadMax {
			if err := ld.more(); err != nil {
				return err
			}
			continue
		}
		if end >= 0 {
			head := slices.Clone(ld.rest[:end+len(headEnd)])
			if sideBySide(head) && ld.follow(head) {
				ld.rest = ld.rest[len(head):]
				continue
			}
		}
		ld.phase = phaseHead
		return nil
	}
}

// follow hands a request to the server on a connection of its own.
func (ld *lead) follow(head []byte) bool {
	ld.mu.Lock()
	if ld.gone || len(ld.turns) >= pipeTurns || ld.listener.draining.Load() {
		ld.mu.Unlock()
		return false
	}
	fl := &follower{lead: ld, head: head, wake: make(chan struct{}), turn: &turn{}}
	ld.turns = append(ld.turns, fl.turn)
	ld.mu.Unlock()
	if ld.listener.offer(fl) {
		return true
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.turns = slices.DeleteFunc(ld.turns, func(tn *turn) bool { return tn == fl.turn })
	return false
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

// waits reports whether an idle lead goes on though its time is over, as followers still run.
func (ld *lead) waits(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	ld.mu.Lock()
	waits := ld.own == nil && len(ld.turns) > 0 && !ld.gone
	ld.mu.Unlock()
	return waits && ld.Conn.SetReadDeadline(time.Now().Add(ld.listener.idleTime)) == nil
}

// noteEnd notes that the client has gone.
func (ld *lead) noteEnd(err error) {
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.gone = true
	ld.signal()
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

// end notes that a turn is over, and with it the connection unless whole.
func (ld *lead) end(tn *turn, whole bool) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
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
