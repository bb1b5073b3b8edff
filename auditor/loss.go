package auditor

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// Kind is how a request was lost.
type Kind uint8

// Kinds.
const (
	// KindRefused is a request that was refused and has not run.
	KindRefused Kind = iota
	// KindFailed is a request that ran, or may have, and got no success.
	KindFailed
	// KindLate is a request that was served later than its row's target.
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

// Loss is what became of one request of a caller that was not served in time.
type Loss struct {
	At     time.Time
	Route  string
	Domain gypsumhoist.FailureDomain
	Kind   Kind
	// Depth is how many calls deep the loss began, Began the route of that call, Cause what was decided or met there.
	Depth int
	Began string
	Cause string
}

// chain is what all instances say of one request and of the calls made for it.
type chain struct {
	entry  *explainer.Record // at the instance where the caller's request came in
	lost   *explainer.Record // the deepest that was refused or failed
	late   *explainer.Record // the deepest that was late
	served bool
}

// add takes one record.
func (ch *chain) add(rc *explainer.Record) {
	if !rc.Hop && rc.Depth == 0 {
		ch.entry = rc
		ch.served = rc.Reason == "" && success(rc.Status)
	}
	if rc.Reason != "" || !success(rc.Status) {
		ch.lost = deeper(ch.lost, rc)
	} else if rc.Late {
		ch.late = deeper(ch.late, rc)
	}
}

func success(status int) bool { return status > 0 && status < http.StatusBadRequest }

// deeper returns the record that is nearer to the end of the chain; of two at one depth that of the upstream's own node.
func deeper(was, rc *explainer.Record) *explainer.Record {
	if was == nil || rc.Depth > was.Depth || rc.Depth == was.Depth && rc.Hop && !was.Hop {
		return rc
	}
	return was
}

// loss returns what was lost; false for a request that was served in time, or whose entry no log tells of.
func (ch *chain) loss() (Loss, bool) {
	en := ch.entry
	if en == nil || ch.served && !en.Late {
		return Loss{}, false
	}
	ls := Loss{At: en.Started.Add(en.Took), Route: en.Route, Kind: KindFailed}
	from := ch.lost
	switch {
	case ch.served:
		ls.Kind, from = KindLate, ch.late
	case en.Verdict == gypsumhoist.VerdictNotRun.String():
		ls.Kind = KindRefused
	}
	ls.Depth, ls.Began, ls.Cause = from.Depth, from.Route, causeOf(from)
	return ls, true
}

// duties are those that decide on a request, in the order in which a step of theirs explains its end.
var duties = []string{"throttler", "limiter", "admitter", "quarantiner", "retrier", "connector", "registrar", "router"}

// causeOf says in a few words what ended a request at an instance.
func causeOf(rc *explainer.Record) string {
	if rc.Reason == "" {
		if success(rc.Status) {
			return "slow"
		}
		return "upstream answered " + strconv.Itoa(rc.Status)
	}
	text := string(rc.Reason)
	for _, duty := range duties {
		for _, st := range rc.Steps {
			if st.Duty == duty && ends(st) {
				return text + " (" + duty + ")"
			}
		}
	}
	return text
}

// ends reports whether a step tells of a refusal or failure.
func ends(st explainer.Step) bool {
	switch st.What {
	case "admitted", "token spent", "picked", "rerouted", "retry":
		return false
	}
	// Steps of saved lines hold what and detail in one.
	for _, fine := range []string{"admitted", "token spent", "picked ", "table_age "} {
		if len(st.What) >= len(fine) && st.What[:len(fine)] == fine {
			return false
		}
	}
	return true
}
