package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a back end beside a node: it serves requests and sends heartbeats.
type upstream struct {
	machine *machine
	id      string
	born    int64
	record  *record
	server  *http.Server
	done    chan struct{}

	mu       sync.Mutex
	sequence int64
	runs     map[string]int
	ranAt    map[string]time.Time
}

func newUpstream(ma *machine, id string, rc *record) (*upstream, error) {
	up := &upstream{
		machine: ma, id: id, born: time.Now().UnixMilli(), record: rc, done: make(chan struct{}),
		runs: map[string]int{}, ranAt: map[string]time.Time{},
	}
	ln, err := net.Listen("tcp", ma.addr(appPort))
	if err != nil {
		return nil, err
	}
	up.server = &http.Server{Handler: http.HandlerFunc(up.serve)}
	go func() { _ = up.server.Serve(ln) }()
	go up.beat()
	return up, nil
}

func (up *upstream) serve(wr http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("X-Gypsumhoist-Attempt-Id")
	if want := req.Header.Get("X-Gypsumhoist-Expected-Instance"); want != "" && want != up.id {
		wr.Header().Set("X-Gypsumhoist-Attempt-Id", attempt)
		wr.Header().Set("X-Gypsumhoist-Not-Executed", "1")
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if attempt == "" {
		wr.Header().Set("X-Gypsumhoist-Not-Executed", "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	up.mu.Lock()
	up.runs[attempt]++
	up.ranAt[attempt] = time.Now()
	up.mu.Unlock()
	up.record.note("%s runs %s for tenant %s", up.id, attempt, req.Header.Get("X-Gypsumhoist-Tenant"))
	wr.Header().Set("X-Gypsumhoist-Attempt-Id", attempt)
	wr.Header().Set("X-Gypsumhoist-Server-Signature", "sig."+attempt)
	_, _ = wr.Write([]byte("done"))
}

// beat sends a heartbeat about every 1.5 s.
func (up *upstream) beat() {
	for {
		up.heartbeat("ready")
		select {
		case <-up.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (up *upstream) heartbeat(state string) int {
	up.mu.Lock()
	up.sequence++
	body, _ := json.Marshal(map[string]any{
		"address": up.machine.addr(appPort), "born": up.born,
		"info":   map[string]any{"service": up.machine.service, "version": "v1", "zone": up.machine.zone, "slots": 40},
		"status": map[string]any{"state": state, "sequence": up.sequence, "coldRemainingS": 0},
	})
	up.mu.Unlock()
	status, _, _ := call(http.MethodPost, fmt.Sprintf("http://%s/api/instances/%s/heartbeat", up.machine.addr(controlPort), up.id),
		string(body), http.Header{"Content-Type": {"application/json"}}, time.Second)
	return status
}

// ran reports how often a request has run.
func (up *upstream) ran(attempt string) int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.runs[attempt]
}
