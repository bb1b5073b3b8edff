package admitter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

var (
	eventShedding = logger.Define(1400, logger.LevelWarn, "shedding_began",
		"The upstream is at its concurrency limit and refuses the least important requests: those below the importance cut_off.")
	eventSlots = logger.Define(1401, logger.LevelInfo, "slots_changed",
		"The upstream announced a different number of slots.")
	eventLimit = logger.Define(1402, logger.LevelInfo, "limit_changed",
		"The concurrency limit of the upstream has changed; cause tells whether latency, its own refusals or its slots led to that, "+
			"or a trial with some slots free.")
	eventJoint = logger.Define(1403, logger.LevelInfo, "joint_refusal",
		"The upstream can't serve all calls: it refuses those of the requests ranked below level on arrival, "+
			"so that the others get all of theirs served; a level of zero tells that this has ended.")
	eventRateLimit = logger.Define(1404, logger.LevelInfo, "rate_limit_changed",
		"The upstream names another limit of requests per second in its answers, or none; source tells whether it said so itself "+
			"or another node had heard it before.")
	eventColdLimit = logger.Define(1405, logger.LevelInfo, "cold_limit_changed",
		"The upstream is cold, or may be, and gets no more requests per second than its table allows; \"unknown\" ends this.")
)

// RateLimitSource is where a node knows the rate limit of its upstream from.
type RateLimitSource uint8

// Sources.
const (
	RateLimitFromAnswer RateLimitSource = iota // an answer of the upstream
	RateLimitFromPeer                          // another node that has heard of it from an earlier answer
	RateLimitForgotten                         // the upstream was replaced
)

var rateLimitSourceNames = [...]string{"answer", "peer", "new_upstream"}

// String returns the source in snake case.
func (rs RateLimitSource) String() string { return rateLimitSourceNames[rs] }

// limitLogInterval is the minimum time between two limit_changed events, and between two joint_refusal events.
const limitLogInterval = 500 * time.Millisecond

// sheddingLogGap is how long no request must have been shed before shedding is logged again.
const sheddingLogGap = 10 * time.Second

// Admitter is the admission control of the upstream at its own node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Admitter struct {
	start   time.Time
	logger  *logger.Logger
	metrics *metrics.Set
	random  *rand.Rand

	mu            sync.Mutex
	core          *Core
	active        activeRequests
	waiting       map[ID]chan Decision
	lastShedAt    time.Duration
	lastShedCount uint64
	// loggedLimit is the limit that was last logged, at limitLoggedAt.
	loggedLimit   int
	limitLoggedAt time.Duration
	// loggedJoint is the level of joint refusal that was last logged, at jointLoggedAt.
	loggedJoint   priority
	jointLoggedAt time.Duration
	resume        *time.Timer // set while a waiting request is due under the rate limit
	reclaimed     uint64      // slots reclaimed from overtaken requests
}

// Option sets one property of an Admitter.
type Option func(*Admitter)

// WithLogger sets the logger of events; nil logs none.
func WithLogger(lg *logger.Logger) Option { return func(ad *Admitter) { ad.logger = lg } }

// WithMetrics registers gauges and counters in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option { return func(ad *Admitter) { ad.metrics = set } }

// WithRandom sets the source of random numbers, for precedences and the jitter of RetryAfter; nil takes one with a random seed.
func WithRandom(rd *rand.Rand) Option { return func(ad *Admitter) { ad.random = rd } }

// New returns an admitter without an upstream: it refuses all requests until SetSlots is called.
func New(opts ...Option) *Admitter {
	ad := &Admitter{start: time.Now(), waiting: map[ID]chan Decision{}}
	for _, opt := range opts {
		opt(ad)
	}
	if ad.random == nil {
		ad.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	ad.core = NewCore(0, ad.random)
	ad.register()
	return ad
}

// SetSlots sets the number of slots that the upstream announced.
// Zero or less means that there is no upstream: all waiting requests are refused.
func (ad *Admitter) SetSlots(slots int) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	old := ad.core.limit.slots
	ad.core.SetSlots(ad.now(), slots)
	ad.deliver()
	if old != slots {
		ad.logger.Log(eventSlots, "before", old, "slots", slots)
	}
}

// SetRateLimit sets the rate limit that the upstream names, in requests per second from all nodes together. One from a peer counts
// only while nothing is known.
func (ad *Admitter) SetRateLimit(limit gypsumhoist.RateLimit, source RateLimitSource) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	old := ad.core.pace.limit
	if !ad.core.SetRateLimit(ad.now(), limit, source) {
		return
	}
	if ad.resume != nil {
		ad.resume.Stop()
		ad.resume = nil
	}
	ad.deliver()
	if limit = ad.core.pace.limit; old.Limited() || limit.Limited() {
		ad.logger.Log(eventRateLimit, "before", old, "rate_limit", limit, "source", source, "waiting", ad.core.queue.len())
	}
}

// SetColdLimit sets how many requests per second the upstream takes while it is cold; the zero value ends the limit.
func (ad *Admitter) SetColdLimit(limit gypsumhoist.RateLimit) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	old := ad.core.pace.cold
	if !ad.core.SetColdLimit(ad.now(), limit) {
		return
	}
	if ad.resume != nil {
		ad.resume.Stop()
		ad.resume = nil
	}
	ad.deliver()
	ad.logger.Log(eventColdLimit, "before", old, "cold_limit", limit, "waiting", ad.core.queue.len())
}

// scheduleResume arms the timer for the next waiting request that the rate limit holds back. It needs the mutex.
func (ad *Admitter) scheduleResume(now time.Duration) {
	at := ad.core.NextStart(now)
	if at == 0 || ad.resume != nil {
		return
	}
	ad.resume = time.AfterFunc(at-now, func() {
		ad.mu.Lock()
		defer ad.mu.Unlock()
		ad.resume = nil
		ad.core.Resume(ad.now())
		ad.deliver()
	})
}

// Load returns the current state, for answers to other nodes.
func (ad *Admitter) Load() Load {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.core.Load(ad.now())
}

// CutOff returns the importance below which all fresh requests are currently refused.
func (ad *Admitter) CutOff() gypsumhoist.Importance {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.core.cutOff.value(ad.now())
}

// Admit waits until the request may run, and returns a ticket for it.
// The error is a *gypsumhoist.Refusal with VerdictNotRun, also when the context ends first.
func (ad *Admitter) Admit(ctx context.Context, rq Request) (*Ticket, error) {
	arrived := ad.now()
	id, dc, decided := ad.arrive(rq)
	for {
		switch dc := dc.(type) {
		case Started:
			return ad.newTicket(rq.Route, arrived), nil
		case Refused:
			return nil, dc.Refusal
		case Waiting:
		}
		dc = ad.await(ctx, id, dc.(Waiting).Until, decided)
	}
}

// newTicket returns a ticket for a request that has just been given a slot.
func (ad *Admitter) newTicket(route string, arrived time.Duration) *Ticket {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := ad.now()
	return &Ticket{admitter: ad, route: route, began: now, waited: now - arrived, active: ad.active.begin(now, route)}
}

func (ad *Admitter) arrive(rq Request) (ID, Decision, chan Decision) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	id, dc := ad.core.Arrive(ad.now(), ad.coreRequest(rq))
	var decided chan Decision
	if _, waits := dc.(Waiting); waits {
		decided = make(chan Decision, 1)
		ad.waiting[id] = decided
	}
	ad.deliver()
	return id, dc, decided
}

// await returns the next decision about a waiting request.
func (ad *Admitter) await(ctx context.Context, id ID, until time.Duration, decided chan Decision) Decision {
	timer := time.NewTimer(until - ad.now())
	defer timer.Stop()
	select {
	case dc := <-decided:
		return dc
	case <-ctx.Done():
		return ad.cancel(ctx, id, decided)
	case <-timer.C:
		return ad.expire(id, decided)
	}
}

func (ad *Admitter) cancel(ctx context.Context, id ID, decided chan Decision) Decision {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	delete(ad.waiting, id)
	if !ad.core.Cancel(id) {
		if _, started := (<-decided).(Started); started {
			ad.core.Done(ad.now(), 0, "", OutcomeUnused)
			ad.deliver()
		}
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return Refused{ad.core.tooLate()}
	}
	return Refused{gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "the caller went away while the request waited")}
}

func (ad *Admitter) expire(id ID, decided chan Decision) Decision {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	dc := ad.core.Expire(ad.now(), id)
	if dc == nil {
		return <-decided
	}
	if _, waits := dc.(Waiting); !waits {
		delete(ad.waiting, id)
	}
	ad.deliver()
	return dc
}

// deliver passes the core's notices to the goroutines that wait for them. It needs the mutex.
func (ad *Admitter) deliver() {
	for _, nt := range ad.core.Notices() {
		if decided, ok := ad.waiting[nt.ID]; ok {
			delete(ad.waiting, nt.ID)
			decided <- nt.Decision
		}
	}
	now := ad.now()
	ad.scheduleResume(now)
	ad.logShedding(now)
	ad.logLimit(now)
	ad.logJoint(now)
}

func (ad *Admitter) logJoint(now time.Duration) {
	level := ad.core.joint.levelAt(now)
	if (level > 0) == (ad.loggedJoint > 0) || now-ad.jointLoggedAt < limitLogInterval && ad.jointLoggedAt > 0 {
		return
	}
	ad.logger.Log(eventJoint, "before", float64(ad.loggedJoint), "level", float64(level), "limit", ad.core.limit.current(),
		"in_flight", ad.core.inFlight, "waiting", ad.core.queue.len())
	ad.loggedJoint, ad.jointLoggedAt = level, now
}

func (ad *Admitter) logLimit(now time.Duration) {
	limit := ad.core.limit.current()
	if limit == ad.loggedLimit || now-ad.limitLoggedAt < limitLogInterval && ad.limitLoggedAt > 0 {
		return
	}
	ad.logger.Log(eventLimit, "before", ad.loggedLimit, "limit", limit, "slots", ad.core.limit.slots, "cause", ad.core.limit.cause,
		"base_latency", ad.core.limit.baseline, "in_flight", ad.core.inFlight, "waiting", ad.core.queue.len())
	ad.loggedLimit, ad.limitLoggedAt = limit, now
}

func (ad *Admitter) logShedding(now time.Duration) {
	if ad.core.refusals.overload == ad.lastShedCount {
		return
	}
	if ad.lastShedCount == 0 || now-ad.lastShedAt > sheddingLogGap {
		ld := ad.core.Load(now)
		ad.logger.Log(eventShedding, "cut_off", ld.CutOff, "limit", ld.Limit, "slots", ld.Slots, "waiting", ld.Waiting)
	}
	ad.lastShedCount = ad.core.refusals.overload
	ad.lastShedAt = now
}

func (ad *Admitter) coreRequest(rq Request) CoreRequest {
	cr := CoreRequest{
		Workspace:    rq.Workspace,
		Route:        rq.Route,
		Weight:       rq.Weight,
		Importance:   rq.Importance,
		Depth:        rq.Depth,
		Precedence:   rq.Precedence,
		Siblings:     rq.Siblings,
		Committed:    rq.Committed,
		LoadReported: rq.LoadReported,
		MaxWait:      rq.MaxWait,
	}
	if !rq.Target.IsZero() {
		cr.Target = rq.Target.Sub(ad.start)
	}
	if !rq.Deadline.IsZero() {
		cr.Deadline = max(rq.Deadline.Sub(ad.start), 1)
	}
	return cr
}

func (ad *Admitter) now() time.Duration { return time.Since(ad.start) }

// Ticket represents the slot of one admitted request. It is safe for concurrent use.
type Ticket struct {
	admitter *Admitter
	route    string
	began    time.Duration
	waited   time.Duration
	active   *activeRequest
	headAt   atomic.Int64 // when the head of the answer arrived, zero before
	once     sync.Once
}

// Waited returns how long the request waited for its slot.
func (tk *Ticket) Waited() time.Duration { return tk.waited }

// Answered marks that the head of the answer has arrived. The time until then, and not until Done,
// is the latency sample, so that callers that read the body slowly don't make the upstream look slow.
func (tk *Ticket) Answered() {
	tk.headAt.CompareAndSwap(0, int64(tk.admitter.now()))
}

// busyShare is the share of the slots in use from which on a refusal by the upstream is attributed to its load.
const busyShare = 0.5

// UpstreamBusy reports whether the upstream runs so many other requests that it may refuse this one for its load.
// All its requests come through this node, so that the slots in use are its whole load.
func (tk *Ticket) UpstreamBusy() bool {
	ad := tk.admitter
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ld := ad.core.Load(ad.now())
	return float64(ld.InFlight-1) >= busyShare*float64(ld.Slots)
}

// Done releases the slot. Calls after the first do nothing.
func (tk *Ticket) Done(oc Outcome) {
	tk.once.Do(func() {
		ad := tk.admitter
		ad.mu.Lock()
		defer ad.mu.Unlock()
		now := ad.now()
		ended := now
		if headAt := tk.headAt.Load(); headAt != 0 {
			ended = time.Duration(headAt)
		}
		ad.active.end(tk.active, oc == OutcomeAnswered)
		if !tk.active.reclaimed {
			ad.core.Done(now, ended-tk.began, tk.route, oc)
		}
		for range ad.active.reclaim(now, ad.core) {
			ad.reclaimed++
			ad.core.Done(now, 0, "", OutcomeUnused)
		}
		ad.deliver()
	})
}
