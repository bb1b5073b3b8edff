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

// Log events.
var (
	eventShedding = logger.Define(1400, logger.LevelWarn, "shedding_began",
		"The upstream is at its limit and the least important requests are refused; cut_off tells below which importance.")
	eventSlots = logger.Define(1401, logger.LevelInfo, "slots_changed",
		"The upstream announced another number of slots.")
	eventLimit = logger.Define(1402, logger.LevelInfo, "limit_changed",
		"The upstream may run another number of requests at a time; cause tells whether latency or its own refusals led to that.")
	eventJoint = logger.Define(1403, logger.LevelInfo, "joint_refusal",
		"The upstream can't serve all calls, and from now on refuses those of some requests at once and serves all of the others'; "+
			"level tells which, and is zero when this is over.")
)

// limitPause is between two lines about the limit at least.
const limitPause = 500 * time.Millisecond

// sheddingQuiet is how long no request must be shed before shedding is logged anew.
const sheddingQuiet = 10 * time.Second

// Admitter guards the upstream beside its node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Admitter struct {
	start   time.Time
	logger  *logger.Logger
	metrics *metrics.Set
	random  *rand.Rand

	mu       sync.Mutex
	core     *Core
	runs     runs
	waiting  map[ID]chan Decision
	lastShed time.Duration
	sheds    uint64
	// loggedLimit is the limit that was last logged, at limitAt.
	loggedLimit int
	limitAt     time.Duration
	// loggedJoint is the level of joint refusal that was last logged, at jointAt.
	loggedJoint standing
	jointAt     time.Duration
	givenOn     uint64 // slots of requests that were overtaken
}

// Option sets one property of an Admitter.
type Option func(*Admitter)

// WithLogger writes log events; nil writes none.
func WithLogger(lg *logger.Logger) Option { return func(ad *Admitter) { ad.logger = lg } }

// WithMetrics gives gauges and counters to a set; nil gives none.
func WithMetrics(set *metrics.Set) Option { return func(ad *Admitter) { ad.metrics = set } }

// WithRandom sets the source that spreads RetryAfter; nil takes one with a random seed.
func WithRandom(rd *rand.Rand) Option { return func(ad *Admitter) { ad.random = rd } }

// New returns an admitter without an upstream: it refuses everything until SetSlots.
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

// SetSlots takes the number of slots that the upstream announced.
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

// Load returns the present state, for the answers to other nodes.
func (ad *Admitter) Load() Load {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.core.Load(ad.now())
}

// CutOff returns the importance below which all fresh requests are refused at present.
func (ad *Admitter) CutOff() gypsumhoist.Importance {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	return ad.core.cutOff.value(ad.now())
}

// Admit waits until the request may run, and returns a ticket for it.
// The error is a *gypsumhoist.Refusal with VerdictNotRun; also when the context ends first.
func (ad *Admitter) Admit(ctx context.Context, ask Ask) (*Ticket, error) {
	arrived := ad.now()
	id, dc, answer := ad.arrive(ask)
	for {
		switch dc := dc.(type) {
		case Started:
			return ad.ticket(ask.Route, arrived), nil
		case Refused:
			return nil, dc.Refusal
		case Waiting:
		}
		dc = ad.await(ctx, id, dc.(Waiting).Until, answer)
	}
}

// ticket returns the slot of a request that has just got one.
func (ad *Admitter) ticket(route string, arrived time.Duration) *Ticket {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	now := ad.now()
	return &Ticket{admitter: ad, route: route, began: now, waited: now - arrived, run: ad.runs.begin(now, route)}
}

func (ad *Admitter) arrive(ask Ask) (ID, Decision, chan Decision) {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	id, dc := ad.core.Arrive(ad.now(), ad.request(ask))
	var answer chan Decision
	if _, waits := dc.(Waiting); waits {
		answer = make(chan Decision, 1)
		ad.waiting[id] = answer
	}
	ad.deliver()
	return id, dc, answer
}

// await returns the next decision about a waiting request.
func (ad *Admitter) await(ctx context.Context, id ID, until time.Duration, answer chan Decision) Decision {
	timer := time.NewTimer(until - ad.now())
	defer timer.Stop()
	select {
	case dc := <-answer:
		return dc
	case <-ctx.Done():
		return ad.giveUp(ctx, id, answer)
	case <-timer.C:
		return ad.expire(id, answer)
	}
}

func (ad *Admitter) giveUp(ctx context.Context, id ID, answer chan Decision) Decision {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	delete(ad.waiting, id)
	if !ad.core.GiveUp(id) {
		if _, started := (<-answer).(Started); started {
			ad.core.Done(ad.now(), 0, "", OutcomeUnused)
			ad.deliver()
		}
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return Refused{ad.core.tooLate()}
	}
	return Refused{gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "the caller went away while the request waited")}
}

func (ad *Admitter) expire(id ID, answer chan Decision) Decision {
	ad.mu.Lock()
	defer ad.mu.Unlock()
	dc := ad.core.Expire(ad.now(), id)
	if dc == nil {
		return <-answer
	}
	if _, waits := dc.(Waiting); !waits {
		delete(ad.waiting, id)
	}
	ad.deliver()
	return dc
}

// deliver hands the core's notices to the goroutines that wait for them. The mutex is held.
func (ad *Admitter) deliver() {
	for _, nt := range ad.core.Notices() {
		if answer, ok := ad.waiting[nt.ID]; ok {
			delete(ad.waiting, nt.ID)
			answer <- nt.Decision
		}
	}
	now := ad.now()
	ad.logShedding(now)
	ad.logLimit(now)
	ad.logJoint(now)
}

func (ad *Admitter) logJoint(now time.Duration) {
	level := ad.core.joint.at(now)
	if (level > 0) == (ad.loggedJoint > 0) || now-ad.jointAt < limitPause && ad.jointAt > 0 {
		return
	}
	ad.logger.Log(eventJoint, "before", float64(ad.loggedJoint), "level", float64(level), "limit", ad.core.limit.now(),
		"in_flight", ad.core.inFlight, "waiting", ad.core.queue.len())
	ad.loggedJoint, ad.jointAt = level, now
}

func (ad *Admitter) logLimit(now time.Duration) {
	limit := ad.core.limit.now()
	if limit == ad.loggedLimit || now-ad.limitAt < limitPause && ad.limitAt > 0 {
		return
	}
	ad.logger.Log(eventLimit, "before", ad.loggedLimit, "limit", limit, "slots", ad.core.limit.slots, "cause", ad.core.limit.cause,
		"base_latency", ad.core.limit.base, "in_flight", ad.core.inFlight, "waiting", ad.core.queue.len())
	ad.loggedLimit, ad.limitAt = limit, now
}

func (ad *Admitter) logShedding(now time.Duration) {
	if ad.core.refusals.overload == ad.sheds {
		return
	}
	if ad.sheds == 0 || now-ad.lastShed > sheddingQuiet {
		ld := ad.core.Load(now)
		ad.logger.Log(eventShedding, "cut_off", ld.CutOff, "limit", ld.Limit, "slots", ld.Slots, "waiting", ld.Waiting)
	}
	ad.sheds = ad.core.refusals.overload
	ad.lastShed = now
}

func (ad *Admitter) request(ask Ask) Request {
	rq := Request{
		Workspace:  ask.Workspace,
		Route:      ask.Route,
		Weight:     ask.Weight,
		Importance: ask.Importance,
		Depth:      ask.Depth,
		Precedence: ask.Precedence,
		Siblings:   ask.Siblings,
		Patience:   ask.Patience,
	}
	if !ask.Deadline.IsZero() {
		rq.Deadline = max(ask.Deadline.Sub(ad.start), 1)
	}
	return rq
}

func (ad *Admitter) now() time.Duration { return time.Since(ad.start) }

// Ticket is the slot of one admitted request. It is safe for concurrent use.
type Ticket struct {
	admitter *Admitter
	route    string
	began    time.Duration
	waited   time.Duration
	run      *run
	answered atomic.Int64 // when the head of the answer came, zero if it has not
	once     sync.Once
}

// Waited returns how long the request waited for its slot.
func (tk *Ticket) Waited() time.Duration { return tk.waited }

// Answered marks that the head of the answer has come. The time until then, and not until Done,
// is the latency sample, so that callers that read slowly don't make the upstream look slow.
func (tk *Ticket) Answered() {
	tk.answered.CompareAndSwap(0, int64(tk.admitter.now()))
}

// crowdedShare is from which part of its slots on an upstream may refuse work for its load.
const crowdedShare = 0.5

// Crowded reports whether the upstream runs so much besides this request that it may refuse it for its load.
// All its work comes through this node.
func (tk *Ticket) Crowded() bool {
	ad := tk.admitter
	ad.mu.Lock()
	defer ad.mu.Unlock()
	ld := ad.core.Load(ad.now())
	return float64(ld.InFlight-1) >= crowdedShare*float64(ld.Slots)
}

// Done gives the slot back. Calls after the first do nothing.
func (tk *Ticket) Done(oc Outcome) {
	tk.once.Do(func() {
		ad := tk.admitter
		ad.mu.Lock()
		defer ad.mu.Unlock()
		now := ad.now()
		ended := now
		if at := tk.answered.Load(); at != 0 {
			ended = time.Duration(at)
		}
		ad.runs.end(tk.run, oc == OutcomeAnswered)
		if !tk.run.released {
			ad.core.Done(now, ended-tk.began, tk.route, oc)
		}
		for range ad.runs.release(now, ad.core) {
			ad.givenOn++
			ad.core.Done(now, 0, "", OutcomeUnused)
		}
		ad.deliver()
	})
}
