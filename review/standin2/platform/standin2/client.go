package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// The names of the small configuration that the cases use.
const (
	hostName = "hulo84.example"
	apiKey   = "6wsjnbanfqasnmgkcuyj"
)

// configuration returns a document with one safe and one non-idempotent route to each service.
func configuration(version, base int, services ...string) string {
	routes, defs := "", ""
	for ix, svc := range services {
		if ix > 0 {
			routes += ","
			defs += ","
		}
		common := `"timeoutS":5,"targetLatencyS":2,"priority":0,"service":"` + svc + `","maxAttempts":2,"public":false`
		routes += fmt.Sprintf(`"r-safe-%s":{"host":"%s","pathPrefix":"/safe-%s/","type":"safe",%s},`, svc, hostName, svc, common)
		routes += fmt.Sprintf(`"r-once-%s":{"host":"%s","pathPrefix":"/once-%s/","type":"non_idempotent",%s}`, svc, hostName, svc, common)
		defs += `"` + svc + `":{"healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":{%s},"services":{%s},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},`+
		`"tenants":{"pulo780":{"apiKeys":["%s"],"priority":1}},"baseVersion":%d}`, version, routes, defs, apiKey, base)
}

// put sends a configuration to the core machines in turn until one gives a clear answer.
func (dp *deployment) put(document string, longest time.Duration) (int, error) {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(longest)
	for at := 0; time.Now().Before(end); at++ {
		mc := dp.cores[at%len(dp.cores)]
		rs, err := cl.Post("http://"+mc.addr(portControl)+"/api/config/put", "application/json", bytes.NewReader([]byte(document)))
		if err == nil {
			_ = rs.Body.Close()
			if rs.StatusCode < http.StatusInternalServerError && rs.StatusCode != http.StatusTooManyRequests {
				dp.rc.note("the operator's configuration at %s: %d", mc.name, rs.StatusCode)
				return rs.StatusCode, nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, fmt.Errorf("no clear answer to a configuration within %v", longest)
}

var attempts atomic.Int64

// answer is what a client got.
type answer struct {
	attempt string
	status  int
	body    string
	header  http.Header
	err     error
	sent    time.Time
}

// send sends one request with the tenant's key at a machine on a new connection.
func (mc *machine) send(method, path string, body []byte) answer {
	return mc.sendAs(apiKey, method, path, body)
}

// sendAs is send with another key, or none.
func (mc *machine) sendAs(key, method, path string, body []byte) answer {
	out := answer{attempt: fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)), sent: time.Now()}
	req, err := http.NewRequest(method, "http://"+mc.addr(portOutbound)+path, bytes.NewReader(body))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = hostName
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("X-Gypsumhoist-Attempt-Id", out.attempt)
	req.Header.Set("X-Gypsumhoist-Deadline-Ms", "5000")
	cl := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	rs, err := cl.Do(req)
	if err != nil {
		out.err = err
		mc.dp.rc.note("client at %s: %s %s %s: %v", mc.name, out.attempt, method, path, err)
		return out
	}
	text, err := io.ReadAll(rs.Body)
	_ = rs.Body.Close()
	out.status, out.body, out.header, out.err = rs.StatusCode, string(text), rs.Header, err
	mc.dp.rc.note("client at %s: %s %s %s: %d %q %v", mc.name, out.attempt, method, path, rs.StatusCode, text, err)
	return out
}
