package registrar

import (
	"context"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// Option configures a distributor or an operators' service.
type Option func(*options)

type options struct {
	self    Source
	holder  *Holder
	peers   connector.Peers
	log     *logger.Logger
	set     *metrics.Set
	barrier func(ctx context.Context) error

	proposer    Proposer
	distributor *Distributor
	sheet       func() Sheet
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

// WithSelf sets the identity of this instance. Its Control says whether the process has the control role.
func WithSelf(self Source) Option { return func(op *options) { op.self = self } }

// WithHolder sets the holder of the process. The default is a new one.
func WithHolder(hd *Holder) Option { return func(op *options) { op.holder = hd } }

// WithPeers sets the connections to other instances. Without it, no other instance is contacted.
func WithPeers(pr connector.Peers) Option { return func(op *options) { op.peers = pr } }

// WithLogger sets the logger. Nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(op *options) { op.log = lg } }

// WithMetrics sets the set in which metrics are registered. With nil they are not published.
func WithMetrics(set *metrics.Set) Option { return func(op *options) { op.set = set } }

// WithBarrier sets, on control instances, the read barrier of the log: it returns nil once the holder has
// everything that was accepted before the call.
func WithBarrier(barrier func(ctx context.Context) error) Option {
	return func(op *options) { op.barrier = barrier }
}

// WithProposer sets, on control instances, the access to the replicated log.
// Its Barrier is used unless WithBarrier gives another one.
func WithProposer(pp Proposer) Option { return func(op *options) { op.proposer = pp } }

// WithDistributor gives the operators' service the distributor of its process, which knows where a change is in force.
func WithDistributor(ds *Distributor) Option { return func(op *options) { op.distributor = ds } }

// WithSheet gives the operators' service, on control instances, a function that returns the sheet in force.
// It must be safe for concurrent use.
func WithSheet(sheet func() Sheet) Option { return func(op *options) { op.sheet = sheet } }
