package connector

import (
	"net"
	"sync"
	"time"
)

// limitListener limits the number of open connections: beyond it, Accept waits until one is closed.
type limitListener struct {
	net.Listener
	slots      chan struct{}
	writeStall time.Duration
	closed     chan struct{}
	once       sync.Once
}

func newLimitListener(ln net.Listener, limit int, writeStall time.Duration) *limitListener {
	return &limitListener{
		Listener:   ln,
		slots:      make(chan struct{}, limit),
		writeStall: writeStall,
		closed:     make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (ll *limitListener) Accept() (net.Conn, error) {
	select {
	case ll.slots <- struct{}{}:
	case <-ll.closed:
		return nil, net.ErrClosed
	}
	cn, err := ll.Listener.Accept()
	if err != nil {
		<-ll.slots
		return nil, err
	}
	var once sync.Once
	release := func() { once.Do(func() { <-ll.slots }) }
	return &stallConn{Conn: cn, writeStall: ll.writeStall, onClose: release}, nil
}

// Close implements net.Listener.
func (ll *limitListener) Close() error {
	ll.once.Do(func() { close(ll.closed) })
	return ll.Listener.Close()
}
