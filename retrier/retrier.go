package retrier

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// RowKey identifies what an attempt is charged to: the ratio of its row, and the credit of the service that it goes to.
type RowKey struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Service   gypsumhoist.Service
}

// row returns the key of the row alone.
func (key RowKey) row() RowKey {
	key.Service = ""
	return key
}

// Limits of the state that is kept.
const (
	maxRows     = 4096            // rows with state of their own
	maxServices = 1024            // services with state of their own
	idleTimeout = 2 * ratioWindow // time after which unused state may be dropped
)

// Retrier decides on retries and keeps the ratios of all rows and the credit of all services.
// It is safe for concurrent use. The zero value is not usable; call New.
type Retrier struct {
	mu       sync.Mutex
	start    time.Time
	rows     table[RowKey, Ratio]
	services table[gypsumhoist.Service, serviceState]

	allowed *metrics.Counter
	refused [len(causeNames)]*metrics.Counter
}

// serviceState is what the rows of a service share.
type serviceState struct {
	credit     Credit
	candidates candidates
}

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
	re := &Retrier{start: time.Now(), rows: newTable[RowKey, Ratio](maxRows), services: newTable[gypsumhoist.Service, serviceState](maxServices)}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// CountFirst counts the first attempt of a request of a row. Percent is the row's RetryPercent.
func (re *Retrier) CountFirst(key RowKey, percent int) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.rows.at(key.row(), now).CountFirst(now)
	re.services.at(key.Service, now).credit.Earn(now, percent)
}

// CountRepeat counts, as a retry, the first attempt of a nested call that is made on behalf of a retry: without that retry, this
// attempt would not have been made either.
func (re *Retrier) CountRepeat(key RowKey) {
	now := time.Since(re.start)
	re.mu.Lock()
	defer re.mu.Unlock()
	re.rows.at(key.row(), now).CountRetry(now)
	re.services.at(key.Service, now).credit.Spend(now)
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
	if cause := re.grant(key, now, percent, rk); cause != CauseNone {
		sh.Return(1)
		return cause
	}
	return CauseNone
}

// grant counts a retry, unless the row has used up its share, or the service has no credit or candidates of higher priority need all
// that it can pay for in rankWindow.
func (re *Retrier) grant(key RowKey, now time.Duration, percent int, rk Rank) Cause {
	sv := re.services.at(key.Service, now)
	ra := re.rows.at(key.row(), now)
	priority := rk.priority()
	sv.candidates.add(now, priority)
	payable := sv.credit.Retries(now)
	switch {
	case ra.Left(now, percent) <= 0:
		return CauseRatio
	case payable <= 0 || int64(sv.candidates.outranking(priority)) >= max(payable, sv.credit.PerSecond(now)):
		return CauseCredit
	}
	ra.CountRetry(now)
	sv.credit.Spend(now)
	return CauseNone
}

func inc(ct *metrics.Counter) {
	if ct != nil {
		ct.Inc()
	}
}
