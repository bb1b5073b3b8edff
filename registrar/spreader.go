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

	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	// barrierEvery is how often a control instance confirms its table by a read barrier.
	barrierEvery = 250 * time.Millisecond
	// barrierAgain is how soon after a vain try another one follows: the whole fleet may wait for it.
	barrierAgain = 25 * time.Millisecond
	// compressFrom is the size in bytes from which answers are compressed.
	compressFrom = 1024
	// messageMax bounds a message in bytes.
	messageMax = 64 << 20
	// judgeGap is the least time between two judgements of where a change is in force, for one that waits.
	judgeGap = 10 * time.Millisecond
	// expireEvery is how often old reports are looked for.
	expireEvery = time.Second
)

// Log events of spreading.
var (
	eventRevision = logger.Define(2401, logger.LevelInfo, "revision_in_force",
		"A revision of the table came into force at this instance.")
	eventStale = logger.Define(2402, logger.LevelWarn, "table_stale",
		"No control instance confirmed the table for longer than the cut-off lease; rows with cut_off=refuse are refused.")
	eventFresh = logger.Define(2403, logger.LevelInfo, "table_fresh",
		"The table is confirmed again after it was stale.")
	eventDelta = logger.Define(2404, logger.LevelError, "delta_unusable",
		"A source sent a change of the table that can't be read here; is it of a newer version?")
)

// Spreader keeps the Holder of a process up to date and tells control what is in force there.
// Every process has one. It is safe for concurrent use.
type Spreader struct {
	tm      tomb.Tomb
	self    Source
	holder  *Holder
	peers   connector.Peers
	log     *logger.Logger
	set     *metrics.Set
	barrier func(ctx context.Context) error

	started bool
	sources *ringer.Ring[[]Source]
	// ownConfirmed is when, in nanoseconds since Start, the own log confirmed the table last.
	ownConfirmed atomic.Int64
	startedAt    time.Time
	ready        chan struct{}
	once         sync.Once

	mu     sync.Mutex
	ledger *ledger
	wake   chan struct{} // closed with each change of the ledger
	held   int           // pulls that wait for an answer
	deltas deltaCache

	counts spreadCounts
}

// NewSpreader returns a spreader that does nothing before Start, but for its handler.
func NewSpreader(opts ...Option) *Spreader {
	op := newOptions(opts)
	sp := &Spreader{
		self:    op.self,
		holder:  op.holder,
		peers:   op.peers,
		log:     op.log,
		set:     op.set,
		barrier: op.barrier,
		sources: ringer.New[[]Source](1),
		ready:   make(chan struct{}),
		ledger:  newLedger(op.self, time.Now()),
		wake:    make(chan struct{}),
	}
	sp.counts = newSpreadCounts(op.set, op.holder)
	return sp
}

// Start begins to pull, to confirm and to report.
func (sp *Spreader) Start() {
	sp.started = true
	sp.startedAt = clocker.Now()
	pl := newPuller(sp)
	sp.tm.Go(sp.loop)
	if sp.peers != nil {
		sp.tm.Go(pl.run)
	}
	if sp.barrier != nil {
		sp.tm.Go(sp.confirmLoop)
	}
}

// Stop ends all of it and waits. The handler goes on answering.
func (sp *Spreader) Stop() {
	sp.tm.Kill(nil)
	if !sp.started {
		return
	}
	// The tomb dies of Kill(nil) alone, or of a context that Stop ended.
	_ = sp.tm.Wait()
}

// SetSources replaces what is known of all other instances: all that are not proven gone, in every domain.
// A source that is down or cut off must stay in the list, as it may go on serving under an old table.
func (sp *Spreader) SetSources(sources []Source) {
	sp.mu.Lock()
	known := slices.Equal(sp.ledger.sources, sources)
	if !known {
		sp.ledger.setSources(slices.Clone(sources))
		sp.wakeLocked()
	}
	sp.mu.Unlock()
	if !known {
		sp.sources.PushEvict(slices.Clone(sources))
	}
}

// Holder returns the holder of the process.
func (sp *Spreader) Holder() *Holder { return sp.holder }

// Ready returns a channel that is closed once several sources were asked, or one confirmed the table:
// before that a starting instance should take no calls, as its table may be older than its neighbours'.
func (sp *Spreader) Ready() <-chan struct{} { return sp.ready }

// Handler returns what is to be mounted on the peer port.
func (sp *Spreader) Handler() (string, http.Handler) {
	return registrarpb.NewSpreadHandler(spreadServer{sp},
		connect.WithCompressMinBytes(compressFrom), connect.WithReadMaxBytes(messageMax))
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

// loop notes own revisions and drops old reports.
func (sp *Spreader) loop() error {
	tick := time.NewTicker(expireEvery)
	defer tick.Stop()
	stale := false
	for {
		changed := sp.holder.Changed()
		sp.noteOwn()
		select {
		case <-changed:
		case <-tick.C:
			sp.mu.Lock()
			before := sp.ledger.version
			sp.ledger.expire(time.Now())
			sp.wakeSinceLocked(before)
			sp.mu.Unlock()
			stale = sp.noteStale(stale)
		case <-sp.tm.Dying():
			return nil
		}
	}
}

func (sp *Spreader) noteOwn() {
	revision := sp.holder.Current().Revision()
	sp.mu.Lock()
	before := sp.ledger.version
	sp.ledger.confirm(revision)
	news := sp.ledger.version != before
	sp.wakeSinceLocked(before)
	sp.mu.Unlock()
	if news {
		sp.log.Log(eventRevision, "revision", revision)
	}
}

func (sp *Spreader) noteStale(before bool) bool {
	age := sp.holder.Age()
	now := age > CutOffLease && age != AgeUnknown
	switch {
	case now && !before:
		sp.log.Log(eventStale, "revision", sp.holder.Current().Revision(), "age", age)
	case before && !now:
		sp.log.Log(eventFresh, "revision", sp.holder.Current().Revision())
	}
	return now
}

// confirmLoop confirms the table of a control instance by the log's read barrier.
func (sp *Spreader) confirmLoop() error {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-next.C:
		case <-sp.tm.Dying():
			return nil
		}
		wait := barrierAgain
		asked := clocker.Now()
		ctx, cancel := context.WithTimeout(sp.tm.Context(context.Background()), CutOffLease)
		err := sp.barrier(ctx)
		cancel()
		if err == nil {
			sp.holder.Confirm(sp.holder.Current().Revision(), asked)
			sp.ownConfirmed.Store(int64(asked.Sub(sp.startedAt)))
			sp.markReady()
			wait = barrierEvery
		}
		next.Reset(max(wait-clocker.Since(asked), barrierAgain))
	}
}

func (sp *Spreader) markReady() { sp.once.Do(func() { close(sp.ready) }) }

// wakeLocked wakes those that wait for changes of the ledger; mu is held.
func (sp *Spreader) wakeLocked() {
	close(sp.wake)
	sp.wake = make(chan struct{})
}

func (sp *Spreader) wakeSinceLocked(version uint64) {
	if sp.ledger.version != version {
		sp.wakeLocked()
	}
}

// spreadCounts are the metrics of spreading.
type spreadCounts struct {
	pulls, failures, changes, full, reports *metrics.Counter
}

func newSpreadCounts(set *metrics.Set, hd *Holder) spreadCounts {
	counter := func(what string) *metrics.Counter {
		return set.GetOrCreateCounter(fmt.Sprintf("gypsumhoist_registrar_%s_total", what))
	}
	set.GetOrCreateGauge("gypsumhoist_registrar_revision", func() float64 { return float64(hd.Current().Revision()) })
	set.GetOrCreateGauge("gypsumhoist_registrar_table_age_seconds", func() float64 { return hd.Age().Seconds() })
	return spreadCounts{
		pulls:    counter("pulls"),
		failures: counter("pull_failures"),
		changes:  counter("deltas_taken"),
		full:     counter("full_deltas_taken"),
		reports:  counter("reports"),
	}
}
