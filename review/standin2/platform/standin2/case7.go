package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Every strayEvery-th answer of the faulty back end is followed by strayBytes, which arrive late: as the next request has come.
const (
	strayEvery = 40
	strayBytes = "HTTP/1.1 404 Not Found\r\nContent-Type: text/plain\r\nContent-Length: 9\r\n\r\nnot found"
)

// strayBackend is a back end that now and then sends additional bytes after a complete response.
type strayBackend struct {
	*backend
	faulty bool

	mu      sync.Mutex
	answers int
	stray   map[string]bool // attempts before whose answer the bytes were sent
}

// newStrayBackend starts a back end beside a machine.
func newStrayBackend(mc *machine, id string, faulty bool) (*strayBackend, error) {
	ln, err := net.Listen("tcp", mc.addr(portApp))
	if err != nil {
		return nil, err
	}
	sb := &strayBackend{
		backend: &backend{mc: mc, id: id, born: time.Now().UnixMilli(), slots: 45, state: "ready", stopped: make(chan struct{}), server: &http.Server{}},
		faulty:  faulty, stray: map[string]bool{},
	}
	go func() {
		<-sb.stopped
		_ = ln.Close()
	}()
	go func() {
		for {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go sb.serve(cn)
		}
	}()
	return sb, nil
}

// serve answers the requests of one connection in turn.
func (sb *strayBackend) serve(cn net.Conn) {
	defer func() { _ = cn.Close() }()
	rd := bufio.NewReader(cn)
	late := false
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Gypsumhoist-Attempt-Id")
		if id == "" {
			_, _ = io.WriteString(cn, "HTTP/1.1 400 Bad Request\r\nX-Gypsumhoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		sb.backend.mu.Lock()
		sb.arrivals = append(sb.arrivals, arrival{at: time.Now(), attempt: id, header: req.Header, path: req.URL.RequestURI()})
		sb.backend.mu.Unlock()
		if late {
			sb.mu.Lock()
			sb.stray[id] = true
			sb.mu.Unlock()
			sb.mc.dp.rc.note("%s: the rest of the bytes after the previous answer go out as %s has come", sb.id, id)
			if _, err := io.WriteString(cn, strayBytes); err != nil {
				return
			}
		}
		sb.mc.dp.rc.note("%s runs %s %s %s and answers 200", sb.id, id, req.Method, req.URL.RequestURI())
		body := "answer of " + sb.id + " to " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Gypsumhoist-Attempt-Id: %s\r\nX-Gypsumhoist-Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
			id, sb.id, id, len(body), body)
		time.Sleep(5 * time.Millisecond)
		if _, err := io.WriteString(cn, answer); err != nil {
			return
		}
		sb.mu.Lock()
		sb.answers++
		late = sb.faulty && sb.answers%strayEvery == 0
		sb.mu.Unlock()
	}
}

// strayAnswer shows whether a caller gets bytes that belong to no request as the answer to its own.
func strayAnswer(rc *record, trouble bool) (bool, error) {
	dp, err := newDeployment(rc, []string{"a", "b", "c"}, nodeSpec{"a", "noticeboard"}, nodeSpec{"b", "consent"})
	if err != nil {
		return false, err
	}
	defer dp.stop()
	if err := dp.startAll(); err != nil {
		return false, err
	}
	faulty, err := newStrayBackend(dp.nodes[0], "i-7f3a91c2", trouble)
	if err != nil {
		return false, err
	}
	defer faulty.end()
	faulty.beat()
	if _, err := dp.put(configuration(1, 0, "noticeboard", "consent"), 20*time.Second); err != nil {
		return false, err
	}
	for _, mc := range dp.nodes {
		if err := mc.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	wrong, strays := 0, 0
	for range 400 {
		an := dp.nodes[1].send("POST", "/once-noticeboard/2f", []byte("signed"))
		faulty.mu.Lock()
		stray := faulty.stray[an.attempt]
		faulty.mu.Unlock()
		if stray {
			strays++
		}
		if an.status == http.StatusNotFound {
			wrong++
			rc.note("%s was answered with %d %q, signature %q; the back end ran it and answered 200", an.attempt, an.status, an.body, an.header.Get("X-Gypsumhoist-Server-Signature"))
		}
	}
	rc.note("%d of %d requests got bytes as their answer that belong to no request", wrong, strays)
	return wrong > 0, nil
}
