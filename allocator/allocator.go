package allocator

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator/allocatorpb"
	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Intervals, timeouts and bounds of an Allocator.
const (
	fetchInterval      = 80 * time.Millisecond  // between two checks of a keeper for deficits of its domain
	reportInterval     = 240 * time.Millisecond // between two reports of a node whose rows receive requests
	idleReportInterval = 300 * time.Millisecond // of a node whose rows receive none; its share counts for shareHold
	reportPause        = 8 * time.Millisecond   // minimum time between two reports triggered by requests
	reportTimeout      = 300 * time.Millisecond
	tokenWait          = 35 * time.Millisecond // how long a request waits for a token
	avoidFailedFor     = 2 * time.Second       // how long a node whose call failed is not called
	bucketIdleTimeout  = time.Minute           // after which the bucket of a row without requests is dropped
	minRetryAfter      = 100 * time.Millisecond
	maxPressure        = 5.0
)

var (
	eventKeeperChosen = logger.Define(1750, logger.LevelInfo, "rate_keeper_chosen",
		"Another node of the failure domain has become the keeper of its rates and bursts.")
	eventKeeperSilent = logger.Define(1751, logger.LevelWarn, "rate_keeper_silent",
		"A keeper of rates did not answer. The next candidate is tried; if none answers, this node falls back to its equal share.")
	eventStandbyBegan = logger.Define(1752, logger.LevelWarn, "rate_standby_began",
		"No keeper of rates answers; this node limits itself to an equal share of each rate and burst until one does.")
	eventShareLent = logger.Define(1754, logger.LevelInfo, "rate_part_lent",
		"This failure domain lends its share of centralized rows to their home, another failure domain.")
	eventShareTakenBack = logger.Define(1755, logger.LevelWarn, "rate_part_taken_back",
		"The home of centralized rows does not answer; this failure domain limits itself to its own share of them until it does.")
	eventKeeperShare = logger.Define(1756, logger.LevelInfo, "rate_share_kept",
		"The share of all rates that a node keeps for its failure domain has changed, as it counts other nodes. The shares of all nodes "+
			"together should not exceed 1.")
	eventStandbyEnded = logger.Define(1753, logger.LevelInfo, "rate_standby_ended",
		"A keeper of rates answers again; this node no longer limits itself to its equal share.")
)

// Member is an instance as reported by gossip.
type Member struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	Peer     netip.AddrPort
	// Alive is false for an instance that is leaving, or may be dead or unreachable.
	Alive bool
}

// Allocator admits or refuses the requests of rows at this node, and grants tokens to the nodes of its domain while this node
// is the domain's keeper. It is safe for concurrent use. The zero value is not usable; call New.
type Allocator struct {
	tmb       tomb.Tomb
	self      gypsumhoist.Instance
	domain    gypsumhoist.FailureDomain
	clients   *connector.Clients[allocatorpb.AllocatorClient]
	log       *logger.Logger
	started   time.Time
	running   atomic.Bool
	reportNow chan struct{} // signaled when a request needs tokens
	fetchNow  chan struct{} // signaled when the domain lacks tokens
	buckets   atomic.Pointer[map[Key]*nodeBucket]
	nodes     atomic.Int64 // of the fleet, assuming that all domains are as large as the own one
	// lastAnswered is when the last answered report was sent, as time since started.
	lastAnswered atomic.Int64
	// homes are the home domains of the centralized rows.
	homes            atomic.Pointer[map[Key]gypsumhoist.FailureDomain]
	taken            *metrics.Counter
	refused          *metrics.Counter
	draws            *metrics.Counter
	drawsUnavailable *metrics.Counter

	mu     sync.Mutex
	keeper *Keeper
	// assignment is that of the node's share of all rates.
	assignment assignment
	home       *Home
	// homeDomains are the failure domains that can be the home of rows.
	homeDomains []gypsumhoist.FailureDomain
	nextLend    time.Time
	// lending is true for the homes to which the domain lends its share.
	lending    map[gypsumhoist.FailureDomain]bool
	members    map[gypsumhoist.FailureDomain][]Member // of each domain, in keeper order
	limits     map[Key]Limit
	avoidUntil map[gypsumhoist.Instance]time.Time
	lastKeeper gypsumhoist.Instance
	// loggedShare is the share that the last event of this node's keeper reported, at loggedShareAt.
	loggedShare   float64
	loggedShareAt time.Time
	grantsArrived chan struct{} // closed and replaced whenever grants arrive
	// nextFetch is the earliest time at which a request without a token may trigger another fetch from other domains.
	nextFetch time.Time
	// lastTransfer is when another domain last transferred tokens.
	lastTransfer time.Time
}

// Option configures an Allocator.
type Option func(*Allocator)

// WithPeers sets the transport to other nodes; without it the node limits itself to its equal share.
func WithPeers(pr connector.Peers) Option {
	return func(al *Allocator) { al.clients = connector.NewClients(pr, allocatorpb.NewAllocatorClient) }
}

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) Option { return func(al *Allocator) { al.log = lg } }

// WithMetrics registers metrics in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(al *Allocator) {
		if set != nil {
			al.taken = set.GetOrCreateCounter("gypsumhoist_allocator_taken_total")
			al.refused = set.GetOrCreateCounter("gypsumhoist_allocator_refused_total")
			al.draws = set.GetOrCreateCounter("gypsumhoist_allocator_draws_total")
			al.drawsUnavailable = set.GetOrCreateCounter("gypsumhoist_allocator_draws_away_total")
		}
	}
}

// New returns an allocator without rows and without other members.
func New(self gypsumhoist.Instance, domain gypsumhoist.FailureDomain, opts ...Option) *Allocator {
	started := clocker.Now()
	al := &Allocator{
		self: self, domain: domain, started: started, reportNow: make(chan struct{}, 1), fetchNow: make(chan struct{}, 1),
		assignment: assignment{hold: shareHold, legacyHold: legacyShareHold, maxAge: shareHold},
		keeper:     NewKeeper(domain), home: NewHome(), lending: map[gypsumhoist.FailureDomain]bool{}, limits: map[Key]Limit{},
		avoidUntil:    map[gypsumhoist.Instance]time.Time{},
		grantsArrived: make(chan struct{}), taken: &metrics.Counter{}, refused: &metrics.Counter{},
		draws: &metrics.Counter{}, drawsUnavailable: &metrics.Counter{},
	}
	al.homes.Store(&map[Key]gypsumhoist.FailureDomain{})
	al.buckets.Store(&map[Key]*nodeBucket{})
	al.nodes.Store(1)
	for _, opt := range opts {
		opt(al)
	}
	return al
}

// Start begins reporting to the keeper in the background.
func (al *Allocator) Start() {
	al.running.Store(true)
	al.tmb.Go(al.run)
}

// Stop ends the background work. Without Start it does nothing.
func (al *Allocator) Stop() {
	if !al.running.Load() {
		return
	}
	al.tmb.Kill(nil)
	// run never returns an error.
	_ = al.tmb.Wait()
}

// SetRows replaces the rows with a limit; rows that are missing are dropped.
func (al *Allocator) SetRows(rows []*registrar.Row) {
	limits := make(map[Key]Limit, len(rows))
	for _, rw := range rows {
		limits[KeyOf(rw)] = limitOf(rw)
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.limits = limits
	al.keeper.SetLimits(clocker.Now(), limits)
	al.assignHomes()
}

// SetMembers replaces the members: all instances that have not left, this one included. Of other failure domains,
// the first ones in keeper order are enough.
func (al *Allocator) SetMembers(members []Member) {
	domains := keeperOrder(members)
	var own []gypsumhoist.Instance
	for _, mb := range domains[al.domain] {
		own = append(own, mb.Instance)
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.members = domains
	al.nodes.Store(int64(max(len(own), 1) * al.domainCount()))
	al.keeper.SetMembers(clocker.Now(), own, al.domainCount())
	al.assignHomes()
}

// domainCount returns the number of failure domains with known members, at least 1. The caller holds the lock.
func (al *Allocator) domainCount() int { return max(len(al.members), 1) }

// KeyOf returns the key of a row.
func KeyOf(rw *registrar.Row) Key { return Key{Workspace: rw.Workspace, Route: rw.Route} }

func limitOf(rw *registrar.Row) Limit {
	return Limit{Rate: float64(rw.Rate) / float64(registrar.RateOne), Burst: float64(rw.Burst)}
}

// Spend admits a request of a row, or returns a *gypsumhoist.Refusal that says when to retry.
// When the node has no token, it waits up to tokenWait for the keeper to grant one.
func (al *Allocator) Spend(ctx context.Context, rw *registrar.Row, _ gypsumhoist.Importance) error {
	ky := KeyOf(rw)
	nb := al.bucket(ky)
	if home, centralized := (*al.homes.Load())[ky]; centralized && al.running.Load() {
		if decided, err := al.spendAtHome(ctx, nb, ky, home); decided {
			return err
		}
	}
	grants := al.nextGrants()
	vd := nb.spend(al.spendParams(rw))
	if vd == verdictLow {
		al.requestReport()
	}
	if vd <= verdictLow || vd == verdictAskKeeper && al.hasLease(al.now()) && al.waitForToken(ctx, nb, rw, grants) {
		al.taken.Inc()
		return nil
	}
	al.refused.Inc()
	return gypsumhoist.NotRun(gypsumhoist.ReasonRate, al.retryAfter(nb.pressure(al.spendParams(rw))),
		"the workspace has spent the row's rate and burst")
}

// waitForToken retries after each answer of the keeper: the first answer may be to a report that did not include the request
// yet, and the next one may arrive before other domains have transferred tokens.
func (al *Allocator) waitForToken(ctx context.Context, nb *nodeBucket, rw *registrar.Row, grants <-chan struct{}) bool {
	nb.addWaiting(1)
	defer nb.addWaiting(-1)
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	for {
		al.requestReport()
		select {
		case <-grants:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
		grants = al.nextGrants()
		if nb.retrySpend(al.spendParams(rw)) {
			return true
		}
	}
}

// retryAfter returns a jittered delay that grows with the pressure on the row, to spread the retries of refused callers.
func (al *Allocator) retryAfter(pressure float64) time.Duration {
	wait := time.Duration(float64(minRetryAfter) * min(max(pressure, 1), maxPressure))
	return wait/2 + rand.N(wait)
}

func (al *Allocator) spendParams(rw *registrar.Row) spendParams {
	now, lm := al.now(), limitOf(rw)
	sp := spendParams{now: now, rate: lm.Rate, burst: lm.Burst, nodes: float64(al.nodes.Load()), hasLease: al.hasLease(now)}
	if !sp.hasLease {
		al.mu.Lock()
		defer al.mu.Unlock()
		sp.assigned = al.assignment.assigned(clocker.Now())
	}
	return sp
}

// now returns the time since New, including time for which the machine was suspended.
func (al *Allocator) now() time.Duration { return clocker.Since(al.started) }

func (al *Allocator) hasLease(now time.Duration) bool {
	at := al.lastAnswered.Load()
	return at > 0 && now-time.Duration(at) < leaseDuration
}

func (al *Allocator) bucket(ky Key) *nodeBucket {
	if nb := (*al.buckets.Load())[ky]; nb != nil {
		return nb
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	old := *al.buckets.Load()
	if nb := old[ky]; nb != nil {
		return nb
	}
	next := maps.Clone(old)
	next[ky] = &nodeBucket{}
	al.buckets.Store(&next)
	return next[ky]
}

func (al *Allocator) nextGrants() <-chan struct{} {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.grantsArrived
}

// evictIdleBuckets drops the buckets of rows that have not received requests for bucketIdleTimeout.
func (al *Allocator) evictIdleBuckets() {
	now := al.now()
	al.mu.Lock()
	defer al.mu.Unlock()
	old := *al.buckets.Load()
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(_ Key, nb *nodeBucket) bool {
		nb.mu.Lock()
		defer nb.mu.Unlock()
		return now-nb.lastRequest > bucketIdleTimeout
	})
	if len(next) != len(old) {
		al.buckets.Store(&next)
	}
}
