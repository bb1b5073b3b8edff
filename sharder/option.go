package sharder

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

const (
	defaultUnresponsiveAfter = 5 * time.Second
	defaultRepairInterval    = 250 * time.Millisecond
	proposeTimeout           = 2 * time.Second // when the caller's context has no deadline
	proposeRetryInterval     = 20 * time.Millisecond
	changeTimeout            = 2 * time.Second
	leavePollInterval        = 100 * time.Millisecond
	eventRingSize            = 1024 // events
)

// MachineFactory creates the state machine of one generation of a shard's group, in its initial state.
type MachineFactory func(key Key, generation uint64, formedAt time.Time) replicator.StateMachine

// Option sets up a Sharder; see New.
type Option func(*Sharder)

// WithHost sets the host that the groups run on. It is required.
func WithHost(hs *replicator.Host) Option { return func(sh *Sharder) { sh.host = hs } }

// WithSelf sets this process as a member, with the boot of the process, and its failure domain. It is required.
func WithSelf(mb replicator.Member, fd gypsumhoist.FailureDomain) Option {
	return func(sh *Sharder) { sh.self, sh.domain = mb, fd }
}

// WithMachine sets the function that creates state machines. It is required.
func WithMachine(mk MachineFactory) Option { return func(sh *Sharder) { sh.newMachine = mk } }

// WithLogger sets where events are logged; nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(sh *Sharder) { sh.lg = lg } }

// WithMetrics sets where metrics are registered; nil registers none.
func WithMetrics(ms *metrics.Set) Option {
	return func(sh *Sharder) {
		if ms != nil {
			sh.metrics = ms
		}
	}
}

// WithTimings sets the timings of all groups; invalid values are replaced by the replicator's defaults.
func WithTimings(tm replicator.Timings) Option { return func(sh *Sharder) { sh.timings = tm } }

// WithUnresponsiveAfter sets after how long without a response a member is replaced.
// Zero or less keeps the default of 5 s.
func WithUnresponsiveAfter(dr time.Duration) Option {
	return func(sh *Sharder) {
		if dr > 0 {
			sh.unresponsiveAfter = dr
		}
	}
}

// WithSeed makes randomized timeouts reproducible.
func WithSeed(seed uint64) Option { return func(sh *Sharder) { sh.seed = seed } }
