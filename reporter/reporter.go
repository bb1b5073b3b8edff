// Package reporter counts the outcomes of callers' requests by row, and computes from the counts of all
// instances the rate at which each row spends the error budget of its objective.
package reporter

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var eventFull = logger.Define(2701, logger.LevelWarn, "report_rows_full",
	"More rows had requests within three days than this instance counts for the burn report; the report lacks the others.")

// RowsMax is the maximum number of rows that a Reporter counts. Each takes about 2 KiB.
const RowsMax = 4000

// stripeCount is the number of stripes of a Reporter's rows.
const stripeCount = 64

// Reporter counts the requests of one instance. It is safe for concurrent use.
// The zero value is not usable; call New.
type Reporter struct {
	logger    *logger.Logger
	seed      maphash.Seed
	stripes   [stripeCount]stripe
	rows      atomic.Int64
	uncounted atomic.Uint64
	warned    atomic.Bool
}

// stripe is a subset of a Reporter's rows with a lock of its own, so that requests of different rows seldom contend for one.
type stripe struct {
	mu   sync.Mutex
	rows map[RowName]*row
	_    [40]byte // keeps the locks of two stripes in separate cache lines
}

// Option configures a Reporter.
type Option func(*Reporter)

// WithLogger sets the logger; nil disables logging.
func WithLogger(lg *logger.Logger) Option { return func(re *Reporter) { re.logger = lg } }

// WithMetrics registers metrics in a set; nil registers none.
func WithMetrics(set *metrics.Set) Option {
	return func(re *Reporter) {
		if set == nil {
			return
		}
		set.NewGauge("gypsumhoist_reporter_rows", func() float64 { return float64(re.rows.Load()) })
		set.NewGauge("gypsumhoist_reporter_uncounted_requests", func() float64 { return float64(re.uncounted.Load()) })
	}
}

// New returns a reporter without any counts.
func New(opts ...Option) *Reporter {
	re := &Reporter{seed: maphash.MakeSeed()}
	for ix := range re.stripes {
		re.stripes[ix].rows = map[RowName]*row{}
	}
	for _, opt := range opts {
		opt(re)
	}
	return re
}

// Observe counts one request of a row, which ended at the given time. Without a row (nil) it does nothing.
// Times of one row may be out of order by less than an hour. A larger step back is taken as a clock
// that was set back: the counts of the shorter windows are then reset.
func (re *Reporter) Observe(at time.Time, tableRow *registrar.Row, oc Outcome) {
	if tableRow == nil {
		return
	}
	name := RowName{tableRow.Workspace, tableRow.Route}
	st := &re.stripes[maphash.Comparable(re.seed, name)%stripeCount]
	st.mu.Lock()
	defer st.mu.Unlock()
	rw := st.rows[name]
	if rw == nil {
		if rw = re.addRow(st, at, name); rw == nil {
			re.uncounted.Add(1)
			return
		}
	}
	rw.observe(at, tableRow, oc)
}

// addRow adds a row. At the limit of RowsMax it first removes the idle rows of the stripe, and returns nil if the limit
// is still reached. The caller holds the stripe's lock.
func (re *Reporter) addRow(st *stripe, at time.Time, name RowName) *row {
	if re.rows.Load() >= RowsMax {
		re.sweep(st, at)
	}
	if re.rows.Add(1) > RowsMax {
		re.rows.Add(-1)
		if !re.warned.Swap(true) {
			re.logger.Log(eventFull, "rows", RowsMax)
		}
		return nil
	}
	rw := newRow()
	st.rows[name] = rw
	return rw
}

// sweep removes the idle rows of a stripe. The caller holds the stripe's lock.
func (re *Reporter) sweep(st *stripe, at time.Time) {
	for name, rw := range st.rows {
		if rw.idle(at) {
			delete(st.rows, name)
			re.rows.Add(-1)
		}
	}
}

// InstanceCounts holds the counts of one instance.
type InstanceCounts struct {
	Instance gypsumhoist.Instance `json:"instance"`
	Rows     []RowCounts          `json:"rows"`
	// Uncounted is the number of requests not counted because the instance already had RowsMax rows.
	Uncounted uint64 `json:"uncounted,omitempty"`
}

// Counts returns the counts in all windows that end at a time, sorted by row name, with plots if plot is true.
// It removes rows that have been idle for longer than all windows.
func (re *Reporter) Counts(at time.Time, self gypsumhoist.Instance, plot bool) InstanceCounts {
	out := InstanceCounts{Instance: self, Rows: []RowCounts{}, Uncounted: re.uncounted.Load()}
	for ix := range re.stripes {
		out.Rows = re.appendCounts(&re.stripes[ix], at, plot, out.Rows)
	}
	slices.SortFunc(out.Rows, func(ra, rb RowCounts) int { return compareNames(ra.RowName, rb.RowName) })
	return out
}

// appendCounts sweeps a stripe and appends the counts of its remaining rows.
func (re *Reporter) appendCounts(st *stripe, at time.Time, plot bool, rows []RowCounts) []RowCounts {
	st.mu.Lock()
	defer st.mu.Unlock()
	re.sweep(st, at)
	for name, rw := range st.rows {
		rows = append(rows, rw.counts(at, name, plot))
	}
	return rows
}

func compareNames(na, nb RowName) int {
	return cmp.Or(cmp.Compare(na.Workspace, nb.Workspace), cmp.Compare(na.Route, nb.Route))
}
