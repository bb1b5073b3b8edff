package connector

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// pipeListener lets a Server run pipelined HTTP/1.1 requests concurrently, which net/http runs one after the other.
// Each accepted connection becomes a pipeConn. A request that arrives while an earlier one runs is passed to the server
// on a requestConn, a connection that exists in memory only. Responses are sent in the order of the requests.
type pipeListener struct {
	net.Listener
	idleTimeout time.Duration
	// draining stops concurrent execution: a response with "Connection: close" must be the last one.
	draining   *atomic.Bool
	accountant *Accountant
	port       Port
	conns      chan net.Conn
	errs       chan error
	closed     chan struct{}
	once       sync.Once
}

func newPipeListener(ln net.Listener, cf *config, draining *atomic.Bool) *pipeListener {
	pl := &pipeListener{
		Listener: ln, idleTimeout: cf.idleTimeout, draining: draining, accountant: cf.accountant, port: cf.port,
		conns: make(chan net.Conn), errs: make(chan error), closed: make(chan struct{}),
	}
	go pl.run()
	return pl
}

// run accepts connections until the listener is closed.
func (pl *pipeListener) run() {
	for {
		cn, err := pl.Listener.Accept()
		if err == nil {
			if !pl.offer(newPipeConn(cn, pl)) {
				_ = cn.Close()
				return
			}
			continue
		}
		select {
		case pl.errs <- err:
		case <-pl.closed:
			return
		}
	}
}

// offer passes a connection to the server; it reports false once the listener is closed.
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
	case err := <-pl.errs:
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
