package limiter

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Option configures a Limiter.
type Option func(*Limiter)

// WithInstance sets the instance and the failure domain of this process.
func WithInstance(in gypsumhoist.Instance, dm gypsumhoist.FailureDomain) Option {
	return func(lm *Limiter) { lm.node, lm.domain = in, dm }
}

// WithDirectory sets the directory of shard leaders. Without it every request is refused.
func WithDirectory(dir Directory) Option {
	return func(lm *Limiter) { lm.dir = dir }
}

// WithPeers sets the connections to other instances.
func WithPeers(pr connector.Peers) Option {
	return func(lm *Limiter) { lm.peers = pr }
}

// WithMinLease sets the minimum time between the beginnings of two leases of one shard group.
// If it is shorter than MaxTokenHold, or not set, a new leader grants only tokens received from other domains
// for the first MaxTokenHold of its lease.
func WithMinLease(least time.Duration) Option {
	return func(lm *Limiter) { lm.minLease = least }
}

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) Option {
	return func(lm *Limiter) { lm.log = lg }
}

// WithMetrics registers metrics in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(lm *Limiter) { lm.ms = newMeters(set) }
}
