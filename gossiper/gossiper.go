// Package gossiper keeps the membership of the fleet by gossip.
//
// Each instance probes a few fixed neighbours of its failure domain, and a few instances of each
// domain, its bridges, exchange news with those of other domains. News rides on the probes;
// what matters at once is pushed to all neighbours at once.
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
	// tickEvery is how often a core is told that time has passed.
	tickEvery = 100 * time.Millisecond
	// ringSize bounds the messages that wait for the core, callsMax the calls on their way.
	ringSize = 1024
	callsMax = 256
	// viewPause is the least time between two views, viewPauseMember the least for each member in it, hintViewPause where only hints have changed.
	viewPause       = 100 * time.Millisecond
	viewPauseMember = time.Millisecond
	hintViewPause   = time.Second
	// spreadFor is how long news takes from the neighbours on to the whole fleet.
	spreadFor = 300 * time.Millisecond
	// partFor bounds the last words of an instance that stops.
	partFor = 500 * time.Millisecond
)

// ErrRumor is the error of a rumor whose name, payload or life is out of bounds.
var ErrRumor = errors.New("rumor without topic, or with a name, payload or life out of bounds")

// ErrStopped is the error of calls to a Gossiper that has stopped.
var ErrStopped = errors.New("gossiper has stopped")

// ErrOverload is the error of calls that found the message ring full.
var ErrOverload = errors.New("gossiper is overloaded")

// Gossiper runs a Core: it speaks for one instance with the rest of the fleet.
// All methods are safe for concurrent use. The zero value is not usable; call New.
type Gossiper struct {
	config config
	core   *Core
	// clients speak to other instances.
	clients *connector.Clients[gossiperpb.GossiperClient]
	ring    *ringer.Ring[event]
	tomb    tomb.Tomb
	calls   atomic.Int64
	// started tells that run has begun, or is about to.
	started atomic.Bool
	stop    sync.Once
	view    atomic.Pointer[View]
	rumors  atomic.Pointer[rumorList]
	counts  counts

	mu          sync.Mutex
	changed     chan struct{}
	subscribers []func(*View)
	// shown is when the last view was made; it belongs to run.
	shown time.Time
	// parting waits for the own record to reach all neighbours; it belongs to run.
	parting []chan struct{}
}

// event is a message on its way to the core.
type event struct {
	message Message
	// reply takes the answer to a Received.
	reply chan Packet
	// spread is closed once every neighbour has the own record.
	spread chan struct{}
}

// New returns a gossiper that has not started. WithSelf and WithPeers are needed.
func New(opts ...Option) *Gossiper {
	cf := newConfig(opts)
	gs := &Gossiper{
		config:  cf,
		clients: newClients(cf.peers),
		core:    NewCore(cf.self, cf.seeds, cf.rand, time.Now()),
		ring:    ringer.New[event](ringSize),
		changed: make(chan struct{}),
	}
	gs.counts = newCounts(cf.metrics, gs)
	gs.view.Store(gs.core.View())
	gs.rumors.Store(&rumorList{})
	return gs
}

// Start begins to probe and to join the fleet by the seeds.
func (gs *Gossiper) Start() {
	gs.started.Store(true)
	gs.tomb.Go(gs.run)
}

// Stop says that the instance has left, waits briefly for that to reach the neighbours, and ends.
// Without Start it has no effect but on later calls, which fail.
func (gs *Gossiper) Stop() {
	gs.stop.Do(func() {
		if gs.tomb.Alive() && gs.started.Load() {
			ctx, cancel := context.WithTimeout(context.Background(), partFor)
			defer cancel()
			_ = gs.part(ctx, Departed{})
		}
		gs.tomb.Kill(nil)
	})
	if gs.started.Load() {
		_ = gs.tomb.Wait()
	}
}

// Kill ends at once without a word, as a crash would.
func (gs *Gossiper) Kill() {
	gs.tomb.Kill(nil)
	if gs.started.Load() {
		_ = gs.tomb.Wait()
	}
}

// Leave says to all that the instance is about to stop, and returns when that has spread
// or the context ends. The instance goes on answering; nothing takes Leave back.
func (gs *Gossiper) Leave(ctx context.Context) error {
	if err := gs.part(ctx, Departing{}); err != nil {
		return err
	}
	tm := time.NewTimer(spreadFor)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Announce says what the node's upstream says. Changes of service, state and bounds reach all at once;
// load and cut-off follow as hints, the later the larger the failure domain is.
func (gs *Gossiper) Announce(up Upstream) { gs.push(event{message: Announced{Upstream: up}}) }

// Apply says which table revision is in force at this instance; it spreads as a hint.
func (gs *Gossiper) Apply(revision uint64) { gs.push(event{message: Applied{Revision: revision}}) }

// Watch makes the view hold the upstreams of a service in all failure domains.
// Those of other domains appear once a bridge has sent them.
func (gs *Gossiper) Watch(svc gypsumhoist.Service) { gs.push(event{message: Watched{Service: svc}}) }

// Tell spreads a rumor to every instance. A bad one is refused with ErrRumor.
func (gs *Gossiper) Tell(rm Rumor) error {
	if !rm.valid() {
		return ErrRumor
	}
	if !gs.push(event{message: Told{Rumor: rm}}) {
		return ErrOverload
	}
	return nil
}

// Rumors returns the rumors of a topic that are known and have not expired, or all for an empty one.
func (gs *Gossiper) Rumors(topic string) []Rumor { return gs.rumors.Load().live(topic, time.Now()) }

// View returns what is known now.
func (gs *Gossiper) View() *View { return gs.view.Load() }

// Changed returns a channel that is closed when the view or the rumors change next.
func (gs *Gossiper) Changed() <-chan struct{} {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.changed
}

// Subscribe has a function called with each new view, one call at a time.
// It must not block, nor call Stop, Leave or Kill.
func (gs *Gossiper) Subscribe(fn func(*View)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.subscribers = append(gs.subscribers, fn)
}

// push hands an event to the core and reports whether there was room.
func (gs *Gossiper) push(ev event) bool {
	if gs.ring.Push(ev) {
		return true
	}
	gs.counts.dropped.Inc()
	return false
}

// part tells a change of the own record and waits until every neighbour that answers has it.
func (gs *Gossiper) part(ctx context.Context, msg Message) error {
	spread := make(chan struct{})
	if !gs.push(event{message: msg, spread: spread}) {
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

// Self returns the instance's address, for logs and tests.
func (gs *Gossiper) Self() netip.AddrPort { return gs.config.self.Peer }

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

// WithSelf sets what the instance is; Instance, Domain and Peer are needed.
// A Boot of zero gets the time in nanoseconds.
func WithSelf(mb Member) Option { return func(cf *config) { cf.self = mb } }

// WithSeeds sets the peer ports that are asked to join; the own one among them is left out.
func WithSeeds(seeds []netip.AddrPort) Option { return func(cf *config) { cf.seeds = seeds } }

// WithPeers sets the way to other instances.
func WithPeers(pe connector.Peers) Option { return func(cf *config) { cf.peers = pe } }

// WithLogger sets where events go; nil discards them.
func WithLogger(lg *logger.Logger) Option { return func(cf *config) { cf.logger = lg } }

// WithMetrics sets where counters are kept; nil keeps none.
func WithMetrics(ms *metrics.Set) Option { return func(cf *config) { cf.metrics = ms } }

// WithRand sets the source of random numbers, which the gossiper then owns; nil seeds one.
func WithRand(rnd *rand.Rand) Option { return func(cf *config) { cf.rand = rnd } }
