package registrar

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Option changes a Spreader or an Office at its construction.
type Option func(*options)

type options struct {
	self    Source
	holder  *Holder
	peers   connector.Peers
	log     *logger.Logger
	set     *metrics.Set
	barrier func(ctx context.Context) error

	proposer Proposer
	spreader *Spreader
	sheet    func() Sheet
}

func newOptions(opts []Option) options {
	op := options{}
	for _, apply := range opts {
		apply(&op)
	}
	if op.holder == nil {
		op.holder = NewHolder()
	}
	if op.set == nil {
		op.set = metrics.NewSet()
	}
	if op.barrier == nil && op.proposer != nil {
		op.barrier = op.proposer.Barrier
	}
	return op
}

// WithSelf names this instance. Its Control says whether the process has the control role.
func WithSelf(self Source) Option { return func(op *options) { op.self = self } }

// WithHolder gives the holder of the process. Without it, there is a new one.
func WithHolder(hd *Holder) Option { return func(op *options) { op.holder = hd } }

// WithPeers gives the way to other instances. Without it, nobody is asked.
func WithPeers(pr connector.Peers) Option { return func(op *options) { op.peers = pr } }

// WithLogger gives the log. Nil writes nothing.
func WithLogger(lg *logger.Logger) Option { return func(op *options) { op.log = lg } }

// WithMetrics gives the metrics. Nil keeps none.
func WithMetrics(set *metrics.Set) Option { return func(op *options) { op.set = set } }

// WithBarrier gives, on control instances, the read barrier of the log: it returns nil once the holder has
// all that was accepted before the call.
func WithBarrier(barrier func(ctx context.Context) error) Option {
	return func(op *options) { op.barrier = barrier }
}

// WithProposer gives, on control instances, the way into the replicated log.
// Its Barrier serves as the one of WithBarrier, too.
func WithProposer(pp Proposer) Option { return func(op *options) { op.proposer = pp } }

// WithSpreader gives an Office the spreader of its process, which knows what is in force where.
func WithSpreader(sp *Spreader) Option { return func(op *options) { op.spreader = sp } }

// WithSheet gives an Office, on control instances, the sheet in force in the state behind the log.
// The function must be safe for concurrent use.
func WithSheet(sheet func() Sheet) Option { return func(op *options) { op.sheet = sheet } }
