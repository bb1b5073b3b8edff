package connector

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pipeListener lets a Server run side by side what a client sends on one connection without waiting for answers (HTTP/1.1
// pipelining), which net/http runs one after the other. Each connection that it accepts becomes a lead. A request that
// comes while an earlier one runs is handed to the server on a follower, a connection that exists in memory only.
// Answers go out in the order of the requests.
type pipeListener struct {
	net.Listener
	idleTime time.Duration
	// draining tells that nothing more is run side by side: an answer that asks the client to go elsewhere is the last.
	draining *atomic.Bool
	conns    chan net.Conn
	failed   chan error
	closed   chan struct{}
	once     sync.Once
}

func newPipeListener(ln net.Listener, idle time.Duration, draining *atomic.Bool) *pipeListener {
	pl := &pipeListener{
		Listener: ln, idleTime: idle, draining: draining,
		conns: make(chan net.Conn), failed: make(chan error), closed: make(chan struct{}),
	}
	go pl.run()
	return pl
}

// run accepts connections until the listener is closed.
func (pl *pipeListener) run() {
	for {
		cn, err := pl.Listener.Accept()
		if err == nil {
			if !pl.offer(&lead{Conn: cn, listener: pl, changed: make(chan struct{})}) {
				_ = cn.Close()
				return
			}
			continue
		}
		select {
		case pl.failed <- err:
		case <-pl.closed:
			return
		}
	}
}

// offer hands a connection to the server; it reports false once the listener is closed.
func (pl *pipeListener) offer(cn net.Conn) bool {
	select {
	case pl.conns <- cn:
		return true
	case <-pl.closed:
		return false
	}
}

// Accept implements net.Listener.
func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case cn := <-pl.conns:
		return cn, nil
	case err := <-pl.failed:
		return nil, err
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.closed) })
	return pl.Listener.Close()
}
