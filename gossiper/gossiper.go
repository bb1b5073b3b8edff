// Package gossiper keeps the membership of the fleet by gossip.
//
// Each instance probes a few fixed neighbours in its failure domain, and a few instances of each
// domain, its bridges, exchange updates with the bridges of other domains. Updates are carried by the
// probes; urgent ones are sent to all neighbours at once, hints such as the load only at intervals.
//
// A member that answers neither a probe nor the relays that probe it becomes a suspect, and unreachable
// unless it refutes that by a higher incarnation. Neighbours also compare digests of their records from
// time to time, which repairs lost updates (anti-entropy).
package gossiper

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/gossiper/gossiperpb"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	// tickInterval is how often the core gets a Ticked.
	tickInterval = 100 * time.Millisecond
	// inboxSize bounds the messages that wait for the core, maxCalls the calls in flight.
	inboxSize = 1024
	maxCalls  = 256
	// minViewInterval is the least time between two views, and minViewIntervalPerMember that for each member in the view;
	// minHintViewInterval holds where only hints have changed.
	minViewInterval          = 100 * time.Millisecond
	minViewIntervalPerMember = time.Millisecond
	minHintViewInterval      = time.Second
	// spreadTime is how long an update takes from the neighbours to the whole fleet.
	spreadTime = 300 * time.Millisecond
	// stopTimeout bounds how long Stop waits until the neighbours know.
	stopTimeout = 500 * time.Millisecond
)

// ErrInvalidRumor is the error of a rumor without topic, or with a topic, key, payload or lifetime out of bounds.
var ErrInvalidRumor = errors.New("rumor without topic, or with a topic, key, payload or lifetime out of bounds")

// ErrStopped is the error of calls to a Gossiper that has stopped.
var ErrStopped = errors.New("gossiper has stopped")

// ErrOverload is the error of calls that found the inbox full.
var ErrOverload = errors.New("gossiper is overloaded")

// Gossiper runs a Core: it takes part in gossip for one instance.
// All methods are safe for concurrent use. The zero value is not usable; call New.
type Gossiper struct {
	config  config
	core    *Core
	clients *connector.Clients[gossiperpb.GossiperClient]
	inbox   *ringer.Ring[envelope]
	tomb    tomb.Tomb
	calls   atomic.Int64
	// started is set before run begins.
	started  atomic.Bool
	stop     sync.Once
	view     atomic.Pointer[View]
	rumors   atomic.Pointer[rumorList]
	counters counters

	mu          sync.Mutex
	changed     chan struct{}
	subscribers []func(*View)
	// viewBuiltAt is when the last view was built; only run uses it.
	viewBuiltAt time.Time
	// spreadWaiters wait until what they have published has reached all neighbours; only run uses it.
	spreadWaiters []spreadWaiter
}

// spreadWaiter is closed once every neighbour that answers has what was published.
type spreadWaiter struct {
	spread  chan struct{}
	message Message
}

// envelope is a message to the core and what waits for its outcome.
type envelope struct {
	message Message
	// reply gets the answer to a Received.
	reply chan Packet
	// spread is closed once every neighbour that answers has the instance's record, or the rumor that the message adds.
	spread chan struct{}
}

// New returns a gossiper that has not started. WithSelf and WithPeers are required.
func New(opts ...Option) *Gossiper {
	cf := newConfig(opts)
	gs := &Gossiper{
		config:  cf,
		clients: newClients(cf.peers),
		core:    NewCore(cf.self, cf.seeds, cf.rand, time.Now()),
		inbox:   ringer.New[envelope](inboxSize),
		changed: make(chan struct{}),
	}
	gs.counters = newCounters(cf.metrics, gs)
	gs.view.Store(gs.core.View())
	gs.rumors.Store(&rumorList{})
	return gs
}

// Start begins to join the fleet by the seeds and to probe neighbours.
func (gs *Gossiper) Start() {
	gs.started.Store(true)
	gs.tomb.Go(gs.run)
}

// Stop publishes that the instance has left, waits briefly until the neighbours know, and ends.
// Without Start its only effect is that later calls fail.
func (gs *Gossiper) Stop() {
	gs.stop.Do(func() {
		if gs.tomb.Alive() && gs.started.Load() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = gs.publishAndWait(ctx, Left{})
		}
		gs.tomb.Kill(nil)
	})
	if gs.started.Load() {
		_ = gs.tomb.Wait()
	}
}

// Kill ends at once without notice to the others, as a crash would.
func (gs *Gossiper) Kill() {
	gs.tomb.Kill(nil)
	if gs.started.Load() {
		_ = gs.tomb.Wait()
	}
}

// Leave publishes that the instance is about to stop, and returns when that has spread
// or the context ends. The instance goes on answering; Leave can't be revoked.
func (gs *Gossiper) Leave(ctx context.Context) error {
	if err := gs.publishAndWait(ctx, Leaving{}); err != nil {
		return err
	}
	tm := time.NewTimer(spreadTime)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Announce publishes the announcement of the node's upstream. Changes of service, state and bounds are sent at once;
// load and cut-off follow as hints, which take longer in a larger failure domain.
func (gs *Gossiper) Announce(up Upstream) { gs.push(envelope{message: Announced{Upstream: up}}) }

// SetRevision publishes, as a hint, which table revision is in force at this instance.
func (gs *Gossiper) SetRevision(revision uint64) {
	gs.push(envelope{message: RevisionApplied{Revision: revision}})
}

// Watch makes the view hold the upstreams of a service in all failure domains.
// Upstreams of other domains appear once a bridge has sent them.
func (gs *Gossiper) Watch(svc gypsumhoist.Service) { gs.push(envelope{message: Watched{Service: svc}}) }

// SpreadRumor spreads a rumor to every instance. An invalid one is refused with ErrInvalidRumor.
func (gs *Gossiper) SpreadRumor(rm Rumor) error {
	if !rm.valid() {
		return ErrInvalidRumor
	}
	if !gs.push(envelope{message: RumorAdded{Rumor: rm}}) {
		return ErrOverload
	}
	return nil
}

// ShareRumor spreads a rumor as SpreadRumor does, and returns once every neighbour that answers holds it, and at least one if there are others.
// It may be called again after an error.
func (gs *Gossiper) ShareRumor(ctx context.Context, rm Rumor) error {
	if !rm.valid() {
		return ErrInvalidRumor
	}
	return gs.publishAndWait(ctx, RumorAdded{Rumor: rm})
}

// Rumors returns the known rumors of a topic that have not expired, or of all topics for an empty one.
func (gs *Gossiper) Rumors(topic string) []Rumor { return gs.rumors.Load().live(topic, time.Now()) }

// View returns what is known of the fleet now.
func (gs *Gossiper) View() *View { return gs.view.Load() }

// Changed returns a channel that is closed when the view or the rumors change next.
func (gs *Gossiper) Changed() <-chan struct{} {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.changed
}

// Subscribe registers a function that is called with each new view, one call at a time.
// It must not block, nor call Stop, Leave or Kill.
func (gs *Gossiper) Subscribe(fn func(*View)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.subscribers = append(gs.subscribers, fn)
}

// push queues an envelope for the core and reports whether there was room.
func (gs *Gossiper) push(env envelope) bool {
	if gs.inbox.Push(env) {
		return true
	}
	gs.counters.dropped.Inc()
	return false
}

// publishAndWait hands the core a change of the instance's record, or a rumor, and waits until every neighbour that answers has it.
func (gs *Gossiper) publishAndWait(ctx context.Context, msg Message) error {
	spread := make(chan struct{})
	if !gs.push(envelope{message: msg, spread: spread}) {
		return ErrOverload
	}
	select {
	case <-spread:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-gs.tomb.Dying():
		return ErrStopped
	}
}

// PeerAddr returns the address of the instance's peer port, for logs and tests.
func (gs *Gossiper) PeerAddr() netip.AddrPort { return gs.config.self.Peer }

// Option sets one value of a Gossiper.
type Option func(*config)

type config struct {
	self    Member
	seeds   []netip.AddrPort
	peers   connector.Peers
	logger  *logger.Logger
	metrics *metrics.Set
	rand    *rand.Rand
}

func newConfig(opts []Option) config {
	var cf config
	for _, opt := range opts {
		opt(&cf)
	}
	if cf.self.Boot == 0 {
		cf.self.Boot = Boot(time.Now().UnixNano())
	}
	if cf.rand == nil {
		cf.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return cf
}

// WithSelf sets the instance's record; Instance, Domain and Peer are required.
// A Boot of zero is replaced by the time in nanoseconds.
func WithSelf(mb Member) Option { return func(cf *config) { cf.self = mb } }

// WithSeeds sets the peer ports that the instance joins by; its own among them is left out.
func WithSeeds(seeds []netip.AddrPort) Option { return func(cf *config) { cf.seeds = seeds } }

// WithPeers sets how other instances are called.
func WithPeers(pe connector.Peers) Option { return func(cf *config) { cf.peers = pe } }

// WithLogger sets where events are logged; nil discards them.
func WithLogger(lg *logger.Logger) Option { return func(cf *config) { cf.logger = lg } }

// WithMetrics sets where metrics are registered; nil registers none.
func WithMetrics(ms *metrics.Set) Option { return func(cf *config) { cf.metrics = ms } }

// WithRand sets the source of random numbers, which the gossiper then owns; nil gets one that is randomly seeded.
func WithRand(rnd *rand.Rand) Option { return func(cf *config) { cf.rand = rnd } }
