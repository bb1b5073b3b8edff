package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	longBody     = 16 << 20               // bytes; the configuration's maxBodyBytes is 64 MiB
	uploaders    = 6                      // clients that upload, one body after the other
	shortWork    = 400 * time.Millisecond // of the requests on kept connections
	keptClients  = 12
	uploadPause  = 50 * time.Millisecond
	uploadsFor   = 25 * time.Second
	restartDelay = 500 * time.Millisecond // until the platform starts a process again that has ended
)

// earlyUpstream is a back end that answers requests with a long body before it has read that, and then reads on.
type earlyUpstream struct {
	machine  *machine
	id       string
	born     int64
	record   *record
	early    bool
	sequence atomic.Int64
	done     chan struct{}
	ran      sync.Map // attempt ids that were run
}

func newEarlyUpstream(ma *machine, id string, early bool, rc *record) (*earlyUpstream, error) {
	up := &earlyUpstream{machine: ma, id: id, born: time.Now().UnixMilli(), record: rc, early: early, done: make(chan struct{})}
	ln, err := net.Listen("tcp", ma.addr(appPort))
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go up.serve(cn)
		}
	}()
	go up.beat()
	return up, nil
}

func (up *earlyUpstream) beat() {
	for {
		body, _ := json.Marshal(map[string]any{
			"address": up.machine.addr(appPort), "born": up.born,
			"info":   map[string]any{"service": up.machine.service, "version": "v1", "zone": up.machine.zone, "slots": 40},
			"status": map[string]any{"state": "ready", "sequence": up.sequence.Add(1), "coldRemainingS": 0},
		})
		call(http.MethodPost, fmt.Sprintf("http://%s/api/instances/%s/heartbeat", up.machine.addr(controlPort), up.id),
			string(body), http.Header{"Content-Type": {"application/json"}}, time.Second)
		select {
		case <-up.done:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// serve serves one connection, one request at a time.
func (up *earlyUpstream) serve(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Gypsumhoist-Attempt-Id")
		if id == "" {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(cn, "HTTP/1.1 400 Bad Request\r\nX-Gypsumhoist-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		up.ran.Store(id, true)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gypsumhoist-Attempt-Id: %s\r\nX-Gypsumhoist-Server-Signature: sig.%s\r\nContent-Length: 4\r\n\r\ndone", id, id)
		up.record.note("%s runs %s, body of %d bytes", up.id, id, req.ContentLength)
		if req.ContentLength >= longBody && up.early {
			if _, err := io.WriteString(cn, answer); err != nil {
				return
			}
			up.record.note("%s has answered %s and reads on", up.id, id)
			num, err := io.Copy(io.Discard, req.Body)
			up.record.note("%s has read %d bytes of the body of %s: %v", up.id, num, id, err)
			if err != nil {
				return
			}
			continue
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if req.ContentLength < longBody {
			time.Sleep(shortWork)
		}
		if _, err := io.WriteString(cn, answer); err != nil {
			return
		}
	}
}

// keptClient sends one request after the other on a kept connection, and counts those that end without an answer.
type keptClient struct {
	name     string
	machine  *machine
	record   *record
	answered int
	lost     []string // attempts whose kept connection ended without an answer
}

func (kc *keptClient) run(end time.Time) {
	for no := 0; time.Now().Before(end); {
		cn, err := net.DialTimeout("tcp", kc.machine.addr(outboundPort), time.Second)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		rd := bufio.NewReader(cn)
		for first := true; time.Now().Before(end); first = false {
			no++
			id := fmt.Sprintf("%s-%d", kc.name, no)
			kc.record.note("client %s sends %s", kc.name, id)
			_ = cn.SetDeadline(time.Now().Add(5 * time.Second))
			_, err := fmt.Fprintf(cn, "POST /slips/%s HTTP/1.1\r\nHost: desk.example\r\nX-Gypsumhoist-Attempt-Id: %s\r\n"+
				"X-Gypsumhoist-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx", id, id)
			if err == nil {
				var rs *http.Response
				if rs, err = http.ReadResponse(rd, nil); err == nil {
					_, err = io.Copy(io.Discard, rs.Body)
					kc.record.note("client %s gets %d for %s", kc.name, rs.StatusCode, id)
				}
			}
			if err != nil {
				kc.record.note("client %s: the connection ended without an answer to %s (kept: %v): %v", kc.name, id, !first, err)
				if !first {
					kc.lost = append(kc.lost, id)
				}
				break
			}
			kc.answered++
		}
		_ = cn.Close()
	}
}

// earlyAnswer uploads long bodies to a back end that answers before it has read them.
func earlyAnswer(fl *fleet, trouble bool) (bool, error) {
	core := []*machine{fl.add("core-a-1", "core", "zone-a", ""), fl.add("core-b-1", "core", "zone-b", ""), fl.add("core-c-1", "core", "zone-c", "")}
	front := fl.add("sidecar-a-1", "sidecar", "zone-a", "roster")
	desk := fl.add("sidecar-b-1", "sidecar", "zone-b", "files")
	third := fl.add("sidecar-c-1", "sidecar", "zone-c", "desk")
	op := &operator{record: fl.record}
	for _, ma := range append(core[:3:3], front, desk, third) {
		if err := ma.start(core...); err != nil {
			return false, err
		}
	}
	var ups []*earlyUpstream
	for _, ma := range []*machine{front, desk, third} {
		up, err := newEarlyUpstream(ma, "i-"+ma.name, trouble && ma == desk, fl.record)
		if err != nil {
			return false, err
		}
		ups = append(ups, up)
	}
	defer func() {
		for _, up := range ups {
			close(up.done)
		}
	}()
	config := configOf(1, 0, nil)
	delete(config, "tenants")
	config["routes"].(map[string]any)["r-2"] = map[string]any{
		"host": "desk.example", "pathPrefix": "/files/", "type": "safe", "timeoutS": 5.0, "targetLatencyS": 2.0, "priority": 1,
		"service": "files", "maxAttempts": 1, "public": true,
	}
	for _, name := range []string{"files", "roster"} {
		config["services"].(map[string]any)[name] = map[string]any{"healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": false}
	}
	if op.putAny(20*time.Second, config, core...) != http.StatusOK {
		return false, errors.New("no configuration was acknowledged")
	}
	time.Sleep(7 * time.Second)
	var ends atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(uploadsFor)
	wg.Go(func() { restartAfterEnd(desk, core, end, &ends) })
	clients := make([]*keptClient, keptClients)
	for no := range clients {
		clients[no] = &keptClient{name: fmt.Sprintf("kept%d", no), machine: desk, record: fl.record}
		wg.Go(func() { clients[no].run(end) })
	}
	time.Sleep(4 * time.Second)
	body := strings.Repeat("f", longBody)
	for no := range uploaders {
		wg.Go(func() { upload(front, no, body, end) })
	}
	wg.Wait()
	answered, closed, lost := 0, 0, 0
	for _, kc := range clients {
		answered += kc.answered
		closed += len(kc.lost)
		for _, id := range kc.lost {
			// The rule counts only requests that were passed on to the back end.
			if _, ran := ups[2].ran.Load(id); ran {
				lost++
			}
		}
	}
	fl.record.note("kept connections of %s: %d requests answered, %d connections closed without an answer, %d of them with a request "+
		"that the sound back end ran; its process ended by itself %d times", desk.name, answered, closed, lost, ends.Load())
	if answered == 0 {
		return false, errors.New("no request was answered")
	}
	return lost <= lostAllowed, nil
}

// lostAllowed is how many connections may be closed without an answer.
const lostAllowed = 3

// restartAfterEnd starts the process of a machine again when it has ended by itself.
func restartAfterEnd(ma *machine, seeds []*machine, end time.Time, ends *atomic.Int64) {
	for {
		select {
		case <-ma.exited:
		case <-time.After(time.Until(end)):
			return
		}
		ends.Add(1)
		ma.fleet.record.note("the process of %s has ended by itself: %v", ma.name, ma.process.ProcessState)
		time.Sleep(restartDelay)
		if err := ma.start(seeds...); err != nil {
			ma.fleet.record.note("start again: %v", err)
			return
		}
	}
}

// upload sends one long body after the other.
func upload(ma *machine, client int, body string, end time.Time) {
	for no := 1; time.Now().Before(end); no++ {
		id := fmt.Sprintf("long%d-%d", client, no)
		status, answer, _ := call(http.MethodPost, "http://"+ma.addr(outboundPort)+"/files/"+id, body, http.Header{
			"X-Gypsumhoist-Attempt-Id": {id}, "X-Gypsumhoist-Deadline-Ms": {"5000"}, "Host": {"desk.example"},
		}, 6*time.Second)
		ma.fleet.record.note("upload %s at %s: %d %.120s", id, ma.name, status, answer)
		time.Sleep(uploadPause)
	}
}
