package router

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/prober"
)

var (
	eventEjected = logger.Define(1500, logger.LevelWarn, "upstream_ejected",
		"Attempts at the upstream fail; until two probes in a row are answered, this node sends it only probes.")
	eventReturned = logger.Define(1501, logger.LevelInfo, "upstream_returned",
		"Probes of an ejected upstream were answered; it gets requests again, few at first (slow start).")
	eventRateLimit = logger.Define(1502, logger.LevelInfo, "rate_limit_heard",
		"An answer of an upstream names another limit of requests per second, or none; this node tells it to the upstream's node if that restarts.")
	eventDraining = logger.Define(1503, logger.LevelInfo, "draining_heard",
		"An answer of an upstream says that it drains; this node sends it no new requests, whatever its node announces, until another process of it runs.")
	eventSpilloverBegun = logger.Define(1504, logger.LevelInfo, "spillover_begun",
		"This node has begun to send calls of a service to another failure domain, as its own domain has no room for them.")
	eventSpilloverEnded = logger.Define(1505, logger.LevelInfo, "spillover_ended",
		"This node has ended sending calls of a service to another failure domain.")
)

// Router picks upstreams for all services known to this node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Router struct {
	local  gypsumhoist.FailureDomain
	start  time.Time
	logger *logger.Logger
	seed   func() *rand.Rand

	mu           sync.Mutex // guards delays, reachability, evacuated and writes to services
	services     atomic.Pointer[map[gypsumhoist.Service]*service]
	delays       map[gypsumhoist.FailureDomain]time.Duration
	reachability prober.Reachability
	evacuated    []gypsumhoist.FailureDomain

	metrics                            *metrics.Set
	picks, probes, ejections, unrouted *metrics.Counter

	spillover   Spillover
	loadReports bool
}

type service struct {
	mu    sync.Mutex
	group *Group
	// load and pace say until when the service counts as one whose upstreams report their load, and their pace.
	load, pace reportExpiry
}

// reportExpiry is when what upstreams have reported expires, in time.Duration since the router's start.
type reportExpiry struct{ until atomic.Int64 }

// note records that an upstream made a report at a time.
func (re *reportExpiry) note(at time.Duration) {
	until := int64(at + PaceLifetime)
	for {
		old := re.until.Load()
		if until <= old || re.until.CompareAndSwap(old, until) {
			return
		}
	}
}

func (re *reportExpiry) valid(now time.Duration) bool { return int64(now) < re.until.Load() }

// Option configures a Router.
type Option func(*Router)

// WithLogger sets the logger; nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(rt *Router) { rt.logger = lg } }

// WithMetrics registers the counters with a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(rt *Router) {
		if set == nil {
			set = metrics.NewSet()
		}
		rt.metrics = set
		rt.picks = set.NewCounter("gypsumhoist_router_picks_total")
		rt.probes = set.NewCounter("gypsumhoist_router_probes_total")
		rt.ejections = set.NewCounter("gypsumhoist_router_ejections_total")
		rt.unrouted = set.NewCounter("gypsumhoist_router_unrouted_total")
	}
}

// WithSpillover configures when calls leave the failure domain, for services whose upstreams report their pace.
func WithSpillover(sp Spillover) Option { return func(rt *Router) { rt.spillover = sp } }

// WithLoadReports sets whether load reports of upstreams are used, as they are by default. Otherwise no service counts as one whose
// upstreams report their pace.
func WithLoadReports(use bool) Option { return func(rt *Router) { rt.loadReports = use } }

// WithRandom sets the random source that seeds the source of each service.
func WithRandom(rd *rand.Rand) Option {
	return func(rt *Router) {
		rt.seed = func() *rand.Rand { return rand.New(rand.NewPCG(rd.Uint64(), rd.Uint64())) }
	}
}

// New returns a router without upstreams for a node in the local failure domain.
func New(local gypsumhoist.FailureDomain, opts ...Option) *Router {
	rt := &Router{
		local:  local,
		start:  time.Now(),
		delays: map[gypsumhoist.FailureDomain]time.Duration{},

		spillover:   DefaultSpillover,
		loadReports: true,

		seed: func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) },
	}
	rt.services.Store(&map[gypsumhoist.Service]*service{})
	for _, opt := range append([]Option{WithMetrics(nil)}, opts...) {
		opt(rt)
	}
	return rt
}

// SetUpstreams replaces the upstreams of one service; an empty list is valid.
// Removed upstreams get no new attempts; attempts in flight are not affected.
func (rt *Router) SetUpstreams(name gypsumhoist.Service, upstreams []Upstream) {
	sv := rt.service(name)
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.group.SetUpstreams(rt.now(), upstreams)
}

// SetDelay sets the measured one-way delay to a failure domain.
func (rt *Router) SetDelay(dm gypsumhoist.FailureDomain, delay time.Duration) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.delays[dm] = delay
	for _, sv := range *rt.services.Load() {
		sv.mu.Lock()
		sv.group.SetDelay(dm, delay)
		sv.mu.Unlock()
	}
}

// SetReachability sets which instances and failure domains this node can reach. Unreachable upstreams get no attempts, however many
// they are; unlike ejections, unreachability is never ignored.
func (rt *Router) SetReachability(re prober.Reachability) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.reachability = re
	for _, sv := range *rt.services.Load() {
		sv.mu.Lock()
		sv.group.SetReachability(re)
		sv.mu.Unlock()
	}
}

// Available returns the number of upstreams of a service that an attempt could go to, other than the excluded ones.
func (rt *Router) Available(name gypsumhoist.Service, exclude ...gypsumhoist.Instance) int {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		return 0
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.group.available(rt.now(), exclude)
}

// ReportsPace reports whether an upstream of the service has reported its pace in the last 10 s, as far as this node has heard.
// Decisions that load reports change are changed only for such services.
func (rt *Router) ReportsPace(name gypsumhoist.Service) bool {
	sv, ok := (*rt.services.Load())[name]
	return ok && sv.pace.valid(rt.now())
}

// ReportsLoad reports whether an upstream of the service has reported its load, with or without its pace, in the last 10 s, as far as
// this node has heard. Decisions on admission that need such upstreams are changed only for these services.
func (rt *Router) ReportsLoad(name gypsumhoist.Service) bool {
	sv, ok := (*rt.services.Load())[name]
	return ok && sv.load.valid(rt.now())
}

// service returns the state of a service and creates it if necessary.
func (rt *Router) service(name gypsumhoist.Service) *service {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	old := *rt.services.Load()
	if sv, ok := old[name]; ok {
		return sv
	}
	sv := &service{group: NewGroup(rt.local, rt.seed())}
	for dm, delay := range rt.delays {
		sv.group.delays[dm] = delay
	}
	sv.group.reachability = rt.reachability
	sv.group.evacuated = rt.evacuated
	sv.group.spillover = rt.spillover
	next := maps.Clone(old)
	next[name] = sv
	rt.services.Store(&next)
	return sv
}

// errNoUpstream is shared so that Pick doesn't allocate.
var errNoUpstream = gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, time.Second,
	"no upstream of the service is known that hasn't been tried")

// Pick chooses an upstream of a service for one attempt, other than the excluded ones. It is PickFor of a request of which nothing
// is known but whether it is idempotent.
func (rt *Router) Pick(name gypsumhoist.Service, idempotent bool, exclude ...gypsumhoist.Instance) (Pick, error) {
	return rt.PickFor(name, Request{Idempotent: idempotent}, exclude...)
}

// PickFor chooses an upstream of a service for one attempt at a request, other than the excluded ones.
// An idempotent attempt, one that may run more than once, can serve as a probe of an ejected upstream.
// The error is a shared *gypsumhoist.Refusal with VerdictNotRun that must not be modified.
// The caller must call Done on every Pick.
func (rt *Router) PickFor(name gypsumhoist.Service, rq Request, exclude ...gypsumhoist.Instance) (Pick, error) {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		rt.unrouted.Inc()
		return Pick{}, errNoUpstream
	}
	now := rt.now()
	sv.mu.Lock()
	ch := sv.group.pick(now, &rq, exclude)
	var up Upstream
	var limit gypsumhoist.RateLimit
	if ch.member != nil {
		up = ch.member.upstream
		limit = sv.group.beliefs[up.Instance].rateLimit
	}
	nt := sv.group.notes(ch.member)
	sv.mu.Unlock()
	if nt.changes != nil || nt.gauge != nil {
		nt.apply(rt, name, sv)
	}
	if ch.member == nil {
		rt.unrouted.Inc()
		return Pick{}, errNoUpstream
	}
	rt.picks.Inc()
	if ch.probe {
		rt.probes.Inc()
	}
	return Pick{Upstream: up, RateLimit: limit, Probe: ch.probe, router: rt, service: sv, choice: ch}, nil
}

// PickAmong chooses the upstream of the lowest cost among the given ones, for another attempt at one that was tried before.
// Unlike Pick, it takes neither stopping nor silent upstreams and makes no probes. The error is that of Pick.
// The caller must call Done on every Pick.
func (rt *Router) PickAmong(name gypsumhoist.Service, among ...gypsumhoist.Instance) (Pick, error) {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		return Pick{}, errNoUpstream
	}
	sv.mu.Lock()
	mb := sv.group.pickAmong(rt.now(), among)
	var up Upstream
	var limit gypsumhoist.RateLimit
	if mb != nil {
		up = mb.upstream
		limit = sv.group.beliefs[up.Instance].rateLimit
	}
	sv.mu.Unlock()
	if mb == nil {
		rt.unrouted.Inc()
		return Pick{}, errNoUpstream
	}
	rt.picks.Inc()
	return Pick{Upstream: up, RateLimit: limit, router: rt, service: sv, choice: choice{member: mb}}, nil
}

// Pick is one attempt at an upstream. It is not safe for concurrent use.
type Pick struct {
	Upstream Upstream
	// RateLimit is the last limit of the upstream that this node heard of.
	RateLimit gypsumhoist.RateLimit
	// Probe reports whether the upstream is ejected and the attempt checks if it has recovered.
	Probe bool

	router  *Router
	service *service
	choice  choice
}

// Report records what the answer to the attempt says about its upstream. It has no effect after Done.
func (pk *Pick) Report(rp Report) {
	if pk.service == nil {
		return
	}
	now := pk.router.now()
	if !pk.router.loadReports {
		rp.Load = LoadReport{}
	}
	pk.service.mu.Lock()
	changed := pk.service.group.report(now, pk.Upstream.Instance, rp)
	pk.service.mu.Unlock()
	if rp.Load.Known() {
		pk.service.load.note(now - rp.Load.Age)
	}
	if rp.Load.PacePercent > 0 {
		pk.service.pace.note(now - rp.Load.Age)
	}
	if changed.draining {
		pk.router.logger.Log(eventDraining, "upstream", pk.Upstream.Instance, "process", rp.Process)
	}
	if changed.rateLimit {
		pk.router.logger.Log(eventRateLimit, "upstream", pk.Upstream.Instance, "before", pk.RateLimit, "rate_limit", rp.RateLimit)
	}
}

// Done ends the attempt and records its outcome. Calls after the first do nothing.
func (pk *Pick) Done(oc Outcome) {
	if pk.service == nil {
		return
	}
	rt, sv := pk.router, pk.service
	pk.service = nil
	now := rt.now()
	sv.mu.Lock()
	ch := sv.group.done(now, pk.choice, oc)
	sv.mu.Unlock()
	switch ch {
	case changeEjected:
		rt.ejections.Inc()
		rt.logger.Log(eventEjected, "upstream", pk.Upstream.Instance, "failure_domain", pk.Upstream.Domain)
	case changeReturned:
		rt.logger.Log(eventReturned, "upstream", pk.Upstream.Instance, "failure_domain", pk.Upstream.Domain)
	case changeNone:
	}
}

func (rt *Router) now() time.Duration { return time.Since(rt.start) }
