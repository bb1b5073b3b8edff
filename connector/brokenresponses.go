package connector

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// brokenLogInterval is the shortest time between two log lines about broken responses of a pool.
const brokenLogInterval = time.Second

// brokenResponses counts broken responses and logs them, one line per interval at most. It is safe for concurrent use.
type brokenResponses struct {
	config  *config
	kind    string
	source  any
	counter *metrics.Counter

	mu       sync.Mutex
	unlogged int
	loggedAt time.Time
}

// newBrokenResponses returns a counter for a kind of pool; source is the other end that log lines name, if there is only one.
func newBrokenResponses(cf *config, kind string, source any) *brokenResponses {
	return &brokenResponses{
		config: cf, kind: kind, source: source,
		counter: counter(cf.metrics, `gypsumhoist_connector_broken_responses_total{kind="`+kind+`"}`),
	}
}

// note counts a broken response.
func (br *brokenResponses) note(err error) {
	br.counter.Inc()
	now := time.Now()
	br.mu.Lock()
	br.unlogged++
	count := br.unlogged
	if !br.loggedAt.IsZero() && now.Sub(br.loggedAt) < brokenLogInterval {
		br.mu.Unlock()
		return
	}
	br.unlogged, br.loggedAt = 0, now
	br.mu.Unlock()
	if br.source == nil {
		br.config.logger.Log(eventBroken, "kind", br.kind, "responses", count, "error", err)
		return
	}
	br.config.logger.Log(eventBroken, "kind", br.kind, "from", br.source, "responses", count, "error", err)
}

// checkPeerResponse checks what net/http leaves unchecked in the head of an HTTP/2 response: statuses outside 200 to 599, more than one
// length, a length that is no number, and a transfer coding. The lengths matter where a node passes the response on over HTTP/1.1.
func checkPeerResponse(rsp *http.Response) error {
	if rsp.StatusCode < statusFinal || rsp.StatusCode > statusHighest {
		return errStatus
	}
	if len(rsp.Header["Transfer-Encoding"]) > 0 {
		return errCoding
	}
	lengths := rsp.Header["Content-Length"]
	if len(lengths) == 0 {
		return nil
	}
	if _, err := strconv.ParseUint(lengths[0], 10, 63); err != nil || len(lengths) > 1 {
		return errLength
	}
	return nil
}
