package connector

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// limitListener limits the number of open connections, of the port and of the process: beyond it, Accept waits until one is closed.
// A caller's connection beyond the limit of its address is closed.
type limitListener struct {
	net.Listener
	slots      chan struct{}
	writeStall time.Duration
	accountant *Accountant
	port       Port
	receive    int // buffers of the kernel, or 0 for its choice
	send       int
	refuse     func(cause)
	closed     chan struct{}
	once       sync.Once
}

func newLimitListener(ln net.Listener, cf *config, refuse func(cause)) *limitListener {
	return &limitListener{
		Listener:   ln,
		slots:      make(chan struct{}, cf.maxConns),
		writeStall: cf.writeStall,
		accountant: cf.accountant,
		port:       cf.port,
		receive:    cf.receiveBuffer,
		send:       cf.sendBuffer,
		refuse:     refuse,
		closed:     make(chan struct{}),
	}
}

// Accept implements net.Listener.
func (ll *limitListener) Accept() (net.Conn, error) {
	for {
		select {
		case ll.slots <- struct{}{}:
		case <-ll.closed:
			return nil, net.ErrClosed
		}
		if !ll.accountant.acquireConn(ll.port, ll.closed) {
			<-ll.slots
			return nil, net.ErrClosed
		}
		cn, err := ll.Listener.Accept()
		if err != nil {
			ll.release(netip.Addr{})
			return nil, err
		}
		client, ok := ll.countClient(cn)
		if !ok {
			_ = cn.Close()
			ll.release(netip.Addr{})
			ll.refuse(causeClient)
			continue
		}
		share := ll.accountant.kernelShare()
		setBuffers(cn, min(ll.receive, share), min(ll.send, share))
		var once sync.Once
		release := func() { once.Do(func() { ll.release(client) }) }
		return &stallConn{Conn: cn, writeStall: ll.writeStall, onClose: release}, nil
	}
}

// countClient counts a caller's connection and reports whether its address may have it. The address is invalid if it was not counted.
func (ll *limitListener) countClient(cn net.Conn) (netip.Addr, bool) {
	if ll.port != PortCallers {
		return netip.Addr{}, true
	}
	at, err := netip.ParseAddrPort(cn.RemoteAddr().String())
	if err != nil {
		// Only connections in memory have other addresses.
		return netip.Addr{}, true
	}
	return at.Addr(), ll.accountant.countClient(at.Addr())
}

func (ll *limitListener) release(client netip.Addr) {
	ll.accountant.releaseConn(ll.port, client)
	<-ll.slots
}

// Close implements net.Listener.
func (ll *limitListener) Close() error {
	ll.once.Do(func() { close(ll.closed) })
	return ll.Listener.Close()
}
