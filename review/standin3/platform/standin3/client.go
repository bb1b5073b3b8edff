//go:build standin3

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// newAttemptID returns an id that no other attempt has.
func newAttemptID() string {
	return fmt.Sprintf("%016x", uint64(time.Now().UnixMilli())<<20|uint64(attempts.Add(1))&0xfffff)
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // zero without an answer
	body   string
	signed bool
	closes bool // it says that the connection is closed after it
	kept   bool // its connection had carried requests that were answered
	err    error
	began  time.Time
	ended  time.Time
}

// success reports whether the answer is a complete success of the request's back end.
func (an *answer) success() bool {
	return an.err == nil && an.status/100 == 2 && an.signed && strings.HasPrefix(an.body, an.id+" ")
}

// send sends one attempt over a new connection to the outbound address of a client's machine and waits for its answer.
func send(rec *record, mc *machine, method, host, path, body string, deadline time.Duration) *answer {
	an := &answer{id: newAttemptID(), began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	defer func() {
		an.ended = time.Now()
		rec.note("client at %s: %s %s %s%s: %s", mc.name, an.id, method, host, path, an)
	}()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+mc.addr(portOutbound)+path, strings.NewReader(body))
	if err != nil {
		an.err = err
		return an
	}
	req.Host = host
	req.Header.Set(headerAttempt, an.id)
	req.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	rs, err := tr.RoundTrip(req)
	if err != nil {
		an.err = err
		return an
	}
	defer func() { _ = rs.Body.Close() }()
	an.status, an.signed, an.closes = rs.StatusCode, rs.Header.Get(headerSignature) != "", rs.Close
	data, err := io.ReadAll(rs.Body)
	an.body, an.err = string(data), err
	return an
}

// String describes the answer for the record.
func (an *answer) String() string {
	took := an.ended.Sub(an.began).Round(time.Millisecond)
	switch {
	case an.status == 0:
		return fmt.Sprintf("no answer after %v: %v", took, an.err)
	case an.err != nil:
		return fmt.Sprintf("%d after %v, broken off: %v", an.status, took, an.err)
	default:
		return fmt.Sprintf("%d after %v, signature %v, closes the connection %v", an.status, took, an.signed, an.closes)
	}
}

// ready asks a machine's node whether it is ready, as the platform does.
func ready(mc *machine) bool {
	status, _, err := exchange(http.MethodGet, "http://"+mc.addr(portReady)+"/api/ready", nil, time.Second)
	return err == nil && status == http.StatusOK
}
