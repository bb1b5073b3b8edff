package claimer

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Option configures a Claimer.
type Option func(*Claimer)

// WithGroup sets the Group that proposes commands to the shard groups. Without it every claim is refused.
func WithGroup(gp Group) Option {
	return func(cl *Claimer) { cl.group = gp }
}

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) Option {
	return func(cl *Claimer) { cl.log = lg }
}

// WithMetrics registers metrics in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(cl *Claimer) { cl.counters = newCounters(set) }
}
