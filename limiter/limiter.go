package limiter

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// Limiter spends tokens for the requests that arrive at this node,
// and holds the token buckets of the shards that this process leads.
// It is safe for concurrent use. Call New, SetTable, then Start.
type Limiter struct {
	node     gypsumhoist.Instance
	domain   gypsumhoist.FailureDomain
	dir      Directory
	peers    connector.Peers
	minLease time.Duration
	log      *logger.Logger
	ms       *meters

	rowsMu    sync.Mutex // serializes writers of rows
	rows      atomic.Pointer[map[RowKey]*rowLimiter]
	due       *ringer.Ring[*rowLimiter]
	requestID atomic.Uint64
	nodeCount atomic.Int64

	keeper  *keeper
	started atomic.Bool
	tb      tomb.Tomb
}

const (
	// dueRingSize bounds the rows that wait for the loop; each is in the ring at most once.
	dueRingSize = 1 << 15
	// eventRingSize bounds the messages that wait for the keeper.
	eventRingSize = 1 << 13
)

// New returns a limiter that refuses every request until it has a table.
func New(opts ...Option) *Limiter {
	lm := &Limiter{due: ringer.New[*rowLimiter](dueRingSize)}
	lm.rows.Store(&map[RowKey]*rowLimiter{})
	lm.requestID.Store(rand.Uint64())
	for _, opt := range opts {
		opt(lm)
	}
	if lm.ms == nil {
		lm.ms = newMeters(nil)
	}
	lm.keeper = newKeeper(lm)
	return lm
}

// Start starts the goroutines that take, hold and transfer tokens.
func (lm *Limiter) Start() {
	lm.started.Store(true)
	lm.tb.Go(lm.run)
	lm.tb.Go(lm.keeper.run)
}

// Stop stops what Start started and waits for it. Waiting requests are refused with rate_unavailable.
// Tokens held by the node are lost; the leaders that granted them count them until their hold time has passed.
// Without Start it does nothing.
func (lm *Limiter) Stop() {
	if !lm.started.Load() {
		return
	}
	lm.tb.Kill(nil)
	_ = lm.tb.Wait()
	for _, rl := range *lm.rows.Load() {
		rl.refuseAll()
	}
}

// SetTable sets a new table, or the same one with a new Confirmed or AsOf. An older one is ignored.
// The shares follow shortly after; a row's own rate is read from the row passed to Spend.
func (lm *Limiter) SetTable(tb Table) { lm.keeper.setTable(tb) }

// row returns the node's state of a row; it is created if missing.
func (lm *Limiter) row(rk RowKey) *rowLimiter {
	if rl := (*lm.rows.Load())[rk]; rl != nil {
		return rl
	}
	lm.addRows([]RowKey{rk})
	return (*lm.rows.Load())[rk]
}

// addRows creates the state of rows that have none yet.
func (lm *Limiter) addRows(keys []RowKey) {
	lm.rowsMu.Lock()
	defer lm.rowsMu.Unlock()
	old := *lm.rows.Load()
	var next map[RowKey]*rowLimiter
	for _, rk := range keys {
		if old[rk] != nil {
			continue
		}
		if next == nil {
			next = maps.Clone(old)
		}
		next[rk] = newRowLimiter(lm, rk)
	}
	if next != nil {
		lm.rows.Store(&next)
	}
}

// removeRows drops idle rows that are no longer in the table.
func (lm *Limiter) removeRows(keep map[RowKey]Entry) {
	lm.rowsMu.Lock()
	defer lm.rowsMu.Unlock()
	next := maps.Clone(*lm.rows.Load())
	maps.DeleteFunc(next, func(rk RowKey, rl *rowLimiter) bool {
		_, kept := keep[rk]
		return !kept && rl.idle()
	})
	lm.rows.Store(&next)
}
