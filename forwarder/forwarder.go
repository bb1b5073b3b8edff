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

// Spender takes a token of a row's rate and burst for one request.
// The error is a *gypsumhoist.Refusal with VerdictNotRun.
type Spender interface {
	Spend(ctx context.Context, rw *registrar.Row, im gypsumhoist.Importance) error
}

// Claimer claims the right to run a request at most once.
type Claimer interface {
	Claim(ctx context.Context, rq claimer.Request) claimer.Outcome
	Finish(ctx context.Context, gr claimer.Granted, an claimer.Answer) error
	MayHaveRun(ctx context.Context, gr claimer.Granted) error
	Ran(ctx context.Context, gr claimer.Granted) error
	Release(ctx context.Context, gr claimer.Granted) error
}

// Upstream is the upstream beside the node.
// Implementations are safe for concurrent use.
type Upstream interface {
	http.RoundTripper
}

// Defaults of the options.
const (
	DefaultBodyBytes = 64 << 20
	DefaultFirstByte = 30 * time.Second
)

// Forwarder takes calls through one node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Forwarder struct {
	instance   gypsumhoist.Instance
	holder     *registrar.Holder
	calls      *authenticator.Calls[*retrier.Budget]
	router     *router.Router
	retrier    *retrier.Retrier
	admitter   *admitter.Admitter
	forecaster *admitter.Forecaster
	spender    Spender
	claimer    Claimer
	quarantine *quarantiner.Quarantiner
	broken     func(ctx context.Context)
	peers      connector.Peers
	book       *explainer.Book
	logger     *logger.Logger
	observe    func(Observation)
	bodyBytes  int64
	firstByte  time.Duration
	upstream   atomic.Pointer[upstreamSlot]
	leaving    atomic.Bool
	refusing   atomic.Bool
	watch      func(gypsumhoist.Service)
	meters     meters
	deeper     deeper
	progress   progress
	splitter   splitter
	throttler  *throttler.Throttler
	identify   func(*http.Request) gypsumhoist.RequestID
	unframed   bool
}

type upstreamSlot struct {
	addr netip.AddrPort
	trip Upstream
}

// Observation is the outcome of one request of a caller, for service-level reports.
type Observation struct {
	Row *registrar.Row
	// Whole is true when the caller got the whole answer of an upstream in time.
	Whole bool
	// Status is what the caller saw; Reason is empty for answers of an upstream.
	Status int
	Reason gypsumhoist.Reason
	Took   time.Duration
}

// Option sets one part of a Forwarder.
type Option func(*Forwarder)

// WithInstance names the instance that the node runs on.
func WithInstance(in gypsumhoist.Instance) Option { return func(fw *Forwarder) { fw.instance = in } }

// WithHolder gives the table in force.
func WithHolder(hd *registrar.Holder) Option { return func(fw *Forwarder) { fw.holder = hd } }

// WithRouter gives the choice of upstreams.
func WithRouter(rt *router.Router) Option { return func(fw *Forwarder) { fw.router = rt } }

// WithRetrier gives the decision on retries.
func WithRetrier(re *retrier.Retrier) Option { return func(fw *Forwarder) { fw.retrier = re } }

// WithAdmitter gives admission at this node's upstream, and what entry nodes know of others' admission.
func WithAdmitter(ad *admitter.Admitter, fc *admitter.Forecaster) Option {
	return func(fw *Forwarder) { fw.admitter, fw.forecaster = ad, fc }
}

// WithSpender gives rate and burst; nil bounds nothing.
func WithSpender(sp Spender) Option { return func(fw *Forwarder) { fw.spender = sp } }

// WithClaimer gives claims; with nil a keyed request that is not idempotent is refused.
func WithClaimer(cl Claimer) Option { return func(fw *Forwarder) { fw.claimer = cl } }

// WithQuarantiner gives the keeper of requests that crash upstreams; nil keeps none.
func WithQuarantiner(qr *quarantiner.Quarantiner) Option {
	return func(fw *Forwarder) { fw.quarantine = qr }
}

// WithBroken calls a function when the upstream broke a connection with a request on it,
// before that request is answered. It finds out whether the upstream died.
func WithBroken(fn func(ctx context.Context)) Option { return func(fw *Forwarder) { fw.broken = fn } }

// WithPeers gives the way to other nodes.
func WithPeers(pe connector.Peers) Option { return func(fw *Forwarder) { fw.peers = pe } }

// WithBook keeps decisions; nil keeps none.
func WithBook(bk *explainer.Book) Option { return func(fw *Forwarder) { fw.book = bk } }

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(fw *Forwarder) { fw.logger = lg } }

// WithMetrics counts on a set; nil counts nowhere.
func WithMetrics(set *metrics.Set) Option { return func(fw *Forwarder) { fw.meters = newMeters(set) } }

// WithObserver calls a function after each caller's request; it must be fast and safe for concurrent use.
func WithObserver(ob func(Observation)) Option { return func(fw *Forwarder) { fw.observe = ob } }

// WithWatch calls a function for each service that a request asks for; it must be fast.
func WithWatch(wt func(gypsumhoist.Service)) Option { return func(fw *Forwarder) { fw.watch = wt } }

// WithUnframed takes an upstream's answer that has neither length nor chunks as whole where its connection ends
// in order; one that is reset is cut short. Otherwise such answers are refused.
func WithUnframed(take bool) Option { return func(fw *Forwarder) { fw.unframed = take } }

// WithIdentity names each request by a function, for callers that give each of their requests a name of its own;
// one without a name gets a new one.
func WithIdentity(identify func(*http.Request) gypsumhoist.RequestID) Option {
	return func(fw *Forwarder) {
		fw.identify = func(req *http.Request) gypsumhoist.RequestID {
			if id := identify(req); id != "" {
				return id
			}
			return newRequestID()
		}
	}
}

// WithThrottler has fresh requests refused at their entry while too few of their kind end well; nil refuses none.
func WithThrottler(th *throttler.Throttler) Option { return func(fw *Forwarder) { fw.throttler = th } }

// WithBounds sets the longest body in bytes and the longest time to the first byte of an answer.
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
		calls:     authenticator.NewCalls[*retrier.Budget](),
		bodyBytes: DefaultBodyBytes,
		firstByte: DefaultFirstByte,
		broken:    func(context.Context) {},
		identify:  func(*http.Request) gypsumhoist.RequestID { return newRequestID() },
	}
	for _, opt := range opts {
		opt(fw)
	}
	return fw
}

// SetUpstream sets the upstream beside the node; nil takes it away.
// Requests that run go on.
func (fw *Forwarder) SetUpstream(addr netip.AddrPort, up Upstream) {
	if up == nil {
		fw.upstream.Store(nil)
		return
	}
	fw.upstream.Store(&upstreamSlot{addr: addr, trip: up})
}

// SetLeaving tells that the upstream takes no new work; requests that run go on.
func (fw *Forwarder) SetLeaving(on bool) { fw.leaving.Store(on) }

// Refuse makes the node refuse all further calls of other nodes, for good: the process is about to end.
func (fw *Forwarder) Refuse() { fw.refusing.Store(true) }

// InFlight returns how many requests run at the node's upstream.
func (fw *Forwarder) InFlight() int { return fw.calls.Len() }
