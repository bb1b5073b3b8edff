package connector

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"
)

// dialTries is how often a connection is asked for before the peer counts as unreachable: one opening packet may be lost.
const dialTries = 2

// lateParts is by which part of a bound it may be overrun; one overrun by more was missed because this process itself did not run.
const lateParts = 2

func (pp *PeerPool) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	cn, err := pp.open(ctx, to)
	if err != nil {
		return nil, err
	}
	return pp.keep(cn, to)
}

// open opens a connection within the time that this usually takes, asking twice, and says how it went.
func (pp *PeerPool) open(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	bound := min(pp.config.dialTimeout/dialTries, pp.config.paths.ConnectBound(to))
	from := time.Now()
	ctx, cancel := context.WithTimeout(ctx, dialTries*bound)
	defer cancel()
	cn, err := pp.race(ctx, to, bound)
	took := time.Since(from)
	switch {
	case err == nil:
		pp.config.paths.Connected(to, took)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		pp.config.paths.Refused(to)
	case !errors.Is(ctx.Err(), context.Canceled) && took < dialTries*bound+bound/lateParts:
		pp.config.paths.TimedOut(to, from)
	}
	return cn, err
}

// dialled is the end of one try.
type dialled struct {
	conn net.Conn
	err  error
}

// race asks for a connection, and once more after the bound; the first to come is taken.
func (pp *PeerPool) race(ctx context.Context, to netip.AddrPort, bound time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan dialled, dialTries)
	again := time.NewTimer(bound)
	defer again.Stop()
	open := 1
	go pp.runDial(ctx, to, ends)
	for {
		select {
		case <-again.C:
			open++
			go pp.runDial(ctx, to, ends)
		case end := <-ends:
			open--
			if end.err != nil && open > 0 {
				continue
			}
			cancel()
			pp.drop(ends, open)
			return end.conn, end.err
		}
	}
}

func (pp *PeerPool) runDial(ctx context.Context, to netip.AddrPort, ends chan<- dialled) {
	pp.dials.Inc()
	cn, err := pp.config.network.Dial(ctx, to)
	ends <- dialled{conn: cn, err: err}
}

// drop closes connections that came too late.
func (pp *PeerPool) drop(ends <-chan dialled, open int) {
	if open == 0 {
		return
	}
	go func() {
		for range open {
			if end := <-ends; end.conn != nil {
				_ = end.conn.Close()
			}
		}
	}()
}
