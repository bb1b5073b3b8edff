package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// operator speaks the operator's API.
type operator struct{ record *record }

// unclear is the status of a call without a clear answer.
const unclear = 0

// call sends one request on a new connection and returns its status and body; unclear after a failure.
func call(method, url, body string, header http.Header, timeout time.Duration) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return unclear, err.Error(), nil
	}
	if host := header.Get("Host"); host != "" {
		req.Host = host
	}
	for name, vals := range header {
		req.Header[name] = vals
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	rs, err := transport.RoundTrip(req)
	if err != nil {
		return unclear, err.Error(), nil
	}
	defer func() { _ = rs.Body.Close() }()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return unclear, err.Error(), nil
	}
	return rs.StatusCode, strings.TrimSpace(string(data)), rs.Header
}

// put sends a configuration to one machine.
func (op *operator) put(ma *machine, config map[string]any) int {
	data, _ := json.Marshal(config)
	status, body, _ := call(http.MethodPost, "http://"+ma.addr(controlPort)+"/api/config/put", string(data),
		http.Header{"Content-Type": {"application/json"}}, 2*time.Second)
	op.record.note("put version %v base %v to %s: %d %s", config["version"], config["baseVersion"], ma.name, status, body)
	return status
}

// putAny sends a configuration to the machines in turn until one acknowledges or refuses it.
func (op *operator) putAny(limit time.Duration, config map[string]any, machines ...*machine) int {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		for _, ma := range machines {
			if status := op.put(ma, config); status == http.StatusOK || status >= 400 && status < 500 {
				return status
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return unclear
}

// get reads the configuration from one machine and returns its version; status other than 200 gives version 0.
func (op *operator) get(ma *machine) (int, int) {
	status, body, _ := call(http.MethodGet, "http://"+ma.addr(controlPort)+"/api/config/get", "", nil, 2*time.Second)
	var cf struct {
		Version int `json:"version"`
	}
	if status == http.StatusOK {
		_ = json.Unmarshal([]byte(body), &cf)
	}
	op.record.note("get from %s: %d version %d", ma.name, status, cf.Version)
	return status, cf.Version
}

// config returns a configuration with one keyed route; keys maps tenants to their keys.
func configOf(version, base int, keys map[string][]string) map[string]any {
	tenants := map[string]any{}
	for name, ks := range keys {
		tenants[name] = map[string]any{"apiKeys": ks, "priority": 1, "ratePerS": 0, "burst": 0}
	}
	return map[string]any{
		"version": version, "baseVersion": base,
		"routes": map[string]any{"r-1": map[string]any{
			"host": "desk.example", "pathPrefix": "/slips/", "type": "non_idempotent", "timeoutS": 2.0, "targetLatencyS": 1.0,
			"priority": 0, "service": "desk", "maxAttempts": 2, "public": false,
		}},
		"services": map[string]any{"desk": map[string]any{"healthPath": "/health", "maxConnections": 400, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants":  tenants,
	}
}

// until calls fn every 100 ms until it returns true or the time is over.
func until(limit time.Duration, fn func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if fn() {
			return nil
		}
	}
	return fmt.Errorf("not reached within %v", limit)
}
