package auditor

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// Kind is the way in which a request was lost.
type Kind uint8

// Kinds.
const (
	// KindRefused is a request that was refused and did not run.
	KindRefused Kind = iota
	// KindFailed is a request that ran, or may have run, but did not succeed.
	KindFailed
	// KindLate is a request that was served, but not within its row's target latency.
	KindLate

	kindCount
)

var kindNames = [kindCount]string{"refused", "failed", "late"}

// String returns the kind in snake case.
func (kd Kind) String() string {
	if kd >= kindCount {
		return "unknown"
	}
	return kindNames[kd]
}

// MarshalText writes the kind as String does.
func (kd Kind) MarshalText() ([]byte, error) { return []byte(kd.String()), nil }

// Loss is one request of a caller that was not served in time.
type Loss struct {
	At     time.Time
	Route  string
	Domain gypsumhoist.FailureDomain
	Kind   Kind
	// Depth is the depth in the call chain at which the loss began, 0 for the caller's own request.
	// Began is the route of the call at that depth, Cause the decision or failure there.
	Depth int
	Began string
	Cause string
}

// chain holds what the log lines of all instances say about one request and the calls made for it.
type chain struct {
	entry          *explainer.Record // at the instance that the caller's request entered at
	deepestFailure *explainer.Record // refused or failed
	deepestLate    *explainer.Record // served late
	served         bool
}

func (ch *chain) add(rc *explainer.Record) {
	if !rc.Hop && rc.Depth == 0 {
		ch.entry = rc
		ch.served = rc.Reason == "" && isSuccess(rc.Status)
	}
	if rc.Reason != "" || !isSuccess(rc.Status) {
		ch.deepestFailure = deeper(ch.deepestFailure, rc)
	} else if rc.Late {
		ch.deepestLate = deeper(ch.deepestLate, rc)
	}
}

func isSuccess(status int) bool { return status > 0 && status < http.StatusBadRequest }

// deeper returns the record with the greater depth. At equal depth it prefers the hop, the record of the upstream's node.
func deeper(current, rc *explainer.Record) *explainer.Record {
	if current == nil || rc.Depth > current.Depth || rc.Depth == current.Depth && rc.Hop && !current.Hop {
		return rc
	}
	return current
}

// loss returns the loss of the request. It returns false if the request was served in time, or if the logs hold no record of its entry.
func (ch *chain) loss() (Loss, bool) {
	entry := ch.entry
	if entry == nil || ch.served && !entry.Late {
		return Loss{}, false
	}
	ls := Loss{At: entry.Started.Add(entry.Took), Route: entry.Route, Kind: KindFailed}
	origin := ch.deepestFailure
	switch {
	case ch.served:
		ls.Kind, origin = KindLate, ch.deepestLate
	case entry.Verdict == gypsumhoist.VerdictNotRun.String():
		ls.Kind = KindRefused
	}
	ls.Depth, ls.Began, ls.Cause = origin.Depth, origin.Route, causeOf(origin)
	return ls, true
}

// components are the packages that can decide the end of a request. If several recorded a refusal or failure, the first one here
// is taken as the cause.
var components = []string{"throttler", "limiter", "admitter", "quarantiner", "retrier", "connector", "registrar", "router"}

// causeOf describes what ended a request at an instance, for the tables and the chart.
func causeOf(rc *explainer.Record) string {
	if rc.Reason == "" {
		if isSuccess(rc.Status) {
			return "slow"
		}
		return "upstream answered " + strconv.Itoa(rc.Status)
	}
	text := string(rc.Reason)
	for _, component := range components {
		for _, st := range rc.Steps {
			if st.Component == component && isFailure(st) {
				return text + " (" + component + ")"
			}
		}
	}
	return text
}

// isFailure reports whether a step is a refusal or failure.
func isFailure(st explainer.Step) bool {
	switch st.Decision {
	case "admitted", "token spent", "picked", "rerouted", "retry":
		return false
	}
	// A step read from a log line holds its detail in the same field, after the decision.
	for _, prefix := range []string{"admitted", "token spent", "picked ", "table_age "} {
		if len(st.Decision) >= len(prefix) && st.Decision[:len(prefix)] == prefix {
			return false
		}
	}
	return true
}
