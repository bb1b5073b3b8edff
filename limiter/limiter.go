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

// Limiter spends tokens for the requests that come in at this node,
// and keeps the tokens of the shards that this process leads.
// It is safe for concurrent use. Call New, SetTable, then Start.
type Limiter struct {
	node     gypsumhoist.Instance
	domain   gypsumhoist.FailureDomain
	dir      Directory
	peers    connector.Peers
	minLease time.Duration
	log      *logger.Logger
	ms       *meters

	deskMu sync.Mutex // orders writers of desks
	desks  atomic.Pointer[map[RowKey]*desk]
	due    *ringer.Ring[*desk]
	askID  atomic.Uint64
	nodes  atomic.Int64

	keeper  *keeper
	started atomic.Bool
	tb      tomb.Tomb
}

const (
	// dueSize bounds the rows that wait to be seen to; each is in the ring at most once.
	dueSize = 1 << 15
	// eventSize bounds the messages that wait for the keeper.
	eventSize = 1 << 13
)

// New returns a limiter that refuses every request until it has a table.
func New(opts ...Option) *Limiter {
	lm := &Limiter{due: ringer.New[*desk](dueSize)}
	lm.desks.Store(&map[RowKey]*desk{})
	lm.askID.Store(rand.Uint64())
	for _, opt := range opts {
		opt(lm)
	}
	if lm.ms == nil {
		lm.ms = newMeters(nil)
	}
	lm.keeper = newKeeper(lm)
	return lm
}

// Start begins to take, keep and transfer tokens.
func (lm *Limiter) Start() {
	lm.started.Store(true)
	lm.tb.Go(lm.run)
	lm.tb.Go(lm.keeper.run)
}

// Stop ends what Start began and waits for it. Requests that wait get rate_unavailable.
// Tokens in hand are lost; their leaders count them until their life has passed.
// Without Start it does nothing.
func (lm *Limiter) Stop() {
	if !lm.started.Load() {
		return
	}
	lm.tb.Kill(nil)
	_ = lm.tb.Wait()
	for _, dk := range *lm.desks.Load() {
		dk.refuseAll()
	}
}

// SetTable takes a new table, or the last one with a new Confirmed or AsOf. An older one is ignored.
// The shares follow soon after; the rows' own rates are read from the row given to Spend.
func (lm *Limiter) SetTable(tb Table) { lm.keeper.setTable(tb) }

// desk returns what the node keeps of a row, a new one if need be.
func (lm *Limiter) desk(rk RowKey) *desk {
	if dk := (*lm.desks.Load())[rk]; dk != nil {
		return dk
	}
	lm.addDesks([]RowKey{rk})
	return (*lm.desks.Load())[rk]
}

// addDesks makes room for rows that have none yet.
func (lm *Limiter) addDesks(keys []RowKey) {
	lm.deskMu.Lock()
	defer lm.deskMu.Unlock()
	old := *lm.desks.Load()
	var fresh map[RowKey]*desk
	for _, rk := range keys {
		if old[rk] != nil {
			continue
		}
		if fresh == nil {
			fresh = maps.Clone(old)
		}
		fresh[rk] = newDesk(lm, rk)
	}
	if fresh != nil {
		lm.desks.Store(&fresh)
	}
}

// dropDesks forgets rows that the table no longer has.
func (lm *Limiter) dropDesks(keep map[RowKey]Entry) {
	lm.deskMu.Lock()
	defer lm.deskMu.Unlock()
	fresh := maps.Clone(*lm.desks.Load())
	maps.DeleteFunc(fresh, func(rk RowKey, dk *desk) bool {
		_, kept := keep[rk]
		return !kept && dk.idle()
	})
	lm.desks.Store(&fresh)
}
