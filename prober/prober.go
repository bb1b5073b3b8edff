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

// tick is how often a node that can't reach everything looks at what it knows.
const tick = 50 * time.Millisecond

// probeBounds is how many times the bound of a connection a probe may take: to connect, and to be answered.
const probeBounds = 3

var (
	eventUnreachable = logger.Define(2601, logger.LevelWarn, "instance_not_reached",
		"Calls of this node to an instance got no connection or no answer in the usual time; they go elsewhere until a probe is answered.")
	eventReachable = logger.Define(2602, logger.LevelInfo, "instance_reached",
		"An instance that this node could not reach answers again.")
	eventDomainLost = logger.Define(2603, logger.LevelWarn, "domain_not_reached",
		"Two instances of a failure domain can't be reached and nothing comes from any other; calls of this node go elsewhere until a probe is answered.")
	eventDomainBack = logger.Define(2604, logger.LevelInfo, "domain_reached",
		"A failure domain that this node could not reach answers again.")
)

// Prober is the owner of a Core. It implements connector.Paths.
// It is safe for concurrent use. The zero value is not usable; call New.
type Prober struct {
	tmb    tomb.Tomb
	start  time.Time
	logger *logger.Logger
	probe  func(ctx context.Context, to netip.AddrPort) error
	notify func(Reach)
	kick   chan struct{}
	// attentive tells without the lock whether bytes of anybody matter.
	attentive atomic.Bool
	probes    *metrics.Counter

	mu   sync.Mutex
	core *Core
	last Reach
}

// Option sets one part of a Prober.
type Option func(*Prober)

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(pr *Prober) { pr.logger = lg } }

// WithMetrics gives counters to a set; nil gives none.
func WithMetrics(set *metrics.Set) Option {
	return func(pr *Prober) {
		if set != nil {
			pr.probes = set.NewCounter("gypsumhoist_prober_probes_total")
		}
	}
}

// WithProbe sets how an instance is asked for any answer over a fresh connection; an error is no answer.
func WithProbe(fn func(ctx context.Context, to netip.AddrPort) error) Option {
	return func(pr *Prober) { pr.probe = fn }
}

// WithNotify sets what hears of each change. Calls come one after the other.
func WithNotify(fn func(Reach)) Option { return func(pr *Prober) { pr.notify = fn } }

// New returns a prober of a node in a failure domain.
func New(local gypsumhoist.FailureDomain, opts ...Option) *Prober {
	pr := &Prober{
		start: time.Now(), core: NewCore(local), kick: make(chan struct{}, 1), probes: &metrics.Counter{},
		probe:  func(context.Context, netip.AddrPort) error { return nil },
		notify: func(Reach) {},
	}
	for _, opt := range opts {
		opt(pr)
	}
	return pr
}

// Start begins to probe what can't be reached.
func (pr *Prober) Start() { pr.tmb.Go(pr.loop) }

// Stop ends the probes.
func (pr *Prober) Stop() {
	pr.tmb.Kill(nil)
	// The loop has no error of its own.
	_ = pr.tmb.Wait()
}

// SetMembers replaces the instances that are known.
func (pr *Prober) SetMembers(members []Member) {
	pr.mu.Lock()
	pr.core.SetMembers(members)
	pr.mu.Unlock()
	pr.wake()
}

// ConnectBound implements connector.Paths.
func (pr *Prober) ConnectBound(to netip.AddrPort) time.Duration {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.core.ConnectBound(to)
}

// AnswerBound implements connector.Paths.
func (pr *Prober) AnswerBound(to netip.AddrPort) time.Duration {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	return pr.core.AnswerBound(to)
}

// Connected implements connector.Paths.
func (pr *Prober) Connected(to netip.AddrPort, took time.Duration) {
	pr.take(func(now time.Duration) { pr.core.Connected(now, to, took) })
}

// Refused implements connector.Paths.
func (pr *Prober) Refused(to netip.AddrPort) {
	pr.take(func(now time.Duration) { pr.core.Refused(now, to) })
}

// TimedOut implements connector.Paths.
func (pr *Prober) TimedOut(to netip.AddrPort, since time.Time) {
	pr.take(func(now time.Duration) { pr.core.TimedOut(now, to, since.Sub(pr.start)) })
}

// Silent implements connector.Paths.
func (pr *Prober) Silent(to netip.AddrPort, since time.Time) {
	pr.take(func(now time.Duration) { pr.core.Silent(now, to, since.Sub(pr.start)) })
}

// Answered implements connector.Paths.
func (pr *Prober) Answered(to netip.AddrPort, took time.Duration) {
	pr.take(func(now time.Duration) { pr.core.Answered(now, to, took) })
}

// Heard implements connector.Paths. It costs next to nothing while everything can be reached.
func (pr *Prober) Heard(to netip.AddrPort) {
	if pr.attentive.Load() {
		pr.take(func(now time.Duration) { pr.core.Heard(now, to) })
	}
}

// take gives evidence to the core.
func (pr *Prober) take(tell func(now time.Duration)) {
	pr.mu.Lock()
	tell(time.Since(pr.start))
	pr.attentive.Store(pr.core.Attentive())
	changed := pr.core.changed
	pr.mu.Unlock()
	if changed {
		pr.wake()
	}
}

func (pr *Prober) wake() {
	select {
	case pr.kick <- struct{}{}:
	default:
	}
}

// loop tells of changes, and has what can't be reached probed. It rests while everything can be.
func (pr *Prober) loop() error {
	tk := time.NewTicker(tick)
	defer tk.Stop()
	for {
		if !pr.look() {
			tk.Stop()
		} else {
			tk.Reset(tick)
		}
		select {
		case <-pr.tmb.Dying():
			return nil
		case <-pr.kick:
		case <-tk.C:
		}
	}
}

// look concludes, tells and probes. It reports whether there is anything to look at again.
func (pr *Prober) look() bool {
	pr.mu.Lock()
	now := time.Since(pr.start)
	pr.core.Tick(now)
	due := pr.core.Due(now)
	attentive := pr.core.Attentive()
	pr.attentive.Store(attentive)
	before, changed := pr.last, pr.core.Changed()
	if changed {
		pr.last = pr.core.Reach()
	}
	after := pr.last
	pr.mu.Unlock()
	if changed {
		pr.tell(before, after)
	}
	for _, to := range due {
		pr.tmb.Go(func() error { return pr.run(to) })
	}
	return attentive
}

// tell logs what has changed and notifies.
func (pr *Prober) tell(before, after Reach) {
	peers, domains := before.differences(after)
	if len(peers) == 0 && len(domains) == 0 {
		return
	}
	for _, peer := range peers {
		if gd := after.grades[peer]; gd != GradeReachable {
			pr.logger.Log(eventUnreachable, "peer", peer, "grade", gd)
		} else {
			pr.logger.Log(eventReachable, "peer", peer)
		}
	}
	for _, dm := range domains {
		if after.domains[dm] {
			pr.logger.Log(eventDomainLost, "failure_domain", dm)
		} else {
			pr.logger.Log(eventDomainBack, "failure_domain", dm)
		}
	}
	pr.notify(after)
}

// run probes one instance.
func (pr *Prober) run(to netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(pr.tmb.Context(context.Background()), probeBounds*pr.ConnectBound(to))
	defer cancel()
	pr.probes.Inc()
	err := pr.probe(ctx, to)
	pr.take(func(now time.Duration) { pr.core.Probed(now, to, err == nil) })
	return nil
}
