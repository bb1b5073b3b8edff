package connector

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"
)

// idlePing is how long an HTTP/2 connection may bring nothing, whether or not anybody waits, before either end pings it.
// That only frees what a lost end holds: whoever waits for an answer is looked after by his pool.
const idlePing = 15 * time.Second

// looksPerPing is how many looks at the connections that wait there are within the time after which one is asked.
const looksPerPing = 4

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
	suspectBefore := time.Now().Add(pp.lookEvery() - pp.config.pingAfter)
	pp.mu.Lock()
	pp.watching = false
	open := slices.Collect(maps.Keys(pp.conns))
	pp.mu.Unlock()
	waiting := false
	for _, pc := range open {
		since, waits := pc.waits()
		waiting = waiting || waits
		if waits && !since.After(suspectBefore) && pc.beginProbe() {
			go pc.runProbe()
		}
	}
	if waiting {
		pp.watch()
	}
}

// runProbe asks the other end for any answer on this connection, and closes it if none comes.
func (pc *peerConn) runProbe() {
	defer pc.endProbe()
	if !pc.silent() {
		return
	}
	pc.pool.config.logger.Log(eventPeerSilent, "peer", pc.addr)
	// The transport hears of it from its own read.
	_ = pc.Close()
	pc.pool.sweep()
}

// silent sends a request without effect and reports whether the connection brought nothing in the time of a ping. The transport
// may choose another connection, which tells nothing.
func (pc *peerConn) silent() bool {
	pp := pc.pool
	from := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), pp.config.pingTimeout)
	defer cancel()
	at := &attempt{}
	req := &http.Request{
		Method: http.MethodOptions, URL: &url.URL{Scheme: "http", Host: pc.addr, Opaque: "*"}, Host: pc.addr, Header: http.Header{},
	}
	rsp, err := pp.transport.RoundTrip(at.prepare(req.WithContext(ctx), true))
	defer at.peerDone()
	if err == nil {
		_ = rsp.Body.Close()
		return false
	}
	return ctx.Err() != nil && at.over(pc) && !pc.heardSince(from)
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
			go pc.runProbe()
		}
	}
}
