//go:build standin3

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Times of the operator.
const (
	operatorTimeout  = time.Second
	operatorShortest = 100 * time.Millisecond
	operatorLongest  = time.Second
)

// routeSpec is one route of a configuration.
type routeSpec struct {
	name, host, prefix, kind, service string
	timeout, target                   float64
	attempts                          int
}

// document returns a configuration without tenants.
func document(version, base int, routes ...routeSpec) []byte {
	table, services := map[string]any{}, map[string]any{}
	for _, rt := range routes {
		table[rt.name] = map[string]any{
			"host": rt.host, "pathPrefix": rt.prefix, "type": rt.kind, "timeoutS": rt.timeout, "targetLatencyS": rt.target,
			"priority": 0, "service": rt.service, "maxAttempts": rt.attempts, "public": true,
		}
		services[rt.service] = map[string]any{"healthPath": "/health", "maxConnections": 340, "protocol": "h1", "tls": false}
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "baseVersion": base, "routes": table, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// put sends a configuration to one core machine after the other until it is acknowledged or refused, or the time has passed. Machines
// returns the list from which the operator picks. The result is the last status, zero for none.
func put(rec *record, machines func() []*machine, body []byte, until time.Time) int {
	wait := operatorShortest
	last := 0
	for turn := 0; time.Now().Before(until); turn++ {
		list := machines()
		mc := list[turn%len(list)]
		status, _, err := post("http://"+mc.addr(portControl)+"/api/config/put", body, operatorTimeout)
		if err != nil {
			rec.note("operator: put to %s: %v", mc.name, err)
		} else {
			rec.note("operator: put to %s: %d", mc.name, status)
			last = status
		}
		if err == nil && status < http.StatusInternalServerError {
			return status
		}
		time.Sleep(wait)
		wait = min(2*wait, operatorLongest)
	}
	return last
}

func listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
