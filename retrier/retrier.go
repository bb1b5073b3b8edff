package retrier

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// RowKey identifies the row in whose ratio an attempt is counted.
type RowKey struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// Limits of the state kept per row.
const (
	maxRows     = 4096            // rows with state of their own
	idleTimeout = 2 * ratioWindow // time after which the state of an unused row may be dropped
)

// Retrier decides on retries and keeps the ratios of all rows.
// It is safe for concurrent use. The zero value is not usable; call New.
type Retrier struct {
	mu        sync.Mutex
	start     time.Time
	rows      map[RowKey]*rowState
	lastSweep time.Duration

	allowed *metrics.Counter
	refused [len(causeNames)]*metrics.Counter
}

type rowState struct {
	ratio      Ratio
	candidates candidates
	lastUsed   time.Duration
}

// spendPeriod is the time over which a row spreads the retries that its window still allows, so that the first failures of an
// outage of several seconds don't use up all of them.
const spendPeriod = 3 * time.Second

// Option configures a Retrier.
type Option func(*Retrier)

// WithMetrics registers the counters of decisions with a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(re *Retrier) {
		if set == nil {
			return
		}
		re.allowed = set.NewCounter("gypsumhoist_retrier_allowed_total")
		for num, name := range causeNames {
			re.refused[num] = set.NewCounter(`gypsumhoist_retrier_refused_total{cause="` + name + `"}`)
		}
	}
}

// New returns a retrier without history.
func New(opts ...Option) *Retrier {
	re := &Retrier{start: time.Now(), rows: map[RowKey]*rowState{}}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// CountFirst counts the first attempt of a request.
func (re *Retrier) CountFirst(key RowKey) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.row(key, now).ratio.CountFirst(now)
}

// CountRepeat counts, as a retry, the first attempt of a nested call that is made on behalf of a retry: without that retry, this
// attempt would not have been made either.
func (re *Retrier) CountRepeat(key RowKey) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.row(key, now).ratio.CountRetry(now)
}

// Decide decides whether a failed attempt of a row is retried, and draws one retry if so.
// Percent is the row's RetryPercent. A nil budget counts as empty.
func (re *Retrier) Decide(key RowKey, percent int, fl Failure, bg *Budget) Decision {
	cause := Classify(fl)
	if cause == CauseNone {
		cause = re.draw(key, percent, fl.Rank, bg)
	}
	if cause != CauseNone {
		inc(re.refused[cause])
		return GiveUp{Cause: cause}
	}
	inc(re.allowed)
	return RetryElsewhere{}
}

func (re *Retrier) draw(key RowKey, percent int, rk Rank, bg *Budget) Cause {
	sh := bg.Draw(1)
	if sh.Retries() == 0 {
		return CauseBudget
	}
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	if !re.row(key, now).grant(now, percent, rk) {
		sh.Return(1)
		return CauseRatio
	}
	return CauseNone
}

// grant counts a retry and reports true, unless the candidates of higher priority need all retries that the row may spend in
// rankWindow.
func (rs *rowState) grant(now time.Duration, percent int, rk Rank) bool {
	priority := rk.priority()
	rs.candidates.add(now, priority)
	left := rs.ratio.Left(now, percent)
	quota := max(1, left*int64(rankWindow)/int64(spendPeriod))
	if left <= 0 || int64(rs.candidates.outranking(priority)) >= quota {
		return false
	}
	return rs.ratio.TryRetry(now, percent)
}

// row returns the state of a row. Beyond maxRows, all further rows share one state.
func (re *Retrier) row(key RowKey, now time.Duration) *rowState {
	rs, ok := re.rows[key]
	if !ok {
		re.sweep(now)
		if len(re.rows) >= maxRows {
			key = RowKey{}
			rs = re.rows[key]
		}
	}
	if rs == nil {
		rs = &rowState{}
		re.rows[key] = rs
	}
	rs.lastUsed = now
	return rs
}

// sweep drops idle rows, at most once per ratioSlice.
func (re *Retrier) sweep(now time.Duration) {
	if len(re.rows) < maxRows || now-re.lastSweep < ratioSlice {
		return
	}
	re.lastSweep = now
	for key, rs := range re.rows {
		if now-rs.lastUsed > idleTimeout {
			delete(re.rows, key)
		}
	}
}

func inc(ct *metrics.Counter) {
	if ct != nil {
		ct.Inc()
	}
}
