package registrar

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	// barrierInterval is how often a control instance confirms its table by a read barrier.
	barrierInterval = 250 * time.Millisecond
	// barrierRetryDelay is how soon a failed barrier is repeated: the whole fleet may wait for the confirmation.
	barrierRetryDelay = 25 * time.Millisecond
	// compressMinBytes is the size from which answers are compressed.
	compressMinBytes = 1024
	// messageMaxBytes bounds a message.
	messageMaxBytes = 64 << 20
	// minEvaluationInterval is the least time between two evaluations of where a change is in force, for one waiter.
	minEvaluationInterval = 10 * time.Millisecond
	// expireInterval is how often expired reports are removed.
	expireInterval = time.Second
)

// Log events of the distribution of the table.
var (
	eventRevision = logger.Define(2401, logger.LevelInfo, "revision_in_force",
		"A revision of the table came into force at this instance.")
	eventStale = logger.Define(2402, logger.LevelWarn, "table_stale",
		"No control instance confirmed the table for longer than the cut-off lease; rows with cut_off=refuse are refused.")
	eventFresh = logger.Define(2403, logger.LevelInfo, "table_fresh",
		"The table is confirmed again after it was stale.")
	eventDeltaUnusable = logger.Define(2404, logger.LevelError, "delta_unusable",
		"A source sent a delta of the table that this instance can't apply; the source may run a newer version.")
	eventLate = logger.Define(2405, logger.LevelWarn, "table_late",
		"The table is up to date again after an edit may have come into force later than it should; the line holds the age that the table had reached, its revisions before and after, the source that brought it up to date, and the pulls that failed.")
	eventCaughtUp = logger.Define(2406, logger.LevelInfo, "table_caught_up",
		"The table was not confirmed for a while and was brought up to date by another source, in time for all edits; the line is that of event 2405.")
)

// Log events of evacuations, at each instance.
var (
	eventEvacuated = logger.Define(2407, logger.LevelInfo, "domain_evacuated",
		"The table in force at this instance evacuates a failure domain: from now on it sends no new request to upstreams there.")
	eventRestored = logger.Define(2408, logger.LevelInfo, "domain_restored",
		"The table in force at this instance no longer evacuates a failure domain; its upstreams get requests again.")
)

// Distributor keeps the Holder of a process up to date by pulling from other instances, serves their pulls, and reports
// to control which revision is in force.
// Every process has one. It is safe for concurrent use.
type Distributor struct {
	tm      tomb.Tomb
	self    Source
	holder  *Holder
	peers   connector.Peers
	log     *logger.Logger
	set     *metrics.Set
	barrier func(ctx context.Context) error

	started bool
	sources *ringer.Ring[[]Source]
	// ownConfirmed is when the local log last confirmed the table, in nanoseconds since Start.
	ownConfirmed atomic.Int64
	startedAt    time.Time
	ready        chan struct{}
	readyOnce    sync.Once

	mu        sync.Mutex
	tracker   *revisionTracker
	wake      chan struct{} // closed at each change of the tracked state
	heldPulls int           // pulls that are held now
	deltas    deltaCache

	metrics distributorMetrics
}

// NewDistributor returns a distributor that does nothing before Start, except for its handler.
func NewDistributor(opts ...Option) *Distributor {
	op := newOptions(opts)
	ds := &Distributor{
		self:    op.self,
		holder:  op.holder,
		peers:   op.peers,
		log:     op.log,
		set:     op.set,
		barrier: op.barrier,
		sources: ringer.New[[]Source](1),
		ready:   make(chan struct{}),
		tracker: newRevisionTracker(op.self, time.Now()),
		wake:    make(chan struct{}),
	}
	ds.metrics = newDistributorMetrics(op.set, op.holder, op.self.Domain)
	return ds
}

// Start starts pulling, confirming and reporting.
func (ds *Distributor) Start() {
	ds.started = true
	ds.startedAt = clocker.Now()
	pl := newPuller(ds)
	ds.tm.Go(ds.loop)
	if ds.peers != nil {
		ds.tm.Go(pl.run)
	}
	if ds.barrier != nil {
		ds.tm.Go(ds.confirmLoop)
	}
}

// Stop ends what Start began and waits for that. The handler goes on answering.
func (ds *Distributor) Stop() {
	ds.tm.Kill(nil)
	if !ds.started {
		return
	}
	// The error is nil, or that of a context that Stop cancelled.
	_ = ds.tm.Wait()
}

// SetSources replaces the list of other instances: all that are not proven gone, in every domain.
// A source that is down or cut off must stay in the list, as it may go on serving with an old table.
func (ds *Distributor) SetSources(sources []Source) {
	ds.mu.Lock()
	known := slices.Equal(ds.tracker.sources, sources)
	if !known {
		ds.tracker.setSources(slices.Clone(sources))
		ds.wakeLocked()
	}
	ds.mu.Unlock()
	if !known {
		ds.sources.PushEvict(slices.Clone(sources))
	}
}

// Holder returns the holder of the process.
func (ds *Distributor) Holder() *Holder { return ds.holder }

// Ready returns a channel that is closed once the startup pulls have ended and a source has confirmed the table, or once a read barrier has.
// Before that a starting instance should take no calls, as its table may be older than that of its neighbours.
func (ds *Distributor) Ready() <-chan struct{} { return ds.ready }

// Handler returns the path and the handler to mount on the peer port.
func (ds *Distributor) Handler() (string, http.Handler) {
	return registrarpb.NewSpreadHandler(distributorServer{ds},
		connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(messageMaxBytes))
}

// pause waits for the given time or until the context ends.
func pause(ctx context.Context, longest time.Duration) {
	if longest <= 0 {
		return
	}
	tm := time.NewTimer(longest)
	defer tm.Stop()
	select {
	case <-tm.C:
	case <-ctx.Done():
	}
}

// loop records the local revision, removes expired reports and logs when the table becomes stale or fresh.
func (ds *Distributor) loop() error {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	stale := false
	var evacuated []gypsumhoist.FailureDomain
	for {
		changed := ds.holder.Changed()
		ds.confirmOwnRevision()
		evacuated = ds.logEvacuations(evacuated)
		select {
		case <-changed:
		case <-tick.C:
			ds.mu.Lock()
			before := ds.tracker.version
			ds.tracker.expire(time.Now())
			ds.wakeIfChangedLocked(before)
			ds.mu.Unlock()
			stale = ds.logStaleness(stale)
		case <-ds.tm.Dying():
			return nil
		}
	}
}

func (ds *Distributor) confirmOwnRevision() {
	revision := ds.holder.Current().Revision()
	ds.mu.Lock()
	before := ds.tracker.version
	ds.tracker.confirm(revision)
	raised := ds.tracker.version != before
	ds.wakeIfChangedLocked(before)
	ds.mu.Unlock()
	if raised {
		ds.log.Log(eventRevision, "revision", revision)
	}
}

// logEvacuations logs which failure domains were evacuated or restored since the last call, and returns those that are evacuated.
func (ds *Distributor) logEvacuations(before []gypsumhoist.FailureDomain) []gypsumhoist.FailureDomain {
	tb := ds.holder.Current()
	now := tb.Evacuated()
	for _, dm := range now {
		if !slices.Contains(before, dm) {
			ds.log.Log(eventEvacuated, "failure_domain", dm, "own", dm == ds.self.Domain, "revision", tb.Revision())
		}
	}
	for _, dm := range before {
		if !slices.Contains(now, dm) {
			ds.log.Log(eventRestored, "failure_domain", dm, "own", dm == ds.self.Domain, "revision", tb.Revision())
		}
	}
	return now
}

func (ds *Distributor) logStaleness(before bool) bool {
	age := ds.holder.Age()
	now := age > CutOffLease && age != AgeUnknown
	switch {
	case now && !before:
		ds.log.Log(eventStale, "revision", ds.holder.Current().Revision(), "age", age)
	case before && !now:
		ds.log.Log(eventFresh, "revision", ds.holder.Current().Revision())
	}
	return now
}

// confirmLoop confirms the table of a control instance by read barriers of the log.
func (ds *Distributor) confirmLoop() error {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
		case <-ds.tm.Dying():
			return nil
		}
		wait := barrierRetryDelay
		began := clocker.Now()
		ctx, cancel := context.WithTimeout(ds.tm.Context(context.Background()), CutOffLease)
		err := ds.barrier(ctx)
		cancel()
		if err == nil {
			ds.holder.Confirm(ds.holder.Current().Revision(), began)
			ds.ownConfirmed.Store(int64(began.Sub(ds.startedAt)))
			ds.markReady()
			wait = barrierInterval
		}
		next.Reset(max(wait-clocker.Since(began), barrierRetryDelay))
	}
}

func (ds *Distributor) markReady() { ds.readyOnce.Do(func() { close(ds.ready) }) }

// wakeLocked wakes those that wait for a change of the tracked state; mu is held.
func (ds *Distributor) wakeLocked() {
	close(ds.wake)
	ds.wake = make(chan struct{})
}

func (ds *Distributor) wakeIfChangedLocked(version uint64) {
	if ds.tracker.version != version {
		ds.wakeLocked()
	}
}

// distributorMetrics are the metrics of the distribution of the table.
type distributorMetrics struct {
	pulls, failures, changes, full, catchUps, late, reports *metrics.Counter
}

func newDistributorMetrics(set *metrics.Set, hd *Holder, own gypsumhoist.FailureDomain) distributorMetrics {
	counter := func(what string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("gypsumhoist_registrar_%s_total", what))
	}
	set.GetOrCreateGauge("gypsumhoist_registrar_revision", func() float64 { return float64(hd.Current().Revision()) })
	set.GetOrCreateGauge("gypsumhoist_registrar_evacuated_domains", func() float64 { return float64(len(hd.Current().Evacuated())) })
	set.GetOrCreateGauge("gypsumhoist_registrar_own_domain_evacuated", func() float64 {
		if slices.Contains(hd.Current().Evacuated(), own) {
			return 1
		}
		return 0
	})
	set.GetOrCreateGauge("gypsumhoist_registrar_table_age_seconds", func() float64 { return hd.Age().Seconds() })
	return distributorMetrics{
		pulls:    counter("pulls"),
		failures: counter("pull_failures"),
		changes:  counter("deltas_taken"),
		full:     counter("full_deltas_taken"),
		catchUps: counter("catch_ups"),
		late:     counter("late_tables"),
		reports:  counter("reports"),
	}
}
