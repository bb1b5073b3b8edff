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

// idlePingInterval is how long an HTTP/2 connection may receive nothing before either end pings it, whether or not a response
// is due. These pings only free the resources held for a lost peer; a PeerPool probes connections that await a response itself.
const idlePingInterval = 15 * time.Second

// checksPerPing is the number of checks of the waiting connections within the longest time after which one is probed.
const checksPerPing = 20

// scheduleCheck schedules a check of the connections unless one is scheduled. It is called while any of them awaits a response.
func (pp *PeerPool) scheduleCheck() {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.checkScheduled || pp.closed {
		return
	}
	pp.checkScheduled = true
	time.AfterFunc(pp.checkInterval(), pp.checkConns)
}

func (pp *PeerPool) checkInterval() time.Duration { return pp.config.pingAfter / checksPerPing }

// checkConns probes the connections on which a response will be overdue by the next check.
func (pp *PeerPool) checkConns() {
	nextCheck := time.Now().Add(pp.checkInterval())
	pp.mu.Lock()
	pp.checkScheduled = false
	conns := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	waiting := false
	for _, pc := range conns {
		since, overdue, awaits := pc.waitState(pp.config.pingAfter)
		waiting = waiting || awaits
		if awaits && !since.Add(overdue).After(nextCheck) && pc.tryBeginProbe() {
			go pc.runProbe(since)
		}
	}
	if waiting {
		pp.scheduleCheck()
	}
}

// runProbe probes a connection that has received nothing since the given time. If no byte is received within the usual
// response time, the path is reported as silent; if none is received for much longer, the connection is closed.
func (pc *peerConn) runProbe(since time.Time) {
	defer pc.endProbe()
	if !pc.probeSilent(since) {
		return
	}
	pc.pool.config.logger.Log(eventPeerSilent, "peer", pc.addr)
	// The transport notices through its own read.
	_ = pc.Close()
	pc.pool.probeOthers()
}

// probeSilent sends a no-op request and reports whether the connection has received nothing by the time it is to be closed.
// The transport may choose another connection, in which case nothing is known about this one.
func (pc *peerConn) probeSilent(since time.Time) bool {
	pp := pc.pool
	from := time.Now()
	closeAt := since.Add(pp.config.pingAfter + pp.config.pingTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	overdue := pc.scheduleSilenceReport(from, since)
	defer overdue.Stop()
	at := &attempt{}
	rsp, err := pp.transport.RoundTrip(at.prepare(optionsRequest(pc.addr).WithContext(ctx), true))
	defer at.releasePeer()
	if err == nil {
		err = checkPeerResponse(rsp)
		_ = rsp.Body.Close()
		if err == nil && at.usesPeer(pc) {
			pp.config.pathMonitor.Answered(pc.addr, time.Since(from))
		}
		return false
	}
	return ctx.Err() != nil && at.usesPeer(pc) && !pc.receivedSince(from)
}

// scheduleSilenceReport reports the path as silent if the connection receives nothing within the usual response time after from.
// If the timer fires too late because this process itself was not running, nothing is reported.
func (pc *peerConn) scheduleSilenceReport(from, since time.Time) *time.Timer {
	monitor := pc.pool.config.pathMonitor
	bound := monitor.AnswerBound(pc.addr)
	return time.AfterFunc(bound, func() {
		if time.Since(from) < bound+bound/overrunDivisor && !pc.receivedSince(from) {
			monitor.Silent(pc.addr, since)
		}
	})
}

// optionsRequest returns a request without effect that every instance answers.
func optionsRequest(to netip.AddrPort) *http.Request {
	return &http.Request{
		Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: to.String(), Opaque: "*"}, Host: to.String(), Header: http.Header{},
	}
}

// Probe sends a no-op request to another instance over a new connection, which is closed afterwards.
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
	rsp, err := tr.RoundTrip((&attempt{}).prepare(optionsRequest(to).WithContext(ctx), true))
	if err != nil {
		return err
	}
	defer rsp.Body.Close()
	return checkPeerResponse(rsp)
}

// maxOtherProbes limits the other connections that are probed when one was found silent. Each of those that is silent, too,
// triggers as many more probes, so that one lost peer costs little and a failure of all connections is found in a few rounds.
const maxOtherProbes = 8

// probeOthers probes some of the connections that have received nothing for a while, as the cause of one silent connection
// may affect all of them.
func (pp *PeerPool) probeOthers() {
	before := time.Now().Add(-pp.config.pingAfter)
	pp.mu.Lock()
	conns := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	probed := 0
	for _, pc := range conns {
		if probed < maxOtherProbes && !pc.receivedSince(before) && pc.tryBeginProbe() {
			probed++
			go pc.runProbe(time.Now().Add(-pp.config.pingAfter))
		}
	}
}
