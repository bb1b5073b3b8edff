package server

import (
	"net/http"
	"net/netip"
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
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/reporter"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

// recordsKept is how many decisions a node keeps for explain.
const recordsKept = 4096

// watchedMax bounds the services that a node watches without having been asked for them.
const watchedMax = 64

// node is the node role of a process.
type node struct {
	sv        *Server
	holder    *registrar.Holder
	forwarder *forwarder.Forwarder
	router    *router.Router
	admitter  *admitter.Admitter
	announcer *announcer.Announcer
	book      *explainer.Book
	poison    *poison
	shards    *shards
	limits    *limits
	claimer   *claimer.Claimer
	allotted  *allotted
	reporter  *reporter.Reporter

	mu      sync.Mutex
	watched map[gypsumhoist.Service]bool
	present announcer.Announcement
	pool    *connector.UpstreamPool
}

func newNode(sv *Server, holder *registrar.Holder) *node {
	nd := &node{
		sv: sv, holder: holder, book: explainer.New(recordsKept), watched: map[gypsumhoist.Service]bool{},
		router: router.New(sv.settings.FailureDomain, router.WithLogger(sv.logger),
			router.WithMetrics(sv.metrics), router.WithRandom(sv.fork())),
		admitter: admitter.New(admitter.WithLogger(sv.logger), admitter.WithMetrics(sv.metrics), admitter.WithRandom(sv.fork())),
	}
	nd.poison = newPoison(sv, nd)
	nd.announcer = announcer.New(announcer.WithLogger(sv.logger), announcer.WithNotify(nd.announced),
		announcer.WithLapse(time.Duration(sv.settings.Upstream.Lapse)))
	opts := []forwarder.Option{forwarder.WithThrottler(throttler.New(sv.fork()))}
	if sv.identify != nil {
		opts = append(opts, forwarder.WithIdentity(sv.identify))
	}
	if !sv.settings.Claims.Off {
		nd.shards = newShards(sv)
		nd.claimer = claimer.New(claimer.WithGroup(nd.shards), claimer.WithLogger(sv.logger), claimer.WithMetrics(sv.metrics))
		opts = append(opts, forwarder.WithClaimer(nd.claimer))
	}
	if sv.settings.Rates.Keepers == loader.KeepersChosen {
		nd.allotted = newAllotted(sv)
		opts = append(opts, forwarder.WithSpender(nd.allotted.allocator))
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
		forwarder.WithPeers(sv.peers), forwarder.WithBook(nd.book), forwarder.WithLogger(sv.logger),
		forwarder.WithMetrics(sv.metrics), forwarder.WithWatch(nd.watch), forwarder.WithObserver(nd.observe),
		forwarder.WithQuarantiner(nd.poison.quarantiner), forwarder.WithBroken(nd.poison.broken),
		forwarder.WithBounds(bd.BodyBytes, time.Duration(bd.FirstByte)),
		forwarder.WithUnframed(sv.settings.Upstream.UnframedAnswers == loader.UnframedTake),
	)...)
	return nd
}

// outbound returns the handler of the upstream's side.
func (nd *node) outbound() http.Handler { return nd.announcer.Handler(nd.forwarder.Outbound()) }

// mount adds what other instances can ask of the node role.
func (nd *node) mount(mux *http.ServeMux) {
	mux.Handle(nd.poison.quarantiner.Handler())
	if nd.limits != nil {
		mux.Handle(nd.limits.limiter.Handler())
	}
	if nd.allotted != nil {
		mux.Handle(nd.allotted.allocator.Handler())
	}
}

func (nd *node) start() {
	nd.poison.start()
	if nd.shards != nil {
		nd.shards.start()
		nd.claimer.Start()
	}
	if nd.limits != nil {
		nd.limits.start()
	}
	if nd.allotted != nil {
		nd.allotted.allocator.Start()
	}
	nd.announcer.Start()
}

func (nd *node) stop() {
	if nd.limits != nil {
		nd.limits.limiter.Stop()
	}
	if nd.allotted != nil {
		nd.allotted.allocator.Stop()
	}
	if nd.shards != nil {
		nd.claimer.Stop()
		nd.shards.sharder.Stop()
	}
	nd.poison.quarantiner.Stop()
	nd.announcer.Stop()
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.pool != nil {
		nd.pool.Stop()
		nd.pool = nil
	}
}

// leave tells the fleet once more about the upstream, so that its last load goes out with the news of the stop.
func (nd *node) leave() {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.publish(nd.present)
}

// announced takes what the upstream beside the node says.
func (nd *node) announced(an announcer.Announcement, cause announcer.Cause) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.poison.announced(nd.present, an, cause)
	if !an.SameUpstream(nd.present) {
		nd.replace(an)
	}
	nd.present = an
	nd.admitter.SetSlots(an.Slots)
	nd.forwarder.SetLeaving(an.State == announcer.StateDraining)
	nd.publish(an)
}

// replace opens connections to a new upstream; those to the old one end with their requests.
func (nd *node) replace(an announcer.Announcement) {
	if nd.pool != nil {
		nd.pool.Stop()
		nd.pool = nil
	}
	if an.Service == "" {
		nd.forwarder.SetUpstream(netip.AddrPort{}, nil)
		return
	}
	nd.pool = connector.NewUpstreamPool(an.Address, connector.WithNetwork(nd.sv.network),
		connector.WithAnswerCheck(nd.sv.answerCheck), connector.WithIdleTimeout(time.Duration(nd.sv.settings.Upstream.IdleTime)),
		connector.WithMaxConns(an.Connections), connector.WithLogger(nd.sv.logger), connector.WithMetrics(nd.sv.metrics))
	nd.pool.Start()
	nd.forwarder.SetUpstream(an.Address, nd.sv.upstreamThrough(an, nd.pool))
}

// publish tells the fleet about the upstream. Load and cut-off stay out of it: entries learn them from answers, which are fresh,
// and nothing chooses by what gossip could say of them seconds late.
func (nd *node) publish(an announcer.Announcement) {
	if an.Service == "" {
		nd.sv.gossiper.Announce(gossiper.Upstream{})
		return
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

// watch makes the fleet tell this node about a service's upstreams.
func (nd *node) watch(svc gypsumhoist.Service) {
	nd.mu.Lock()
	defer nd.mu.Unlock()
	if nd.watched[svc] {
		return
	}
	nd.watched[svc] = true
	nd.sv.gossiper.Watch(svc)
}

// take takes a new table.
func (nd *node) take(tb *registrar.Table) {
	nd.watchTable(tb)
	if nd.shards != nil {
		nd.shards.take(tb)
	}
	if nd.allotted != nil {
		nd.allotted.take(tb)
	}
}

// watchTable watches the services that the table names, while they are few.
func (nd *node) watchTable(tb *registrar.Table) {
	svcs := map[gypsumhoist.Service]bool{}
	for _, rw := range tb.Rows() {
		for _, svc := range rw.Services() {
			svcs[svc] = true
		}
	}
	if len(svcs) > watchedMax {
		return
	}
	for svc := range svcs {
		nd.watch(svc)
	}
	nd.look(nd.sv.gossiper.View())
}

// look takes a new view of the fleet.
func (nd *node) look(vw *gossiper.View) {
	nd.mu.Lock()
	svcs := make([]gypsumhoist.Service, 0, len(nd.watched))
	for svc := range nd.watched {
		svcs = append(svcs, svc)
	}
	own := nd.present.Service
	nd.mu.Unlock()
	nd.poison.look(vw.ByService(own))
	if nd.shards != nil {
		nd.shards.look(vw)
	}
	if nd.limits != nil {
		nd.limits.look(vw)
	}
	if nd.allotted != nil {
		nd.allotted.look(vw)
	}
	now := time.Now()
	for _, svc := range svcs {
		nd.router.SetUpstreams(svc, upstreams(now, vw.ByService(svc)))
	}
}
