package connector

import (
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// cause says which limit a client has exceeded.
type cause uint8

const (
	causeBytes  cause = iota // the memory for heads is used up, and no larger head is in progress
	causeLines               // a head has too many lines
	causeTime                // a head of HTTP/2 takes too long
	causeFrames              // a head of HTTP/2 has too many or wrong frames
	causeClient              // the client address has too many connections
	causeAnswer              // the client does not take its response, and the memory for such responses is used up
	causeCount
)

var causeNames = [causeCount]string{"bytes", "lines", "time", "frames", "client", "answer"}

// refusedLogInterval is the least time between two events about refused clients of one port.
const refusedLogInterval = 10 * time.Second

// refusals counts the clients of a Server that were refused, and logs them at most once per refusedLogInterval.
type refusals struct {
	server   *Server
	counters [causeCount]*metrics.Counter

	mu     sync.Mutex
	counts [causeCount]int // since the last event
	logged time.Time
}

func newRefusals(sv *Server) *refusals {
	rf := &refusals{server: sv}
	for cs, name := range causeNames {
		rf.counters[cs] = counter(sv.config.metrics,
			`gypsumhoist_connector_refused_heads_total{port="`+sv.config.port.String()+`",cause="`+name+`"}`)
	}
	return rf
}

// add counts a refusal.
func (rf *refusals) add(cs cause) {
	rf.counters[cs].Inc()
	rf.mu.Lock()
	rf.counts[cs]++
	if time.Since(rf.logged) < refusedLogInterval {
		rf.mu.Unlock()
		return
	}
	counts := rf.counts
	rf.counts, rf.logged = [causeCount]int{}, time.Now()
	rf.mu.Unlock()
	pairs := []any{"port", rf.server.config.port, "head_bytes", rf.server.config.accountant.HeadBytes()}
	for cs, count := range counts {
		pairs = append(pairs, causeNames[cs], count)
	}
	rf.server.config.logger.Log(eventRefused, pairs...)
}

// refuse counts a client that is beyond a limit.
func (sv *Server) refuse(cs cause) { sv.refusals.add(cs) }

// refuseRequest answers a request that is beyond a limit. Nothing was sent on, so it has not run.
func refuseRequest(wr http.ResponseWriter, req *http.Request) {
	hd := wr.Header()
	hd.Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictNotRun.String())
	hd.Set(gypsumhoist.HeaderReason, string(gypsumhoist.ReasonTooLarge))
	if req.ProtoMajor == 1 {
		hd.Set("Connection", "close")
	}
	wr.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
}
