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

// Times of an Allocator.
const (
	fetchEvery   = 80 * time.Millisecond  // between two looks at what the domain lacks, at its keeper
	reportEvery  = 240 * time.Millisecond // between two reports of a node whose rows get requests
	idleEvery    = 700 * time.Millisecond // of one whose rows get none; several may be lost within touchHold
	urgentPause  = 8 * time.Millisecond   // between two reports that a request asked for
	reportTime   = 300 * time.Millisecond
	askWait      = 35 * time.Millisecond // for which a request waits for a token
	avoidFor     = 2 * time.Second       // a keeper that did not answer
	forgetAfter  = time.Minute           // a row without requests
	retryLeast   = 100 * time.Millisecond
	pressureHigh = 5.0
)

var (
	eventKeeper = logger.Define(1750, logger.LevelInfo, "rate_keeper_chosen",
		"The node of the failure domain that shares out rates and bursts is another one now.")
	eventKeeperLost = logger.Define(1751, logger.LevelWarn, "rate_keeper_silent",
		"The node that shares out rates gave no answer; the next one is asked, and without any this node keeps to its equal part.")
	eventStandby = logger.Define(1752, logger.LevelWarn, "rate_standby_began",
		"No keeper of rates answers; this node keeps to an equal part of each rate and burst until one does.")
	eventPartLent = logger.Define(1754, logger.LevelInfo, "rate_part_lent",
		"This failure domain leaves its part of the rows that are kept whole at another one to that one.")
	eventPartTaken = logger.Define(1755, logger.LevelWarn, "rate_part_taken_back",
		"The home of rows that are kept whole gives no answer; this failure domain keeps to its own part of them until it does.")
	eventLeased = logger.Define(1753, logger.LevelInfo, "rate_standby_ended", "A keeper of rates answers again.")
)

// Member is a node as gossip knows it.
type Member struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	Peer     netip.AddrPort
	// Alive is false for one that may be dead or cut off, or that is leaving.
	Alive bool
}

// Allocator decides which requests of a row may start at this node, and shares out rows while the node is its domain's
// keeper. It is safe for concurrent use. The zero value is not usable; call New.
type Allocator struct {
	tmb     tomb.Tomb
	self    gypsumhoist.Instance
	domain  gypsumhoist.FailureDomain
	clients *connector.Clients[allocatorpb.AllocatorClient]
	log     *logger.Logger
	started time.Time
	running atomic.Bool
	urgent  chan struct{}
	needy   chan struct{} // the domain lacks tokens
	purses  atomic.Pointer[map[Key]*purse]
	nodes   atomic.Int64
	// answered is when, since started, the last report was sent that was answered.
	answered atomic.Int64
	// homes are the failure domains of the rows that are kept whole.
	homes     atomic.Pointer[map[Key]gypsumhoist.FailureDomain]
	taken     *metrics.Counter
	refused   *metrics.Counter
	draws     *metrics.Counter
	drawsAway *metrics.Counter

	mu     sync.Mutex
	keeper *Keeper
	home   *Home
	// homeDomains are the failure domains that keep rows whole now.
	homeDomains []gypsumhoist.FailureDomain
	lendAt      time.Time
	// lends are the homes to which the domain leaves its part.
	lends   map[gypsumhoist.FailureDomain]bool
	members map[gypsumhoist.FailureDomain][]Member // in the order in which they are their domain's keeper
	limits  map[Key]Limit
	avoid   map[gypsumhoist.Instance]time.Time
	last    gypsumhoist.Instance
	news    chan struct{} // closed when tokens have come
	// fetchAfter is when the domain may ask others again as a request found no token.
	fetchAfter time.Time
	// gained is when another domain last gave anything.
	gained time.Time
}

// Option sets one part of an Allocator.
type Option func(*Allocator)

// WithPeers sets the way to other nodes; without it the node keeps to its equal part.
func WithPeers(pr connector.Peers) Option {
	return func(al *Allocator) { al.clients = connector.NewClients(pr, allocatorpb.NewAllocatorClient) }
}

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(al *Allocator) { al.log = lg } }

// WithMetrics counts on a set; nil counts nowhere.
func WithMetrics(set *metrics.Set) Option {
	return func(al *Allocator) {
		if set != nil {
			al.taken = set.GetOrCreateCounter("gypsumhoist_allocator_taken_total")
			al.refused = set.GetOrCreateCounter("gypsumhoist_allocator_refused_total")
			al.draws = set.GetOrCreateCounter("gypsumhoist_allocator_draws_total")
			al.drawsAway = set.GetOrCreateCounter("gypsumhoist_allocator_draws_away_total")
		}
	}
}

// New returns an allocator of a node. It knows no row and no other node.
func New(self gypsumhoist.Instance, domain gypsumhoist.FailureDomain, opts ...Option) *Allocator {
	started := clocker.Now()
	al := &Allocator{
		self: self, domain: domain, started: started, urgent: make(chan struct{}, 1), needy: make(chan struct{}, 1),
		keeper: NewKeeper(domain), home: NewHome(), lends: map[gypsumhoist.FailureDomain]bool{}, limits: map[Key]Limit{}, avoid: map[gypsumhoist.Instance]time.Time{},
		news: make(chan struct{}), taken: &metrics.Counter{}, refused: &metrics.Counter{},
		draws: &metrics.Counter{}, drawsAway: &metrics.Counter{},
	}
	al.homes.Store(&map[Key]gypsumhoist.FailureDomain{})
	al.purses.Store(&map[Key]*purse{})
	al.nodes.Store(1)
	for _, opt := range opts {
		opt(al)
	}
	return al
}

// Start begins to report.
func (al *Allocator) Start() {
	al.running.Store(true)
	al.tmb.Go(al.run)
}

// Stop ends what Start began. Without Start it does nothing.
func (al *Allocator) Stop() {
	if !al.running.Load() {
		return
	}
	al.tmb.Kill(nil)
	// The loop has no error of its own.
	_ = al.tmb.Wait()
}

// SetRows takes the rows that bound anything. Others are forgotten.
func (al *Allocator) SetRows(rows []*registrar.Row) {
	limits := make(map[Key]Limit, len(rows))
	for _, rw := range rows {
		limits[KeyOf(rw)] = limitOf(rw)
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.limits = limits
	al.keeper.SetLimits(clocker.Now(), limits)
	al.layOut()
}

// SetMembers takes all nodes that have not left, this one too; of other failure domains the first ones of each are enough.
func (al *Allocator) SetMembers(members []Member) {
	domains := inOrder(members)
	var own []gypsumhoist.Instance
	for _, mb := range domains[al.domain] {
		own = append(own, mb.Instance)
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	al.members = domains
	al.nodes.Store(int64(max(len(own), 1) * al.domainCount()))
	al.keeper.SetMembers(own, al.domainCount())
	al.layOut()
}

// domainCount returns how many failure domains have nodes, as far as is known. The lock is held.
func (al *Allocator) domainCount() int { return max(len(al.members), 1) }

// KeyOf returns the name of a row.
func KeyOf(rw *registrar.Row) Key { return Key{Workspace: rw.Workspace, Route: rw.Route} }

func limitOf(rw *registrar.Row) Limit {
	return Limit{Rate: float64(rw.Rate) / float64(registrar.RateOne), Burst: float64(rw.Burst)}
}

// Spend takes a request of a row in, or returns a *gypsumhoist.Refusal that says when to come back.
// It waits for an answer of the keeper for some milliseconds when the node has no token.
func (al *Allocator) Spend(ctx context.Context, rw *registrar.Row, _ gypsumhoist.Importance) error {
	ky := KeyOf(rw)
	ps := al.purse(ky)
	if home, whole := (*al.homes.Load())[ky]; whole && al.running.Load() {
		if decided, err := al.spendWhole(ctx, ps, ky, home); decided {
			return err
		}
	}
	news := al.newsNow()
	vd := ps.spend(al.grounds(rw))
	if vd == verdictLow {
		al.hurry()
	}
	if vd <= verdictLow || vd == verdictAsk && al.inTouch(al.now()) && al.wait(ctx, ps, rw, news) {
		al.taken.Inc()
		return nil
	}
	al.refused.Inc()
	return gypsumhoist.NotRun(gypsumhoist.ReasonRate, al.retryAfter(ps.pressure(al.grounds(rw))),
		"the workspace has spent the row's rate and burst")
}

// wait tries again each time the keeper has answered: the first answer may be to a report that did not count the request
// yet, and the next one may come before other domains have given any.
func (al *Allocator) wait(ctx context.Context, ps *purse, rw *registrar.Row, news <-chan struct{}) bool {
	ps.ask(1)
	defer ps.ask(-1)
	late := time.NewTimer(askWait)
	defer late.Stop()
	for {
		al.hurry()
		select {
		case <-news:
		case <-late.C:
			return false
		case <-ctx.Done():
			return false
		}
		news = al.newsNow()
		if ps.again(al.grounds(rw)) {
			return true
		}
	}
}

// retryAfter spreads refused callers, the farther the more the row is asked for beyond what it allows.
func (al *Allocator) retryAfter(pressure float64) time.Duration {
	wait := time.Duration(float64(retryLeast) * min(max(pressure, 1), pressureHigh))
	return wait/2 + rand.N(wait)
}

func (al *Allocator) grounds(rw *registrar.Row) grounds {
	now, lm := al.now(), limitOf(rw)
	return grounds{now: now, rate: lm.Rate, burst: lm.Burst, nodes: float64(al.nodes.Load()), inTouch: al.inTouch(now)}
}

// now returns the time since the start, the suspensions of the machine included.
func (al *Allocator) now() time.Duration { return clocker.Since(al.started) }

func (al *Allocator) inTouch(now time.Duration) bool {
	at := al.answered.Load()
	return at > 0 && now-time.Duration(at) < leaseLife
}

func (al *Allocator) purse(ky Key) *purse {
	if ps := (*al.purses.Load())[ky]; ps != nil {
		return ps
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	old := *al.purses.Load()
	if ps := old[ky]; ps != nil {
		return ps
	}
	next := maps.Clone(old)
	next[ky] = &purse{}
	al.purses.Store(&next)
	return next[ky]
}

func (al *Allocator) newsNow() <-chan struct{} {
	al.mu.Lock()
	defer al.mu.Unlock()
	return al.news
}

// forget drops purses of rows that get no requests.
func (al *Allocator) forget() {
	now := al.now()
	al.mu.Lock()
	defer al.mu.Unlock()
	old := *al.purses.Load()
	next := maps.Clone(old)
	maps.DeleteFunc(next, func(_ Key, ps *purse) bool {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		return now-ps.seen > forgetAfter
	})
	if len(next) != len(old) {
		al.purses.Store(&next)
	}
}
