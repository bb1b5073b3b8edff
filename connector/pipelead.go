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
	pipeTurns = 32      // requests of one connection that run at one time
	pipeRead  = 2 << 10 // bytes read at once behind a request
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
	return ld.more(buf)
}

// more reads once and adds it to what is left over.
func (ld *lead) more(buf []byte) error {
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
			if err := ld.more(make([]byte, pipeRead)); err != nil {
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
	fl := &follower{lead: ld, head: head, turn: &turn{}}
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
