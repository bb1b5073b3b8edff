package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// waitingTick is the time between two checks while requests wait for emptyUntil to pass.
	waitingTick = 2 * time.Millisecond
	// idleTick is the time between two checks of rows that hold tokens.
	idleTick = 50 * time.Millisecond
)

// run requests tokens for the node's rows from the leaders of their shards and settles spent ones.
func (lm *Limiter) run() error {
	watched := map[*rowLimiter]struct{}{}
	wt := newWakeTimer(idleTick)
	defer wt.timer.Stop()
	for {
		select {
		case <-lm.tb.Dying():
			return nil
		case <-lm.due.Ready():
		case <-wt.timer.C:
			wt.fired()
			lm.checkWatched(watched)
			wt.fireWithin(lm.nextTick(watched))
		}
		if lm.drain(watched) {
			wt.fireWithin(waitingTick)
		}
	}
}

// drain sends for the rows that are due and reports whether one of them still has requests that wait.
func (lm *Limiter) drain(watched map[*rowLimiter]struct{}) bool {
	var batch []*rowLimiter
	for {
		rl, ok := lm.due.Pop()
		if !ok {
			break
		}
		batch = append(batch, rl)
		watched[rl] = struct{}{}
	}
	return lm.send(batch)
}

// checkWatched expires tokens and waiting requests of the watched rows, sends what is due, and stops watching idle rows.
func (lm *Limiter) checkWatched(watched map[*rowLimiter]struct{}) {
	var batch []*rowLimiter
	now := time.Now()
	for rl := range watched {
		rl.mu.Lock()
		rl.bucket.Tick(now)
		rl.releaseAll(now, rl.bucket.Expire(now), gypsumhoist.ReasonRate)
		if rl.bucket.Idle() {
			delete(watched, rl)
		}
		hasWork := rl.bucket.HasWork(now)
		rl.mu.Unlock()
		if hasWork {
			batch = append(batch, rl)
		}
	}
	lm.send(batch)
}

func (lm *Limiter) nextTick(watched map[*rowLimiter]struct{}) time.Duration {
	for rl := range watched {
		rl.mu.Lock()
		waiting := rl.bucket.Waiting()
		rl.mu.Unlock()
		if waiting > 0 {
			return waitingTick
		}
	}
	return idleTick
}

// send sends for a batch of rows: one message for each row with requests that wait,
// and one per shard for all the others. It reports whether a row has waiting requests for which nothing was sent.
func (lm *Limiter) send(batch []*rowLimiter) bool {
	shared := map[int]*takeCall{}
	waiting := false
	for _, rl := range batch {
		te, waits := rl.takeEntry(lm.requestID.Add(1))
		waiting = waiting || (waits && !te.hasRequest)
		switch {
		case te.hasRequest && te.req.Waiting > 0:
			lm.launch(&takeCall{lm: lm, shard: rl.shard, entries: []takeEntry{te}})
		case te.hasRequest || len(te.settlements) > 0:
			tc := shared[rl.shard]
			if tc == nil {
				tc = &takeCall{lm: lm, shard: rl.shard}
				shared[rl.shard] = tc
			}
			tc.entries = append(tc.entries, te)
		}
	}
	for _, tc := range shared {
		lm.launch(tc)
	}
	return waiting
}

func (lm *Limiter) launch(tc *takeCall) { lm.tb.Go(tc.run) }

// takeEntry is one row's part of a message to a leader.
type takeEntry struct {
	row         *rowLimiter
	req         TokenRequest
	hasRequest  bool
	settlements []Settlement
}

// takeEntry returns what is to be sent for a row, and reports whether requests wait.
func (rl *rowLimiter) takeEntry(id uint64) (takeEntry, bool) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.queued = false
	now := time.Now()
	te := takeEntry{row: rl, settlements: rl.bucket.Settlements(now)}
	te.req, te.hasRequest = rl.bucket.NextRequest(now, id)
	return te, rl.bucket.Waiting() > 0
}
