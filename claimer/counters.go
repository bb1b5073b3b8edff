package claimer

import "github.com/VictoriaMetrics/metrics"

// counters holds the metrics of a Claimer.
type counters struct {
	granted, replayed, refused, unknown *metrics.Counter
	retried, abandoned                  *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &counters{
		granted:   set.NewCounter(`gypsumhoist_claimer_claims_total{outcome="granted"}`),
		replayed:  set.NewCounter(`gypsumhoist_claimer_claims_total{outcome="replayed"}`),
		refused:   set.NewCounter(`gypsumhoist_claimer_claims_total{outcome="refused"}`),
		unknown:   set.NewCounter(`gypsumhoist_claimer_unknown_proposals_total`),
		retried:   set.NewCounter(`gypsumhoist_claimer_retried_ends_total`),
		abandoned: set.NewCounter(`gypsumhoist_claimer_abandoned_ends_total`),
	}
}

func (cs *counters) count(oc Outcome) {
	switch oc.(type) {
	case Granted:
		cs.granted.Inc()
	case Replay:
		cs.replayed.Inc()
	case Refused:
		cs.refused.Inc()
	}
}
