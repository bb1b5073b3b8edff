//go:build standin3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	headerAttempt   = "X-Gypsumhoist-Attempt-Id"
	headerDeadline  = "X-Gypsumhoist-Deadline-Ms"
	headerExpected  = "X-Gypsumhoist-Expected-Instance"
	headerSignature = "X-Gypsumhoist-Server-Signature"
	headerNotRun    = "X-Gypsumhoist-Not-Executed"
	headerLoad      = "X-Gypsumhoist-Server-Load"
	headerInstance  = "X-Gypsumhoist-Instance-Id"
)

const (
	backendSlots      = 40
	heartbeatInterval = 1500 * time.Millisecond
)

// backend is a sound back end as PROTOCOL.md describes it. A request takes the time that its query names as "work", in milliseconds.
type backend struct {
	mc     *machine
	id     string
	born   int64
	work   time.Duration // of a request that names none
	server *http.Server

	mu       sync.Mutex
	sequence int64
	runs     map[string]int // by attempt id
	finished map[string]time.Time
	running  int
	chunked  bool // its answers have no length and come in two chunks
	breaks   int  // of so many answers one is broken off after its first chunk; zero for none
	answered int
	stop     chan struct{}
}

// startBackend starts a back end beside a machine's process, and its heartbeats.
func startBackend(mc *machine, work time.Duration) (*backend, error) {
	be := &backend{
		mc: mc, id: "i-" + mc.name, born: time.Now().UnixMilli(), work: work,
		runs: map[string]int{}, finished: map[string]time.Time{}, stop: make(chan struct{}),
	}
	ln, err := listen(mc.addr(portApp))
	if err != nil {
		return nil, err
	}
	be.server = &http.Server{Handler: be}
	go func() { _ = be.server.Serve(ln) }()
	go be.run()
	return be, nil
}

// ServeHTTP implements http.Handler.
func (be *backend) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	id, hd := req.Header.Get(headerAttempt), wr.Header()
	if id != "" {
		hd.Set(headerAttempt, id)
	}
	be.mu.Lock()
	hd.Set(headerLoad, fmt.Sprintf("%d,0,%d", be.running, backendSlots))
	full := be.running >= backendSlots
	be.mu.Unlock()
	expected := req.Header.Get(headerExpected)
	switch {
	case req.URL.Path == "/health":
		hd.Set(headerInstance, be.id)
		wr.WriteHeader(http.StatusOK)
	case id == "":
		hd.Set(headerNotRun, "1")
		wr.WriteHeader(http.StatusBadRequest)
	case expected != "" && expected != be.id:
		hd.Set(headerNotRun, "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
	case full:
		hd.Set(headerNotRun, "1")
		wr.WriteHeader(http.StatusServiceUnavailable)
	default:
		be.execute(wr, req, id)
	}
}

// execute runs a request until its work is done, its deadline has passed or its connection is closed.
func (be *backend) execute(wr http.ResponseWriter, req *http.Request, id string) {
	be.mu.Lock()
	be.running++
	be.runs[id]++
	be.mu.Unlock()
	defer func() {
		be.mu.Lock()
		be.running--
		be.mu.Unlock()
	}()
	be.mc.cl.rec.note("backend %s of %s: begins to run %s, %s %s", be.id, be.mc.service, id, req.Method, req.RequestURI)
	body, err := io.ReadAll(req.Body)
	if err != nil {
		be.mc.cl.rec.note("backend %s: %s: its body broke off: %v", be.id, id, err)
		return
	}
	work := be.work
	if ms, err := strconv.Atoi(req.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	left := time.Hour
	if ms, err := strconv.Atoi(req.Header.Get(headerDeadline)); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	wr.Header().Set(headerSignature, "sig-"+id)
	select {
	case <-time.After(min(work, left)):
	case <-req.Context().Done():
		be.mc.cl.rec.note("backend %s: drops %s, as its connection was closed", be.id, id)
		return
	}
	if work > left {
		be.mc.cl.rec.note("backend %s: %s is not done at its deadline", be.id, id)
		wr.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	be.answer(wr, id, body)
}

// answer sends the answer to a request that was done, or the first part of it.
func (be *backend) answer(wr http.ResponseWriter, id string, body []byte) {
	be.mu.Lock()
	be.finished[id] = time.Now()
	be.answered++
	chunked, broken := be.chunked, be.breaks > 0 && be.answered%be.breaks == 0
	be.mu.Unlock()
	be.mc.cl.rec.note("backend %s: has done %s", be.id, id)
	if !chunked {
		_, _ = fmt.Fprintf(wr, "%s %d %s", id, len(body), body)
		return
	}
	_, _ = fmt.Fprintf(wr, "%s %d", id, len(body))
	// The answer is in the first chunk as far as it was written by now.
	_ = http.NewResponseController(wr).Flush()
	if broken {
		be.mc.cl.rec.note("backend %s: breaks off its answer to %s", be.id, id)
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(wr, " %s", body)
}

// garble makes the back end break off one of so many of its answers, or none.
func (be *backend) garble(breaks int) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.breaks = breaks
}

// doneAt returns when a request was done, or the zero time.
func (be *backend) doneAt(id string) time.Time {
	be.mu.Lock()
	defer be.mu.Unlock()
	return be.finished[id]
}

// run sends heartbeats until the back end stops.
func (be *backend) run() {
	for {
		be.heartbeat("ready")
		select {
		case <-be.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat reports a state and whether it was acknowledged within a second.
func (be *backend) heartbeat(state string) bool {
	be.mu.Lock()
	be.sequence++
	sequence := be.sequence
	be.mu.Unlock()
	report := map[string]any{
		"address": be.mc.addr(portApp), "born": be.born,
		"info":   map[string]any{"service": be.mc.service, "version": "v1", "zone": be.mc.zone, "slots": backendSlots},
		"status": map[string]any{"state": state, "sequence": sequence, "coldRemainingS": 0},
	}
	data, err := json.Marshal(report)
	if err != nil {
		return false
	}
	status, _, err := post("http://"+be.mc.addr(portControl)+"/api/instances/"+be.id+"/heartbeat", data, time.Second)
	return err == nil && status == http.StatusOK
}

// close ends the back end.
func (be *backend) close() {
	close(be.stop)
	_ = be.server.Close()
}

// post sends a JSON body over a new connection and returns the answer.
func post(url string, body []byte, timeout time.Duration) (int, []byte, error) {
	return exchange(http.MethodPost, url, body, timeout)
}

// exchange sends a request over a new connection and returns the answer.
func exchange(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	tr := &http.Transport{DisableKeepAlives: true}
	rs, err := tr.RoundTrip(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	return rs.StatusCode, data, err
}
