package retrier

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// RowKey names the row whose ratio an attempt counts in.
type RowKey struct {
	Workspace gypsumhoist.Workspace
	Route     string
}

// Bounds of the kept ratios.
const (
	rowsMax  = 4096            // rows with a ratio of their own
	idleLife = 2 * ratioWindow // age of a ratio nobody has touched
)

// Retrier keeps the ratios of all rows and decides on retries.
// It is safe for concurrent use. The zero value is not usable; call New.
type Retrier struct {
	mu    sync.Mutex
	start time.Time
	rows  map[RowKey]*rowRatio
	swept time.Duration

	allowed *metrics.Counter
	refused [len(causeNames)]*metrics.Counter
}

type rowRatio struct {
	ratio      Ratio
	candidates candidates
	used       time.Duration
}

// spendOver is over what time a row may spend the retries that its window holds, so that an outage of several
// seconds does not find them spent on what came first.
const spendOver = 3 * time.Second

// Option sets one property of a Retrier.
type Option func(*Retrier)

// WithMetrics counts decisions on a set; nil counts nowhere.
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

// New returns a retrier without any history.
func New(opts ...Option) *Retrier {
	re := &Retrier{start: time.Now(), rows: map[RowKey]*rowRatio{}}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// First counts the first attempt of a request of a row.
func (re *Retrier) First(key RowKey) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.row(key, now).ratio.First(now)
}

// Repeated counts the first attempt of a request that is made for one which is itself a retry: it is another arrival
// that nobody would have seen without that retry.
func (re *Retrier) Repeated(key RowKey) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.row(key, now).ratio.Charge(now)
}

// Decide says whether a failed attempt of a row is retried, and draws one retry if it is.
// Percent is the row's RetryPercent. A nil budget is an empty one.
func (re *Retrier) Decide(key RowKey, percent int, fl Failure, bg *Budget) Decision {
	cause := Judge(fl)
	if cause == CauseNone {
		cause = re.draw(key, percent, fl.Rank, bg)
	}
	if cause != CauseNone {
		count(re.refused[cause])
		return GiveUp{Cause: cause}
	}
	count(re.allowed)
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

// grant counts a retry if the row has one left for it besides those for all that go before it.
func (rr *rowRatio) grant(now time.Duration, percent int, rk Rank) bool {
	order := rk.order()
	rr.candidates.note(now, order)
	left := rr.ratio.Left(now, percent)
	share := max(1, left*int64(rankWindow)/int64(spendOver))
	if left <= 0 || int64(rr.candidates.before(order)) >= share {
		return false
	}
	return rr.ratio.Retry(now, percent)
}

// row returns the ratio of a row; beyond rowsMax all further rows share one.
func (re *Retrier) row(key RowKey, now time.Duration) *rowRatio {
	rr, ok := re.rows[key]
	if !ok {
		re.sweep(now)
		if len(re.rows) >= rowsMax {
			key = RowKey{}
			rr = re.rows[key]
		}
	}
	if rr == nil {
		rr = &rowRatio{}
		re.rows[key] = rr
	}
	rr.used = now
	return rr
}

// sweep forgets idle rows, at most once per slice of the window.
func (re *Retrier) sweep(now time.Duration) {
	if len(re.rows) < rowsMax || now-re.swept < ratioSlice {
		return
	}
	re.swept = now
	for key, rr := range re.rows {
		if now-rr.used > idleLife {
			delete(re.rows, key)
		}
	}
}

func count(ct *metrics.Counter) {
	if ct != nil {
		ct.Inc()
	}
}
