package replicator

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// HostOption sets up a Host; see NewHost.
type HostOption func(*Host)

// WithPeers sets the HTTP client for other processes. It is required.
func WithPeers(pe connector.Peers) HostOption {
	return func(hs *Host) { hs.peers = pe }
}

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) HostOption {
	return func(hs *Host) { hs.lg = lg }
}

// WithMetrics sets the set in which metrics are registered; with nil they are not exported.
func WithMetrics(ms *metrics.Set) HostOption {
	return func(hs *Host) {
		if ms != nil {
			hs.metrics = ms
		}
	}
}

// WithStepTimeout sets the timeout of requests that deliver messages or introduce a member.
// A non-positive value leaves the default of 300 ms.
func WithStepTimeout(dr time.Duration) HostOption {
	return func(hs *Host) {
		if dr > 0 {
			hs.stepTimeout = dr
		}
	}
}

// WithIntroductionHandler sets the function that is called when a member introduces itself; see Host.Introduce.
// It must not block.
func WithIntroductionHandler(fn func(group string, mb Member)) HostOption {
	return func(hs *Host) { hs.onIntroduction = fn }
}

// groupMetrics holds the metrics that all groups of a Host share.
type groupMetrics struct {
	leaders   *metrics.Counter
	proposals *metrics.Counter
	dropped   *metrics.Counter
	save      *metrics.Histogram
}

func newGroupMetrics(ms *metrics.Set) groupMetrics {
	return groupMetrics{
		leaders:   ms.GetOrCreateCounter("gypsumhoist_replicator_leader_changes_total"),
		proposals: ms.GetOrCreateCounter("gypsumhoist_replicator_proposals_total"),
		dropped:   ms.GetOrCreateCounter("gypsumhoist_replicator_events_dropped_total"),
		save:      ms.GetOrCreateHistogram("gypsumhoist_replicator_save_seconds"),
	}
}
