package forwarder

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// Spender takes one token for a request, within a row's rate and burst.
// The error is a *gypsumhoist.Refusal with VerdictNotRun.
type Spender interface {
	Spend(ctx context.Context, rw *registrar.Row, im gypsumhoist.Importance) error
}

// Claimer claims idempotency keys, so that a request under one runs at most once.
type Claimer interface {
	Claim(ctx context.Context, rq claimer.Request) claimer.Outcome
	Finish(ctx context.Context, gr claimer.Granted, an claimer.Answer) error
	MayHaveRun(ctx context.Context, gr claimer.Granted) error
	Ran(ctx context.Context, gr claimer.Granted) error
	Release(ctx context.Context, gr claimer.Granted) error
}

// Upstream sends requests to the upstream that announced itself at this node.
// Implementations are safe for concurrent use.
type Upstream interface {
	http.RoundTripper
}

// Defaults of the options.
const (
	DefaultBodyBytes = 64 << 20
	DefaultFirstByte = 30 * time.Second
)

// Forwarder forwards calls through one node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Forwarder struct {
	instance       gypsumhoist.Instance
	holder         *registrar.Holder
	calls          *authenticator.Calls[*retrier.Budget]
	router         *router.Router
	retrier        *retrier.Retrier
	admitter       *admitter.Admitter
	forecaster     *admitter.Forecaster
	spender        Spender
	claimer        Claimer
	quarantine     *quarantiner.Quarantiner
	onBroken       func(ctx context.Context)
	onDraining     func(Upstream)
	peers          connector.Peers
	records        *explainer.Store
	logger         *logger.Logger
	observe        func(Observation)
	bodyBytes      int64
	firstByte      time.Duration
	upstream       atomic.Pointer[upstreamSlot]
	leaving        atomic.Bool
	aborted        context.Context
	abort          context.CancelFunc
	refusingHops   atomic.Bool
	watch          func(gypsumhoist.Service)
	meters         meters
	nestedTargets  nestedTargets
	nestedStats    nestedStats
	routeBytes     routeBytes
	durations      routeDurations
	splitter       splitter
	throttler      *throttler.Throttler
	identify       func(*http.Request) gypsumhoist.RequestID
	acceptUnframed bool
	reportsLoad    func(gypsumhoist.Service) bool
}

type upstreamSlot struct {
	addr      netip.AddrPort
	started   time.Time
	transport Upstream
	draining  atomic.Bool // an answer said that the upstream drains
	load      atomic.Pointer[receivedLoad]
}

// Observation is the outcome of one request of a caller, for service-level reports.
type Observation struct {
	Row *registrar.Row
	// Succeeded is true when the caller got a complete answer with a status below 500 in time,
	// or a stored answer, whatever its status.
	Succeeded bool
	// Status is what the caller got; Reason is empty if an upstream answered.
	Status int
	Reason gypsumhoist.Reason
	Took   time.Duration
}

// Option sets one part of a Forwarder.
type Option func(*Forwarder)

// WithInstance names the instance that the node runs on.
func WithInstance(in gypsumhoist.Instance) Option { return func(fw *Forwarder) { fw.instance = in } }

// WithHolder sets the holder of the table in force.
func WithHolder(hd *registrar.Holder) Option { return func(fw *Forwarder) { fw.holder = hd } }

// WithRouter sets the router, which chooses upstreams.
func WithRouter(rt *router.Router) Option { return func(fw *Forwarder) { fw.router = rt } }

// WithRetrier sets the retrier, which decides on retries.
func WithRetrier(re *retrier.Retrier) Option { return func(fw *Forwarder) { fw.retrier = re } }

// WithAdmitter sets the admission control of this node's upstream, and the forecaster, which knows that of other upstreams.
func WithAdmitter(ad *admitter.Admitter, fc *admitter.Forecaster) Option {
	return func(fw *Forwarder) { fw.admitter, fw.forecaster = ad, fc }
}

// WithSpender sets what enforces rate and burst; with nil nothing does.
func WithSpender(sp Spender) Option { return func(fw *Forwarder) { fw.spender = sp } }

// WithClaimer sets the claimer; with nil a request that has an idempotency key and is not idempotent is refused.
func WithClaimer(cl Claimer) Option { return func(fw *Forwarder) { fw.claimer = cl } }

// WithQuarantiner sets the quarantine of requests that crash upstreams; nil quarantines none.
func WithQuarantiner(qr *quarantiner.Quarantiner) Option {
	return func(fw *Forwarder) { fw.quarantine = qr }
}

// WithBrokenConnection sets a function that is called when the upstream broke a connection with a request on it,
// before that request is answered. It finds out whether the upstream died.
func WithBrokenConnection(fn func(ctx context.Context)) Option {
	return func(fw *Forwarder) { fw.onBroken = fn }
}

// WithDrainingNotice sets a function that is called with an upstream when the first of its answers says that it drains.
func WithDrainingNotice(fn func(Upstream)) Option { return func(fw *Forwarder) { fw.onDraining = fn } }

// WithPeers sets the connections to other nodes.
func WithPeers(pe connector.Peers) Option { return func(fw *Forwarder) { fw.peers = pe } }

// WithRecordStore sets the store of the records of requests; nil keeps none.
func WithRecordStore(st *explainer.Store) Option { return func(fw *Forwarder) { fw.records = st } }

// WithLogger sets the logger; nil writes no events.
func WithLogger(lg *logger.Logger) Option { return func(fw *Forwarder) { fw.logger = lg } }

// WithMetrics sets the set that the metrics belong to; nil counts nothing.
func WithMetrics(set *metrics.Set) Option { return func(fw *Forwarder) { fw.meters = newMeters(set) } }

// WithObserver sets a function that is called after each caller's request; it must be fast and safe for concurrent use.
func WithObserver(ob func(Observation)) Option { return func(fw *Forwarder) { fw.observe = ob } }

// WithServiceWatch sets a function that is called with the service of each request; it must be fast.
func WithServiceWatch(wt func(gypsumhoist.Service)) Option {
	return func(fw *Forwarder) { fw.watch = wt }
}

// WithUnframedAnswers sets whether an upstream's answers with neither a length nor chunks are accepted: such an answer is complete
// if its connection is closed in order, and truncated if it is reset. Otherwise they are refused.
func WithUnframedAnswers(accept bool) Option {
	return func(fw *Forwarder) { fw.acceptUnframed = accept }
}

// WithRequestID sets a function that returns the id of a request, for callers that give each of their requests one;
// where it returns none, the request gets a new id.
func WithRequestID(identify func(*http.Request) gypsumhoist.RequestID) Option {
	return func(fw *Forwarder) {
		fw.identify = func(req *http.Request) gypsumhoist.RequestID {
			if id := identify(req); id != "" {
				return id
			}
			return newRequestID()
		}
	}
}

// WithThrottler sets the throttler, which refuses callers' requests at their entry while too few of their class succeed;
// nil refuses none.
func WithThrottler(th *throttler.Throttler) Option { return func(fw *Forwarder) { fw.throttler = th } }

// WithLoadReports sets a function that reports whether the upstreams of a service report their load; it must be fast. For these services
// the calls of a request that has been served in part go first; nil means that no service does.
func WithLoadReports(reports func(gypsumhoist.Service) bool) Option {
	return func(fw *Forwarder) {
		if reports != nil {
			fw.reportsLoad = reports
		}
	}
}

// WithBounds sets the maximum size of a body in bytes and the longest wait for the first byte of an answer.
// Values of zero or less keep the defaults.
func WithBounds(bodyBytes int64, firstByte time.Duration) Option {
	return func(fw *Forwarder) {
		if bodyBytes > 0 {
			fw.bodyBytes = bodyBytes
		}
		if firstByte > 0 {
			fw.firstByte = firstByte
		}
	}
}

// New returns a forwarder without an upstream.
func New(opts ...Option) *Forwarder {
	fw := &Forwarder{
		calls:       authenticator.NewCalls[*retrier.Budget](),
		bodyBytes:   DefaultBodyBytes,
		firstByte:   DefaultFirstByte,
		onBroken:    func(context.Context) {},
		onDraining:  func(Upstream) {},
		identify:    func(*http.Request) gypsumhoist.RequestID { return newRequestID() },
		reportsLoad: func(gypsumhoist.Service) bool { return false },
	}
	fw.aborted, fw.abort = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(fw)
	}
	return fw
}

// SetUpstream sets the upstream of this node and when its process started, the zero time if that is not known; a nil upstream
// removes it. Requests in flight go on.
func (fw *Forwarder) SetUpstream(addr netip.AddrPort, started time.Time, up Upstream) {
	if up == nil {
		fw.upstream.Store(nil)
		return
	}
	fw.upstream.Store(&upstreamSlot{addr: addr, started: started, transport: up})
}

// SetLeaving sets whether the upstream is leaving and gets no new requests; those in flight go on.
func (fw *Forwarder) SetLeaving(on bool) { fw.leaving.Store(on) }

// RefuseHops makes the node refuse all further calls to its upstream, for good: the process is about to exit.
func (fw *Forwarder) RefuseHops() { fw.refusingHops.Store(true) }

// Abort ends all requests in flight: their callers are answered at once, though their upstreams may still be at work.
func (fw *Forwarder) Abort() { fw.abort() }

// InFlight returns how many requests are in flight at the node's upstream.
func (fw *Forwarder) InFlight() int { return fw.calls.Len() }
