package connector

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// dialAttempts is the number of dials before a peer counts as unreachable, as one SYN packet may be lost.
const dialAttempts = 2

// overrunDivisor limits how late a timeout may fire: one that is more than bound/overrunDivisor late is ignored,
// as this process itself was not running, which says nothing about the peer.
const overrunDivisor = 2

func (pp *PeerPool) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	cn, err := pp.dialPeer(ctx, to)
	if err != nil {
		return nil, err
	}
	return pp.addConn(cn, to)
}

// dialPeer opens a connection within dialAttempts times the usual connect time and reports the outcome to the PathMonitor.
func (pp *PeerPool) dialPeer(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	bound := min(pp.config.dialTimeout/dialAttempts, pp.config.pathMonitor.ConnectBound(to))
	from := time.Now()
	ctx, cancel := context.WithTimeout(ctx, dialAttempts*bound)
	defer cancel()
	cn, err := pp.dialTwice(ctx, to, bound)
	took := time.Since(from)
	switch {
	case err == nil:
		pp.config.pathMonitor.Connected(to, took)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		pp.config.pathMonitor.Refused(to)
	case !errors.Is(ctx.Err(), context.Canceled) && took < dialAttempts*bound+bound/overrunDivisor:
		pp.config.pathMonitor.TimedOut(to, from)
	}
	return cn, err
}

// dialResult is the outcome of one dial.
type dialResult struct {
	conn net.Conn
	err  error
}

// dialTwice dials, and dials a second time after the bound. It returns the first connection, or an error once no dial is pending.
func (pp *PeerPool) dialTwice(ctx context.Context, to netip.AddrPort, bound time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult, dialAttempts)
	retry := time.NewTimer(bound)
	defer retry.Stop()
	pending := 1
	go pp.runDial(ctx, to, results)
	for {
		select {
		case <-retry.C:
			pending++
			go pp.runDial(ctx, to, results)
		case result := <-results:
			pending--
			if result.err != nil && pending > 0 {
				continue
			}
			cancel()
			pp.closeLate(results, pending)
			return result.conn, result.err
		}
	}
}

func (pp *PeerPool) runDial(ctx context.Context, to netip.AddrPort, results chan<- dialResult) {
	pp.dials.Inc()
	cn, err := pp.config.network.Dial(ctx, to)
	results <- dialResult{conn: cn, err: err}
}

// closeLate closes the connections of pending dials once they are open, as another connection was taken.
func (pp *PeerPool) closeLate(results <-chan dialResult, pending int) {
	if pending == 0 {
		return
	}
	go func() {
		for range pending {
			if result := <-results; result.conn != nil {
				_ = result.conn.Close()
			}
		}
	}()
}
