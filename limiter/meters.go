package limiter

import "github.com/VictoriaMetrics/metrics"

// meters holds the metrics of a Limiter.
type meters struct {
	spentFast, spentWaited       *metrics.Counter
	refusedRate, refusedUnavail  *metrics.Counter
	takes, transfers             *metrics.Counter
	takesServed, transfersServed *metrics.Counter
	callsFailed, eventsDropped   *metrics.Counter
	waited                       *metrics.Histogram
	tokensReceived, tokensGiven  *metrics.FloatCounter
	leasesBegun, leasesEnded     *metrics.Counter
}

func newMeters(set *metrics.Set) *meters {
	if set == nil {
		set = metrics.NewSet()
	}
	return &meters{
		spentFast:       set.NewCounter(`gypsumhoist_limiter_spent_tokens_total{way="purse"}`),
		spentWaited:     set.NewCounter(`gypsumhoist_limiter_spent_tokens_total{way="waited"}`),
		refusedRate:     set.NewCounter(`gypsumhoist_limiter_refused_requests_total{reason="rate"}`),
		refusedUnavail:  set.NewCounter(`gypsumhoist_limiter_refused_requests_total{reason="rate_unavailable"}`),
		takes:           set.NewCounter(`gypsumhoist_limiter_messages_total{kind="take_sent"}`),
		transfers:       set.NewCounter(`gypsumhoist_limiter_messages_total{kind="transfer_sent"}`),
		takesServed:     set.NewCounter(`gypsumhoist_limiter_messages_total{kind="take_served"}`),
		transfersServed: set.NewCounter(`gypsumhoist_limiter_messages_total{kind="transfer_served"}`),
		callsFailed:     set.NewCounter(`gypsumhoist_limiter_failed_messages_total`),
		eventsDropped:   set.NewCounter(`gypsumhoist_limiter_dropped_messages_total`),
		waited:          set.NewHistogram(`gypsumhoist_limiter_wait_seconds`),
		tokensReceived:  set.NewFloatCounter(`gypsumhoist_limiter_received_tokens_total`),
		tokensGiven:     set.NewFloatCounter(`gypsumhoist_limiter_given_tokens_total`),
		leasesBegun:     set.NewCounter(`gypsumhoist_limiter_leases_begun_total`),
		leasesEnded:     set.NewCounter(`gypsumhoist_limiter_leases_ended_total`),
	}
}
