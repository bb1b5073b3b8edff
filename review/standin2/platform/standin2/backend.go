package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that a back end has begun to run.
type arrival struct {
	at      time.Time
	attempt string
	header  http.Header
	path    string
}

// backend is a stand-in for an application back end beside a node.
type backend struct {
	mc      *machine
	id      string
	born    int64
	slots   int
	work    func(req *http.Request) time.Duration
	server  *http.Server
	stopped chan struct{}

	mu       sync.Mutex
	state    string
	sequence int
	beating  bool
	arrivals []arrival
}

// newBackend starts a back end that listens and says nothing of itself yet.
func newBackend(mc *machine, id string) (*backend, error) {
	bk := &backend{
		mc: mc, id: id, born: time.Now().UnixMilli(), slots: 45, state: "ready", stopped: make(chan struct{}),
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
	}
	ln, err := net.Listen("tcp", mc.addr(portApp))
	if err != nil {
		return nil, err
	}
	bk.server = &http.Server{Handler: bk, IdleTimeout: 10 * time.Second}
	go func() { _ = bk.server.Serve(ln) }()
	return bk, nil
}

// ServeHTTP answers as the protocol says.
func (bk *backend) ServeHTTP(wr http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Gypsumhoist-Attempt-Id")
	hd := wr.Header()
	if id != "" {
		hd.Set("X-Gypsumhoist-Attempt-Id", id)
	}
	if req.URL.Path == "/health" {
		hd.Set("X-Gypsumhoist-Instance-Id", bk.id)
		wr.WriteHeader(http.StatusOK)
		return
	}
	if id == "" {
		hd.Set("X-Gypsumhoist-Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("X-Gypsumhoist-Expected-Instance"); want != "" && want != bk.id {
		hd.Set("X-Gypsumhoist-Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// The connection ends with the process; a body that breaks off is not run.
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	bk.mu.Lock()
	bk.arrivals = append(bk.arrivals, arrival{at: time.Now(), attempt: id, header: req.Header.Clone(), path: req.URL.RequestURI()})
	bk.mu.Unlock()
	bk.mc.dp.rc.note("%s runs %s %s %s", bk.id, id, req.Method, req.URL.RequestURI())
	select {
	case <-time.After(bk.work(req)):
	case <-bk.stopped:
		return
	}
	body := "answer of " + bk.id + " to " + id
	hd.Set("X-Gypsumhoist-Server-Signature", bk.id+"."+id)
	hd.Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(wr, body)
}

// heartbeatBody returns the next heartbeat, which may be sent at any later time.
func (bk *backend) heartbeatBody() []byte {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.sequence++
	body, err := json.Marshal(map[string]any{
		"address": bk.mc.addr(portApp), "born": bk.born,
		"info":   map[string]any{"service": bk.mc.service, "version": "v1", "zone": bk.mc.zone, "slots": bk.slots},
		"status": map[string]any{"state": bk.state, "sequence": bk.sequence, "coldRemainingS": 0},
	})
	if err != nil {
		return nil
	}
	return body
}

// say sends a heartbeat or deregistration and returns the status, or zero without an answer.
func (bk *backend) say(verb string, body []byte) int {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Post("http://"+bk.mc.addr(portControl)+"/api/instances/"+bk.id+"/"+verb, "application/json", bytes.NewReader(body))
	status := 0
	if err == nil {
		status = rs.StatusCode
		_ = rs.Body.Close()
	}
	bk.mc.dp.rc.note("%s says %s %s: %d", bk.id, verb, body, status)
	return status
}

// beat sends heartbeats until stopBeats is called.
func (bk *backend) beat() {
	bk.mu.Lock()
	bk.beating = true
	bk.mu.Unlock()
	go func() {
		for {
			bk.mu.Lock()
			on := bk.beating
			bk.mu.Unlock()
			if !on {
				return
			}
			bk.say("heartbeat", bk.heartbeatBody())
			time.Sleep(1500 * time.Millisecond)
		}
	}()
}

func (bk *backend) stopBeats() {
	bk.mu.Lock()
	bk.beating = false
	bk.mu.Unlock()
}

// deregister says that the back end leaves.
func (bk *backend) deregister() int {
	return bk.say("deregister", []byte(fmt.Sprintf(`{"born":%d}`, bk.born)))
}

// ranSince returns the requests that began after a time.
func (bk *backend) ranSince(at time.Time) []arrival {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	var out []arrival
	for _, ar := range bk.arrivals {
		if ar.at.After(at) {
			out = append(out, ar)
		}
	}
	return out
}

// end ends the back end.
func (bk *backend) end() {
	bk.stopBeats()
	close(bk.stopped)
	_ = bk.server.Close()
}
