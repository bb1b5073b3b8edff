package server

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/reporter"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

var eventUpstreamDrains = logger.Define(1033, logger.LevelInfo, "upstream_drains",
	"An answer of this node's upstream says that the upstream drains; it gets no new requests, whatever it announces.")

var eventDrainRemembered = logger.Define(1034, logger.LevelInfo, "upstream_drain_remembered",
	"The upstream announced itself, but other instances know that this process of it drains, as before a restart of this node; it gets no new requests.")

// maxRecords is the number of request records that a node keeps for explain.
const maxRecords = 4096

// maxTableWatches is the number of services in the table up to which a node watches all of them before any request asks for them.
const maxTableWatches = 64

// node is the node role of a process.
type node struct {
	sv         *Server
	holder     *registrar.Holder
	forwarder  *forwarder.Forwarder
	router     *router.Router
	admitter   *admitter.Admitter
	announcer  *announcer.Announcer
	records    *explainer.Store
	quarantine *quarantineAdapter
	shards     *shards
	limits     *limits
	claimer    *claimer.Claimer
	allocation *allocation
	reporter   *reporter.Reporter

	mu           sync.Mutex
	watching     map[gypsumhoist.Service]bool
	announcement announcer.Announcement
	pool         *connector.UpstreamPool
	// transport sends requests to the announced upstream; drains is set once that has said in an answer that it drains.
	transport forwarder.Upstream
	drains    bool
	drained   drained
	cold      coldLimit
	// evacuated is set while the table in force evacuates this failure domain.
	evacuated bool
}

func newNode(sv *Server, holder *registrar.Holder) *node {
	nd := &node{
		sv: sv, holder: holder, records: explainer.New(maxRecords), watching: map[gypsumhoist.Service]bool{},
		drained: drained{sv: sv},
		router: router.New(sv.settings.FailureDomain, router.WithLogger(sv.logger),
			router.WithMetrics(sv.metrics), router.WithRandom(sv.forkRandom()),
			router.WithLoadReports(sv.settings.Routing.LoadReports), router.WithSpillover(spillover(sv.settings.Routing))),
		admitter: admitter.New(admitter.WithLogger(sv.logger), admitter.WithMetrics(sv.metrics), admitter.WithRandom(sv.forkRandom())),
	}
	nd.quarantine = newQuarantineAdapter(sv, nd)
	nd.announcer = announcer.New(announcer.WithLogger(sv.logger), announcer.WithNotify(nd.announcementChanged),
		announcer.WithExpiry(time.Duration(sv.settings.Upstream.Lapse)))
	opts := []forwarder.Option{forwarder.WithThrottler(throttler.New(sv.forkRandom()))}
	if sv.requestID != nil {
		opts = append(opts, forwarder.WithRequestID(sv.requestID))
	}
	if !sv.settings.Claims.Off {
		nd.shards = newShards(sv)
		nd.claimer = claimer.New(claimer.WithGroup(nd.shards), claimer.WithLogger(sv.logger), claimer.WithMetrics(sv.metrics))
		opts = append(opts, forwarder.WithClaimer(nd.claimer))
	}
	if sv.settings.Rates.Keepers == loader.KeepersChosen {
		nd.allocation = newAllocation(sv)
		opts = append(opts, forwarder.WithSpender(nd.allocation.allocator))
	} else {
		nd.limits = newLimits(sv, nd.shards)
		opts = append(opts, forwarder.WithSpender(nd.limits.limiter))
	}
	nd.reporter = reporter.New(reporter.WithLogger(sv.logger), reporter.WithMetrics(sv.metrics))
	bd := sv.settings.Bounds
	nd.forwarder = forwarder.New(append(opts,
		forwarder.WithInstance(sv.settings.Instance), forwarder.WithHolder(holder), forwarder.WithRouter(nd.router),
		forwarder.WithRetrier(retrier.New(retrier.WithMetrics(sv.metrics))),
		forwarder.WithAdmitter(nd.admitter, admitter.NewForecaster()),
		forwarder.WithPeers(sv.peers), forwarder.WithRecordStore(nd.records), forwarder.WithLogger(sv.logger),
		forwarder.WithMetrics(sv.metrics), forwarder.WithServiceWatch(nd.watch), forwarder.WithObserver(nd.observe),
		forwarder.WithQuarantiner(nd.quarantine.quarantiner), forwarder.WithBrokenConnection(nd.quarantine.probeUpstream),
		forwarder.WithDrainingNotice(nd.upstreamDrains),
		forwarder.WithLoadReports(nd.router.ReportsLoad),
		forwarder.WithBounds(bd.BodyBytes, time.Duration(bd.FirstByte)),
		forwarder.WithUnframedAnswers(sv.settings.Upstream.UnframedAnswers == loader.UnframedAccept),
	)...)
	return nd
}

// spillover returns the router's configuration for the settings.
func spillover(rt loader.Routing) router.Spillover {
	sp := router.Spillover{MaxShare: rt.SpilloverMaxShare, PerMegabyte: time.Duration(rt.SpilloverPerMegabyte)}
	switch rt.Spillover {
	case loader.SpilloverPriced:
		sp.Mode = router.SpilloverPriced
	case loader.SpilloverOverflow:
		sp.Mode = router.SpilloverOverflow
	case loader.SpilloverOff:
		sp.Mode = router.SpilloverOff
	}
	return sp
}

// outbound returns the handler of the upstream port: announcements and the upstream's own calls.
func (nd *node) outbound() http.Handler { return nd.announcer.Handler(nd.forwarder.Outbound()) }

// mount adds the node role's handlers for other instances.
func (nd *node) mount(mux *http.ServeMux) {
	mux.Handle(nd.quarantine.quarantiner.Handler())
	if nd.limits != nil {
		mux.Handle(nd.limits.limiter.Handler())
	}
	if nd.allocation != nil {
		mux.Handle(nd.allocation.allocator.Handler())
	}
}

func (nd *node) start() {
	nd.quarantine.start()
	if nd.shards != nil {
		nd.shards.start()
		nd.claimer.Start()
	}
	if nd.limits != nil {
		nd.limits.start()
	}
	if nd.allocation != nil {
		nd.allocation.allocator.Start()
	}
	nd.announcer.Start()
	nd.sv.tmb.Go(nd.drained.loop)
}

func (nd *node) stop() {
	if nd.limits != nil {
		nd.limits.limiter.Stop()
	}
	if nd.allocation != nil {
		nd.allocation.allocator.Stop()
	}
	if nd.shards != nil {
		nd.claimer.Stop()
		nd.shards.sharder.Stop()
	}
	nd.quarantine.quarantiner.Stop()
	nd.announcer.Stop()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.pool != nil {
		nd.pool.Stop()
		nd.pool = nil
	}
}

// leave announces the upstream to the fleet once more, so that its latest state goes out with the rumor of the stop.
func (nd *node) leave() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.publishUpstream(nd.announcement)
}

// announcementChanged applies a new announcement of the local upstream, or the zero one after its end.
func (nd *node) announcementChanged(an announcer.Announcement, cause announcer.Cause) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.quarantine.announcementChanged(nd.announcement, an, cause)
	if !an.SameUpstream(nd.announcement) {
		nd.replaceUpstream(an)
	}
	nd.cold.announced(an)
	nd.apply(an)
}

// suspectCold limits the upstream as a cold one until it announces itself again. It may have restarted.
func (nd *node) suspectCold() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.announcement.Service != "" && nd.cold.suspect(nd.announcement.Service) {
		nd.apply(nd.announcement)
	}
}

// upstreamDrains applies that an upstream has said in an answer that it drains.
func (nd *node) upstreamDrains(up forwarder.Upstream) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if up != nd.transport || nd.drains {
		return
	}
	nd.drains = true
	nd.drained.add(nd.announcement.Boot)
	nd.sv.logger.Log(eventUpstreamDrains, "service", nd.announcement.Service, "boot", nd.announcement.Boot, "announced", nd.announcement.State)
	nd.apply(nd.announcement)
}

// apply puts an announcement of the present upstream in force. It needs the mutex.
func (nd *node) apply(an announcer.Announcement) {
	if an.Service != "" && an.State != announcer.StateDraining && (nd.drains || nd.drained.includes(an.Boot)) {
		if !nd.drains && (an.Boot != nd.announcement.Boot || nd.announcement.State != announcer.StateDraining) {
			nd.sv.logger.Log(eventDrainRemembered, "service", an.Service, "boot", an.Boot, "announced", an.State)
		}
		an.State = announcer.StateDraining
	}
	nd.announcement = an
	// Before the slots, which may start waiting requests.
	nd.admitter.SetColdLimit(nd.cold.limit(an.Service))
	nd.admitter.SetSlots(an.Slots)
	nd.setLeaving()
	nd.publishUpstream(an)
}

// replaceUpstream creates a pool for a new upstream; the old one's connections close when their requests end.
func (nd *node) replaceUpstream(an announcer.Announcement) {
	if nd.pool != nil {
		nd.pool.Stop()
		nd.pool = nil
	}
	nd.transport, nd.drains = nil, false
	nd.admitter.SetRateLimit(gypsumhoist.RateLimit{}, admitter.RateLimitForgotten)
	if an.Service == "" {
		nd.forwarder.SetUpstream(netip.AddrPort{}, time.Time{}, nil)
		return
	}
	nd.pool = connector.NewUpstreamPool(an.Address, connector.WithNetwork(&outageDetector{nd.sv.network, nd.suspectCold}),
		connector.WithResponseCheck(nd.sv.answerCheck), connector.WithIdleTimeout(time.Duration(nd.sv.settings.Upstream.IdleTime)),
		connector.WithReceiveBuffer(nd.sv.settings.Bounds.ReceiveBuffer), connector.WithSendBuffer(nd.sv.settings.Bounds.SendBuffer),
		connector.WithMaxConns(an.Connections), connector.WithLogger(nd.sv.logger), connector.WithMetrics(nd.sv.metrics))
	nd.pool.Start()
	nd.transport = nd.sv.upstreamMiddleware(an, nd.pool)
	nd.forwarder.SetUpstream(an.Address, an.Started, nd.transport)
}

// publishUpstream announces the local upstream to the fleet. Load and cut-off are left out: entry nodes learn them
// from responses, while gossip would deliver them seconds late.
func (nd *node) publishUpstream(an announcer.Announcement) {
	if an.Service == "" {
		nd.sv.gossiper.Announce(gossiper.Upstream{})
		return
	}
	if an.State == announcer.StateReady && nd.cold.limit(an.Service).Limited() {
		an.State = announcer.StateWarming
	}
	nd.sv.gossiper.Announce(gossiper.Upstream{
		Service: an.Service, State: gossipState(an.State), Slots: an.Slots, Connections: an.Connections, Started: an.Started,
	})
}

func gossipState(st announcer.State) gossiper.UpstreamState {
	switch st {
	case announcer.StateDraining:
		return gossiper.UpstreamDraining
	case announcer.StateWarming:
		return gossiper.UpstreamWarming
	default:
		return gossiper.UpstreamReady
	}
}

// watch subscribes to gossip about a service's upstreams.
func (nd *node) watch(svc gypsumhoist.Service) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.watching[svc] {
		return
	}
	nd.watching[svc] = true
	nd.sv.gossiper.Watch(svc)
}

// setEvacuated stops new requests to upstreams of evacuated domains. In its own domain the node refuses what other nodes still forward to its
// upstream. Health checks, announcements and the forwarding of callers' requests to other domains go on.
func (nd *node) setEvacuated(domains []gypsumhoist.FailureDomain) {
	nd.router.SetEvacuated(domains)
	nd.mu.Lock()
	defer nd.mu.Unlock()
	before := nd.evacuated
	nd.evacuated = slices.Contains(domains, nd.sv.settings.FailureDomain)
	if before && !nd.evacuated && nd.cold.suspect(nd.announcement.Service) {
		// The upstream may have become cold without requests; its next announcement tells.
		nd.apply(nd.announcement)
	}
	nd.setLeaving()
}

// setLeaving makes the node refuse new calls to its upstream while that drains or is evacuated. It needs the mutex.
func (nd *node) setLeaving() {
	nd.forwarder.SetLeaving(nd.evacuated || nd.announcement.State == announcer.StateDraining)
}

// setTable applies a new table.
func (nd *node) setTable(tb *registrar.Table) {
	nd.setEvacuated(tb.Evacuated())
	nd.watchTable(tb)
	if nd.shards != nil {
		nd.shards.setTable(tb)
	}
	if nd.allocation != nil {
		nd.allocation.setTable(tb)
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	before := nd.cold.limit(nd.announcement.Service)
	nd.cold.setTable(tb)
	if nd.cold.limit(nd.announcement.Service) != before {
		nd.apply(nd.announcement)
	}
}

// watchTable watches the services that the table names, unless there are more than maxTableWatches.
func (nd *node) watchTable(tb *registrar.Table) {
	svcs := map[gypsumhoist.Service]bool{}
	for _, rw := range tb.Rows() {
		for _, svc := range rw.Services() {
			svcs[svc] = true
		}
	}
	if len(svcs) > maxTableWatches {
		return
	}
	for svc := range svcs {
		nd.watch(svc)
	}
	nd.setView(nd.sv.gossiper.View())
}

// setView applies a new view of the fleet's members.
func (nd *node) setView(vw *gossiper.View) {
	nd.mu.Lock()
	svcs := make([]gypsumhoist.Service, 0, len(nd.watching))
	for svc := range nd.watching {
		svcs = append(svcs, svc)
	}
	own := nd.announcement.Service
	nd.mu.Unlock()
	nd.quarantine.setView(vw.ByService(own))
	if nd.shards != nil {
		nd.shards.setView(vw)
	}
	if nd.limits != nil {
		nd.limits.setView(vw)
	}
	if nd.allocation != nil {
		nd.allocation.setView(vw)
	}
	now := time.Now()
	for _, svc := range svcs {
		nd.router.SetUpstreams(svc, upstreams(now, vw.ByService(svc)))
	}
}
