// Package emulator provides an in-memory network for tests and for the embedded demo.
// On request of the caller it delays, cuts and freezes connections and crashes hosts.
// It blocks only on channels and timers, so that it runs inside a testing/synctest bubble.
// TCP's own timers (keep-alive, user timeout) are not emulated.
package emulator

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// acceptBacklog limits the connections that wait to be accepted at one address.
const acceptBacklog = 1024

// Network connects hosts. It is safe for concurrent use. The zero value is not usable; call New.
type Network struct {
	mu        sync.Mutex
	delays    map[domainLink]time.Duration
	cuts      map[hostLink]bool
	listeners map[netip.AddrPort]*listener
	conns     map[*conn]struct{}
	// cutsChanged is closed and replaced when cuts are made or healed.
	cutsChanged chan struct{}
}

type domainLink struct{ from, to gypsumhoist.FailureDomain }

type hostLink struct{ from, to netip.Addr }

// New returns a network without hosts.
func New() *Network {
	return &Network{
		delays:      map[domainLink]time.Duration{},
		cuts:        map[hostLink]bool{},
		listeners:   map[netip.AddrPort]*listener{},
		conns:       map[*conn]struct{}{},
		cutsChanged: make(chan struct{}),
	}
}

// Host returns a connector.Network that dials from, and listens at, an address in a failure domain.
func (nw *Network) Host(addr netip.Addr, fd gypsumhoist.FailureDomain) *Host {
	return &Host{network: nw, addr: addr, domain: fd}
}

// SetDelay sets the one-way delay between two failure domains, in both directions.
// It applies to connections that are dialled afterwards.
func (nw *Network) SetDelay(fa, fb gypsumhoist.FailureDomain, d time.Duration) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.delays[domainLink{fa, fb}] = d
	nw.delays[domainLink{fb, fa}] = d
}

// Cut silently blocks traffic from one set of addresses to another.
// Bytes that are sent meanwhile arrive after Heal. New connections wait.
func (nw *Network) Cut(from, to []netip.Addr) { nw.setCut(from, to, true) }

// CutBoth cuts two sets of addresses from each other in both directions.
func (nw *Network) CutBoth(as, bs []netip.Addr) {
	nw.Cut(as, bs)
	nw.Cut(bs, as)
}

// Heal ends cuts from one set of addresses to another.
func (nw *Network) Heal(from, to []netip.Addr) { nw.setCut(from, to, false) }

// HealBoth ends cuts between two sets of addresses in both directions.
func (nw *Network) HealBoth(as, bs []netip.Addr) {
	nw.Heal(as, bs)
	nw.Heal(bs, as)
}

// Freeze permanently and silently blocks the present connections between two sets of addresses.
// New connections work.
func (nw *Network) Freeze(as, bs []netip.Addr) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for cn := range nw.conns {
		from, to := cn.local.Addr(), cn.remote.Addr()
		if slices.Contains(as, from) && slices.Contains(bs, to) || slices.Contains(bs, from) && slices.Contains(as, to) {
			cn.out.freeze()
		}
	}
}

// Crash resets all connections of an address and closes its listeners.
// Dials to it are refused until it listens again.
func (nw *Network) Crash(addr netip.Addr) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for ap, ln := range nw.listeners {
		if ap.Addr() == addr {
			ln.closeAndReset()
			delete(nw.listeners, ap)
		}
	}
	for cn := range nw.conns {
		if cn.local.Addr() == addr {
			cn.out.reset()
			cn.in.reset()
			delete(nw.conns, cn)
		}
	}
}

func (nw *Network) setCut(from, to []netip.Addr, on bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	for _, fa := range from {
		for _, ta := range to {
			nw.cuts[hostLink{fa, ta}] = on
		}
	}
	for cn := range nw.conns {
		cn.out.hold(nw.cuts[hostLink{cn.local.Addr(), cn.remote.Addr()}])
	}
	close(nw.cutsChanged)
	nw.cutsChanged = make(chan struct{})
}

// awaitUncut blocks until neither direction between two addresses is cut.
func (nw *Network) awaitUncut(ctx context.Context, fa, ta netip.Addr) error {
	for {
		nw.mu.Lock()
		cut := nw.cuts[hostLink{fa, ta}] || nw.cuts[hostLink{ta, fa}]
		changed := nw.cutsChanged
		nw.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// connect returns the near end of a new connection and queues the far end at its listener.
func (nw *Network) connect(hs *Host, local, remote netip.AddrPort) (net.Conn, error) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	ln := nw.listeners[remote]
	if ln == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	delay := nw.delays[domainLink{hs.domain, ln.host.domain}]
	outbound := newStream(delay, hs)
	inbound := newStream(delay, ln.host)
	near := &conn{network: nw, local: local, remote: remote, in: inbound, out: outbound}
	far := &conn{network: nw, local: remote, remote: local, in: outbound, out: inbound}
	if !ln.enqueue(far) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	nw.conns[near] = struct{}{}
	nw.conns[far] = struct{}{}
	return near, nil
}

func (nw *Network) delay(from, to gypsumhoist.FailureDomain) time.Duration {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.delays[domainLink{from, to}]
}
