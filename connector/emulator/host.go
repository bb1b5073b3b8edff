package emulator

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// firstPort is the lowest ephemeral port of a host that dials.
const firstPort = 32768

// Host is one address of a Network. It implements connector.Network and is safe for concurrent use.
type Host struct {
	network   *Network
	addr      netip.Addr
	domain    gypsumhoist.FailureDomain
	portCount atomic.Uint32
	sent      atomic.Uint64
	writes    atomic.Uint64
	dials     atomic.Uint64
}

// Sent returns the number of bytes that the host has sent.
func (hs *Host) Sent() uint64 { return hs.sent.Load() }

// Writes returns the number of writes by the host to its connections.
func (hs *Host) Writes() uint64 { return hs.writes.Load() }

// Dials returns the number of connections that the host has tried to open.
func (hs *Host) Dials() uint64 { return hs.dials.Load() }

// Dial implements connector.Network.
func (hs *Host) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	hs.dials.Add(1)
	if err := hs.network.awaitUncut(ctx, hs.addr, addr.Addr()); err != nil {
		return nil, err
	}
	roundTrip := 2 * hs.network.delay(hs.domain, hs.network.domainAt(addr))
	tm := time.NewTimer(roundTrip)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-tm.C:
	}
	port := firstPort + hs.portCount.Add(1)%(1<<16-firstPort)
	return hs.network.connect(hs, netip.AddrPortFrom(hs.addr, uint16(port)), addr)
}

// Listen implements connector.Network. Only the port of the address is used.
func (hs *Host) Listen(addr netip.AddrPort) (net.Listener, error) {
	ap := netip.AddrPortFrom(hs.addr, addr.Port())
	hs.network.mu.Lock()
	defer hs.network.mu.Unlock()
	if hs.network.listeners[ap] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: syscall.EADDRINUSE}
	}
	ln := &listener{host: hs, addr: ap, queue: make(chan *conn, acceptBacklog), closed: make(chan struct{})}
	hs.network.listeners[ap] = ln
	return ln, nil
}

func (nw *Network) domainAt(addr netip.AddrPort) gypsumhoist.FailureDomain {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if ln := nw.listeners[addr]; ln != nil {
		return ln.host.domain
	}
	return ""
}

type listener struct {
	host   *Host
	addr   netip.AddrPort
	queue  chan *conn
	closed chan struct{}
	once   sync.Once
}

func (ln *listener) enqueue(cn *conn) bool {
	select {
	case <-ln.closed:
		return false
	case ln.queue <- cn:
		return true
	default:
		return false
	}
}

// closeAndReset closes the listener and resets the connections that were not accepted. The network's mutex is held.
func (ln *listener) closeAndReset() {
	ln.once.Do(func() { close(ln.closed) })
	for {
		select {
		case cn := <-ln.queue:
			cn.out.reset()
			cn.in.reset()
			delete(ln.host.network.conns, cn)
		default:
			return
		}
	}
}

// Accept implements net.Listener.
func (ln *listener) Accept() (net.Conn, error) {
	select {
	case <-ln.closed:
		return nil, net.ErrClosed
	case cn := <-ln.queue:
		return cn, nil
	}
}

// Close implements net.Listener.
func (ln *listener) Close() error {
	ln.host.network.mu.Lock()
	defer ln.host.network.mu.Unlock()
	if ln.host.network.listeners[ln.addr] == ln {
		delete(ln.host.network.listeners, ln.addr)
	}
	ln.closeAndReset()
	return nil
}

// Addr implements net.Listener.
func (ln *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(ln.addr) }
