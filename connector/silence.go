package connector

import (
	"bufio"
	"context"
	"net/http"
	"time"
)

const probeRequest = "OPTIONS * HTTP/1.1\r\nHost: upstream\r\nConnection: close\r\n\r\n"

// anySilent reports whether a request waits on a connection that has received nothing for silenceAfter.
func (up *UpstreamPool) anySilent() bool {
	since := time.Now().Add(-up.config.silenceAfter)
	for _, pc := range up.connSnapshot() {
		if pc.silentSince(since) {
			return true
		}
	}
	return false
}

// probeAndRetire probes the upstream and retires the silent connections if it responds.
// It reports whether it did.
func (up *UpstreamPool) probeAndRetire() bool {
	since := time.Now().Add(-up.config.silenceAfter)
	existing := up.connSnapshot()
	if err := up.probe(); err != nil {
		up.config.logger.Log(eventProbeFailed, "upstream", up.addr, "error", err)
		return false
	}
	count := 0
	for _, pc := range existing {
		if pc.retire(since) {
			count++
		}
	}
	up.retired.Add(count)
	up.replaceBlockedTransport()
	up.config.logger.Log(eventSilent, "upstream", up.addr, "connections", count)
	return true
}

// replaceBlockedTransport starts over with an empty pool when retired connections with requests in flight
// take half of the connection limit. Until those requests end, there can be up to twice the limit of connections,
// of which the silent ones cost the upstream nothing.
func (up *UpstreamPool) replaceBlockedTransport() {
	waiting := 0
	for _, pc := range up.connSnapshot() {
		if pc.retiredBusy() {
			waiting++
		}
	}
	if 2*waiting < up.config.maxConns {
		return
	}
	up.mu.Lock()
	old := up.transport
	up.transport = up.newTransport()
	up.mu.Unlock()
	old.CloseIdleConnections()
	up.retireAll()
}

// probe sends a request over a new connection; any proper response counts as success.
func (up *UpstreamPool) probe() error {
	ctx, cancel := context.WithTimeout(up.tomb.Context(nil), up.config.probeTimeout)
	defer cancel()
	cn, err := up.config.network.Dial(ctx, up.addr)
	if err != nil {
		return err
	}
	defer cn.Close()
	if err := cn.SetDeadline(time.Now().Add(up.config.probeTimeout)); err != nil {
		return err
	}
	if _, err := cn.Write([]byte(probeRequest)); err != nil {
		return err
	}
	checked := &scanReader{Reader: cn}
	if err := checked.scanner.begin(false); err != nil {
		return err
	}
	rsp, err := http.ReadResponse(bufio.NewReader(checked), nil)
	if err != nil {
		return err
	}
	return rsp.Body.Close()
}

func (up *UpstreamPool) connSnapshot() []*poolConn {
	up.mu.Lock()
	defer up.mu.Unlock()
	out := make([]*poolConn, 0, len(up.conns))
	for pc := range up.conns {
		out = append(out, pc)
	}
	return out
}
