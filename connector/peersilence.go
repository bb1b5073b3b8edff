package connector

import (
	"context"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// idlePing is how long an HTTP/2 connection may bring nothing, whether or not anybody waits, before either end pings it.
// That only frees what a lost end holds: whoever waits for an answer is looked after by his pool.
const idlePing = 15 * time.Second

// looksPerPing is how many looks at the connections that wait there are within the longest time after which one is asked.
const looksPerPing = 20

// watch has the connections looked at soon, while any of them waits for something.
func (pp *PeerPool) watch() {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.watching || pp.closed {
		return
	}
	pp.watching = true
	time.AfterFunc(pp.lookEvery(), pp.look)
}

func (pp *PeerPool) lookEvery() time.Duration { return pp.config.pingAfter / looksPerPing }

// look asks the connections that have waited for too long.
func (pp *PeerPool) look() {
	soon := time.Now().Add(pp.lookEvery())
	pp.mu.Lock()
	pp.watching = false
	open := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	waiting := false
	for _, pc := range open {
		since, overdue, waits := pc.waits(pp.config.pingAfter)
		waiting = waiting || waits
		if waits && !since.Add(overdue).After(soon) && pc.beginProbe() {
			go pc.runProbe(since)
		}
	}
	if waiting {
		pp.watch()
	}
}

// runProbe asks the other end for any answer on a connection that has brought nothing since a moment. Without one in the usual
// time the way there counts as silent; without one for much longer the connection is closed.
func (pc *peerConn) runProbe(since time.Time) {
	defer pc.endProbe()
	if !pc.silent(since) {
		return
	}
	pc.pool.config.logger.Log(eventPeerSilent, "peer", pc.to)
	// The transport hears of it from its own read.
	_ = pc.Close()
	pc.pool.sweep()
}

// silent sends a request without effect and reports whether the connection brought nothing until it is to be closed.
// The transport may choose another connection, which tells nothing.
func (pc *peerConn) silent(since time.Time) bool {
	pp := pc.pool
	from := time.Now()
	closeAt := since.Add(pp.config.pingAfter + pp.config.pingTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	overdue := pc.expect(from, since)
	defer overdue.Stop()
	at := &attempt{}
	rsp, err := pp.transport.RoundTrip(at.prepare(question(pc.to).WithContext(ctx), true))
	defer at.peerDone()
	if err == nil {
		_ = rsp.Body.Close()
		if at.over(pc) {
			pp.config.paths.Answered(pc.to, time.Since(from))
		}
		return false
	}
	return ctx.Err() != nil && at.over(pc) && !pc.heardSince(from)
}

// expect has the way of a connection count as silent if it brings nothing in the usual time from a moment on.
// Where that time is overrun because this process itself did not run, nothing is concluded.
func (pc *peerConn) expect(from, since time.Time) *time.Timer {
	paths := pc.pool.config.paths
	bound := paths.AnswerBound(pc.to)
	return time.AfterFunc(bound, func() {
		if time.Since(from) < bound+bound/lateParts && !pc.heardSince(from) {
			paths.Silent(pc.to, since)
		}
	})
}

// question returns a request that any instance answers and that has no effect.
func question(to netip.AddrPort) *http.Request {
	return &http.Request{
		Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: to.String(), Opaque: "*"}, Host: to.String(), Header: http.Header{},
	}
}

// Probe asks another instance for any answer over a fresh connection, which is closed after it.
func (pp *PeerPool) Probe(ctx context.Context, to netip.AddrPort) error {
	cn, err := pp.config.network.Dial(ctx, to)
	if err != nil {
		return err
	}
	defer cn.Close()
	var protos http.Protocols
	protos.SetUnencryptedHTTP2(true)
	tr := &http.Transport{
		Protocols:          &protos,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return cn, nil },
	}
	defer tr.CloseIdleConnections()
	rsp, err := tr.RoundTrip((&attempt{}).prepare(question(to).WithContext(ctx), true))
	if err != nil {
		return err
	}
	return rsp.Body.Close()
}

// sweepSample is how many other connections are asked when one was found silent. Each of them that is silent too has as many
// more asked, so that one lost peer costs little and a silence of all is found in a few rounds.
const sweepSample = 8

// sweep asks some of the connections that have brought nothing for a while, as what silenced one may have silenced all.
func (pp *PeerPool) sweep() {
	before := time.Now().Add(-pp.config.pingAfter)
	pp.mu.Lock()
	open := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	asked := 0
	for _, pc := range open {
		if asked < sweepSample && !pc.heardSince(before) && pc.beginProbe() {
			asked++
			go pc.runProbe(time.Now().Add(-pp.config.pingAfter))
		}
	}
}
