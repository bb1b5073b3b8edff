package prober

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// checkInterval is the time between checks while anything is not reachable.
const checkInterval = 50 * time.Millisecond

// probeTimeoutFactor is the timeout of a probe as a multiple of ConnectBound; a probe opens a connection and waits for an answer.
const probeTimeoutFactor = 3

var (
	eventInstanceUnreachable = logger.Define(2601, logger.LevelWarn, "instance_not_reached",
		"Calls of this node to an instance got no connection, or no answer within the usual time; they go elsewhere until a probe is answered.")
	eventInstanceReachable = logger.Define(2602, logger.LevelInfo, "instance_reached",
		"An instance that this node could not reach answers again.")
	eventDomainUnreachable = logger.Define(2603, logger.LevelWarn, "domain_not_reached",
		"Two instances of a failure domain can't be reached and no other instance of it is heard from; calls of this node go elsewhere until a probe is answered.")
	eventDomainReachable = logger.Define(2604, logger.LevelInfo, "domain_reached",
		"A failure domain that this node could not reach answers again.")
)

// Prober runs a Core: it takes evidence from connections, makes probes and reports changes. It implements connector.PathMonitor.
// It is safe for concurrent use. The zero value is not usable; call New.
type Prober struct {
	tmb    tomb.Tomb
	start  time.Time
	logger *logger.Logger
	probe  func(ctx context.Context, to netip.AddrPort) error
	notify func(Reachability)
	wakeup chan struct{}
	// degraded is Core.Degraded, readable without the lock.
	degraded atomic.Bool
	probes   *metrics.Counter

	mu       sync.Mutex
	core     *Core
	reported Reachability
}

// Option configures a Prober.
type Option func(*Prober)

// WithLogger sets the logger; nil logs nothing.
func WithLogger(lg *logger.Logger) Option { return func(pr *Prober) { pr.logger = lg } }

// WithMetrics registers the counters with a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(pr *Prober) {
		if set != nil {
			pr.probes = set.NewCounter("gypsumhoist_prober_probes_total")
		}
	}
}

// WithProbe sets the function that requests any answer from an instance over a new connection. An error means no answer.
func WithProbe(fn func(ctx context.Context, to netip.AddrPort) error) Option {
	return func(pr *Prober) { pr.probe = fn }
}

// WithNotify sets the function that is called with each change. Calls are not concurrent.
func WithNotify(fn func(Reachability)) Option { return func(pr *Prober) { pr.notify = fn } }

// New returns a prober for a node in the local failure domain.
func New(local gypsumhoist.FailureDomain, opts ...Option) *Prober {
	pr := &Prober{
		start: time.Now(), core: NewCore(local), wakeup: make(chan struct{}, 1), probes: &metrics.Counter{},
		probe:  func(context.Context, netip.AddrPort) error { return nil },
		notify: func(Reachability) {},
	}
	for _, opt := range opts {
		opt(pr)
	}
	return pr
}

// Start starts probing instances that can't be reached.
func (pr *Prober) Start() { pr.tmb.Go(pr.loop) }

// Stop ends probing and waits for probes in flight.
func (pr *Prober) Stop() {
	pr.tmb.Kill(nil)
	// The loop returns no error.
	_ = pr.tmb.Wait()
}

// SetMembers replaces the known instances.
func (pr *Prober) SetMembers(members []Member) {
	pr.mu.Lock()
	pr.core.SetMembers(members)
	pr.mu.Unlock()
	pr.wake()
}

// ConnectBound implements connector.PathMonitor.
func (pr *Prober) ConnectBound(to netip.AddrPort) time.Duration {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.core.ConnectBound(to)
}

// AnswerBound implements connector.PathMonitor.
func (pr *Prober) AnswerBound(to netip.AddrPort) time.Duration {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.core.AnswerBound(to)
}

// Connected implements connector.PathMonitor.
func (pr *Prober) Connected(to netip.AddrPort, took time.Duration) {
	pr.update(func(now time.Duration) { pr.core.Connected(now, to, took) })
}

// Refused implements connector.PathMonitor.
func (pr *Prober) Refused(to netip.AddrPort) {
	pr.update(func(now time.Duration) { pr.core.Refused(now, to) })
}

// TimedOut implements connector.PathMonitor.
func (pr *Prober) TimedOut(to netip.AddrPort, since time.Time) {
	pr.update(func(now time.Duration) { pr.core.TimedOut(now, to, since.Sub(pr.start)) })
}

// Silent implements connector.PathMonitor.
func (pr *Prober) Silent(to netip.AddrPort, since time.Time) {
	pr.update(func(now time.Duration) { pr.core.Silent(now, to, since.Sub(pr.start)) })
}

// Answered implements connector.PathMonitor.
func (pr *Prober) Answered(to netip.AddrPort, took time.Duration) {
	pr.update(func(now time.Duration) { pr.core.Answered(now, to, took) })
}

// Heard implements connector.PathMonitor. It takes no lock while everything can be reached.
func (pr *Prober) Heard(to netip.AddrPort) {
	if pr.degraded.Load() {
		pr.update(func(now time.Duration) { pr.core.Heard(now, to) })
	}
}

// update passes evidence to the core and wakes the loop if it changes anything.
func (pr *Prober) update(fn func(now time.Duration)) {
	pr.mu.Lock()
	fn(time.Since(pr.start))
	pr.degraded.Store(pr.core.Degraded())
	changed := pr.core.changed
	pr.mu.Unlock()
	if changed {
		pr.wake()
	}
}

func (pr *Prober) wake() {
	select {
	case pr.wakeup <- struct{}{}:
	default:
	}
}

// loop reports changes and starts probes. Its ticker is stopped while everything can be reached.
func (pr *Prober) loop() error {
	tk := time.NewTicker(checkInterval)
	defer tk.Stop()
	for {
		if !pr.check() {
			tk.Stop()
		} else {
			tk.Reset(checkInterval)
		}
		select {
		case <-pr.tmb.Dying():
			return nil
		case <-pr.wakeup:
		case <-tk.C:
		}
	}
}

// check advances the core, reports changes and starts due probes. It reports whether another check is needed.
func (pr *Prober) check() bool {
	pr.mu.Lock()
	now := time.Since(pr.start)
	pr.core.Tick(now)
	due := pr.core.DueProbes(now)
	degraded := pr.core.Degraded()
	pr.degraded.Store(degraded)
	before, changed := pr.reported, pr.core.Changed()
	if changed {
		pr.reported = pr.core.Reachability()
	}
	after := pr.reported
	pr.mu.Unlock()
	if changed {
		pr.report(before, after)
	}
	for _, to := range due {
		pr.tmb.Go(func() error { return pr.run(to) })
	}
	return degraded
}

// report logs the differences and calls notify.
func (pr *Prober) report(before, after Reachability) {
	peers, domains := before.diff(after)
	if len(peers) == 0 && len(domains) == 0 {
		return
	}
	for _, peer := range peers {
		if gd := after.grades[peer]; gd != GradeReachable {
			pr.logger.Log(eventInstanceUnreachable, "peer", peer, "grade", gd)
		} else {
			pr.logger.Log(eventInstanceReachable, "peer", peer)
		}
	}
	for _, dm := range domains {
		if after.domains[dm] {
			pr.logger.Log(eventDomainUnreachable, "failure_domain", dm)
		} else {
			pr.logger.Log(eventDomainReachable, "failure_domain", dm)
		}
	}
	pr.notify(after)
}

// run makes one probe.
func (pr *Prober) run(to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(pr.tmb.Context(context.Background()), probeTimeoutFactor*pr.ConnectBound(to))
	defer cancel()
	pr.probes.Inc()
	err := pr.probe(ctx, to)
	pr.update(func(now time.Duration) { pr.core.Probed(now, to, err == nil) })
	return nil
}
