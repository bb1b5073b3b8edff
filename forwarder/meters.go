package forwarder

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// meters are the forwarder's metrics; the zero value counts nothing.
type meters struct {
	set             *metrics.Set
	completeAnswers *metrics.Counter
	attempts        *metrics.Counter
	abortedAnswers  *metrics.Counter
	seconds         *metrics.Histogram
}

func newMeters(set *metrics.Set) meters {
	if set == nil {
		return meters{}
	}
	return meters{
		set:             set,
		completeAnswers: set.GetOrCreateCounter("gypsumhoist_forwarder_answers_whole_total"),
		attempts:        set.GetOrCreateCounter("gypsumhoist_forwarder_attempts_total"),
		abortedAnswers:  set.GetOrCreateCounter("gypsumhoist_forwarder_answers_aborted_total"),
		seconds:         set.GetOrCreateHistogram("gypsumhoist_forwarder_request_seconds"),
	}
}

func (mt meters) answered(took time.Duration) {
	if mt.set == nil {
		return
	}
	mt.completeAnswers.Inc()
	mt.seconds.Update(took.Seconds())
}

func (mt meters) aborted() {
	if mt.set != nil {
		mt.abortedAnswers.Inc()
	}
}

func (mt meters) attempted() {
	if mt.set != nil {
		mt.attempts.Inc()
	}
}

func (mt meters) refused(rs gypsumhoist.Reason) {
	if mt.set != nil {
		mt.set.GetOrCreateCounter(`gypsumhoist_forwarder_refusals_total{reason="` + string(rs) + `"}`).Inc()
	}
}
