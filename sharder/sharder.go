package sharder

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// Sharder runs this process's members of the shard groups of its failure domain and sends commands to those of all domains.
// Its methods are safe for concurrent use.
type Sharder struct {
	host              *replicator.Host
	self              replicator.Member
	domain            gypsumhoist.FailureDomain
	newMachine        MachineFactory
	lg                *logger.Logger
	metrics           *metrics.Set
	timings           replicator.Timings
	unresponsiveAfter time.Duration
	repairInterval    time.Duration
	seed              uint64

	tb   tomb.Tomb
	ring *ringer.Ring[event]

	placements atomic.Pointer[map[Key]Placement] // the newest of each shard
	candidates atomic.Pointer[[]Candidate]
	reports    atomic.Pointer[map[Key]Report]
	leaving    atomic.Bool

	mu            sync.RWMutex
	runners       map[Key]*groupRunner
	closedMembers map[string]replicator.MemberID // identities under which this process can't open a group again, by group
}

// event is an element of the sharder's ring: placementsChanged or joinRequested.
type event interface{ event() }

// placementsChanged notifies the run loop of new placements.
type placementsChanged struct{}

// joinRequested notifies the run loop that a leader sends messages to a member of this process in a group that is not open.
type joinRequested struct {
	group  string
	member replicator.Member
}

func (placementsChanged) event() {}
func (joinRequested) event()     {}

// New returns a sharder that is not started. It panics when a required option is missing.
func New(opts ...Option) *Sharder {
	sh := &Sharder{
		metrics: metrics.NewSet(), timings: replicator.DefaultTimings(), unresponsiveAfter: defaultUnresponsiveAfter,
		repairInterval: defaultRepairInterval, seed: rand.Uint64(), ring: ringer.New[event](eventRingSize),
		runners: map[Key]*groupRunner{}, closedMembers: map[string]replicator.MemberID{},
	}
	for _, op := range opts {
		op(sh)
	}
	if sh.host == nil || sh.newMachine == nil || sh.domain == "" || sh.self == (replicator.Member{}) {
		panic("sharder: New needs WithHost, WithSelf and WithMachine")
	}
	sh.placements.Store(&map[Key]Placement{})
	sh.candidates.Store(&[]Candidate{})
	sh.reports.Store(&map[Key]Report{})
	return sh
}

// Start starts opening and closing groups as placements and leaders require. Call it once.
func (sh *Sharder) Start() {
	sh.host.SetFallback(groupPrefix, fallback{sh})
	sh.tb.Go(sh.run)
}

// Stop transfers the leadership of all groups and closes them. Call Leave before, so that this process
// has been replaced in its groups.
func (sh *Sharder) Stop() {
	sh.tb.Kill(nil)
	_ = sh.tb.Wait() // run returns no error
	open := sh.allRunners()
	for _, gr := range open {
		gr.tb.Kill(nil)
	}
	for _, gr := range open {
		_ = gr.tb.Wait() // run returns no error
	}
}

// Leave waits until this process is no longer a member of any group, or returns the context's error when that ends.
// Gossip must already list the process as StateLeaving.
func (sh *Sharder) Leave(ctx context.Context) error {
	sh.leaving.Store(true)
	for len(sh.allRunners()) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(leavePollInterval):
		}
	}
	return nil
}

// SetPlacements sets the table's placements of all failure domains; older generations among them
// are ignored. The slice is not retained.
func (sh *Sharder) SetPlacements(placements []Placement) {
	newest := newestPlacements(placements)
	sh.placements.Store(&newest)
	sh.ring.PushEvict(placementsChanged{})
}

// SetCandidates sets the candidates of all failure domains from gossip; the slice must not be modified afterwards.
func (sh *Sharder) SetCandidates(candidates []Candidate) { sh.candidates.Store(&candidates) }

// SetReports sets the reports that were received as rumors; the slice is not retained.
func (sh *Sharder) SetReports(reports []Report) {
	newest := newestReports(reports)
	sh.reports.Store(&newest)
}

// Reports returns a report on each group that this process leads, as of now, to be spread to all instances.
func (sh *Sharder) Reports() []Report {
	var reports []Report
	for _, gr := range sh.allRunners() {
		if re, ok := gr.report(); ok {
			reports = append(reports, re)
		}
	}
	return reports
}

// Lease is this process's lease on a shard of its own failure domain.
type Lease struct {
	Held       bool
	Generation uint64
	// Epoch grows with each new holder within a generation.
	Epoch uint64
	// Since is when this process acquired the lease.
	Since time.Time
}

// Lease returns this process's lease; its holder is the only process that may act for the shard. The call is cheap.
func (sh *Sharder) Lease(shard int) Lease {
	gr := sh.runner(Key{Domain: sh.domain, Shard: shard})
	if gr == nil {
		return Lease{}
	}
	epoch, since, held := gr.group.Lease()
	return Lease{Held: held, Generation: gr.generation, Epoch: epoch, Since: since}
}

// Barrier returns once this process's state machine of the shard has applied all that was committed before the call.
// The error is a *replicator.ErrNoLeader or the context's.
func (sh *Sharder) Barrier(ctx context.Context, shard int) error {
	gr := sh.runner(Key{Domain: sh.domain, Shard: shard})
	if gr == nil {
		return &replicator.ErrNoLeader{Group: fmt.Sprint(shard), Detail: "shard is not held here"}
	}
	return gr.group.Barrier(ctx)
}

// Leader returns the peer address of the instance that probably leads a shard; false means that
// no leader is known.
func (sh *Sharder) Leader(fd gypsumhoist.FailureDomain, shard int) (netip.AddrPort, bool) {
	mb, ok := sh.leader(Key{Domain: fd, Shard: shard})
	return mb.Peer, ok
}

func (sh *Sharder) leader(key Key) (replicator.Member, bool) {
	if gr := sh.runner(key); gr != nil {
		if mb, ok := gr.group.Leader(); ok {
			return mb, true
		}
	}
	re, ok := (*sh.reports.Load())[key]
	if !ok || re.Generation < (*sh.placements.Load())[key].Generation {
		return replicator.Member{}, false
	}
	return re.Leader, true
}

func (sh *Sharder) runner(key Key) *groupRunner {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return sh.runners[key]
}

func (sh *Sharder) allRunners() []*groupRunner {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return slices.Collect(maps.Values(sh.runners))
}
