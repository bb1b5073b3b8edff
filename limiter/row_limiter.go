package limiter

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// rowLimiter is the node's bucket of one row and the calls of Spend that wait for its tokens.
// A call that finds a token takes it under the lock, without another goroutine.
type rowLimiter struct {
	lm    *Limiter
	key   RowKey
	shard int

	mu      sync.Mutex
	bucket  *NodeBucket
	queued  bool // in the loop's ring
	pending map[uint64]*pendingSpend
	nextID  uint64
	retry   retrySchedule
}

// pendingSpend is a call of Spend that waits for a token.
type pendingSpend struct {
	done chan *gypsumhoist.Refusal // receives nil for a token
}

func newRowLimiter(lm *Limiter, rk RowKey) *rowLimiter {
	rl := &rowLimiter{lm: lm, key: rk, bucket: NewNodeBucket(lm.node, rk), pending: map[uint64]*pendingSpend{}}
	if lm.dir != nil {
		rl.shard = lm.dir.ShardOf(rk.ShardKey())
	}
	return rl
}

// Spend takes one token for a request of a row. It returns nil, or a *gypsumhoist.Refusal:
// ReasonRate with the time after which the row's rate allows another request,
// ReasonRateUnavailable if no leader of the row's shard can be reached, and
// ReasonDeadline or ReasonCanceled if the context ends first.
// While the node holds tokens of the row it returns at once and doesn't allocate.
// Otherwise it waits for a few milliseconds; more important requests are served first.
// A nil row is refused with ReasonInternal.
func (lm *Limiter) Spend(ctx context.Context, rw *registrar.Row, imp gypsumhoist.Importance) error {
	if rw == nil {
		return gypsumhoist.NotRun(gypsumhoist.ReasonInternal, 0, "no row was given to the limiter")
	}
	if rw.Rate <= 0 || rw.Burst <= 0 {
		lm.ms.refusedRate.Inc()
		return gypsumhoist.NotRun(gypsumhoist.ReasonRate, 0, "the row allows no request")
	}
	rl := lm.row(KeyOf(rw))
	now := time.Now()
	rl.mu.Lock()
	if rl.bucket.Spend(now) {
		rl.enqueueIfDue(now)
		rl.mu.Unlock()
		lm.ms.spentFast.Inc()
		return nil
	}
	return rl.wait(ctx, rw, imp, now)
}

// enqueueIfDue queues the row for the loop if there is something to send. The caller holds the lock.
func (rl *rowLimiter) enqueueIfDue(now time.Time) {
	if rl.queued || !rl.bucket.HasWork(now) {
		return
	}
	rl.enqueue()
}

func (rl *rowLimiter) enqueue() {
	rl.queued = rl.lm.due.Push(rl)
}

// wait waits for a token. The caller holds the lock; wait releases it.
func (rl *rowLimiter) wait(ctx context.Context, rw *registrar.Row, imp gypsumhoist.Importance, now time.Time) error {
	sp := &pendingSpend{done: make(chan *gypsumhoist.Refusal, 1)}
	rl.nextID++
	id := rl.nextID
	rl.pending[id] = sp
	rl.retry.rate = Amount(rw.Rate) * amountPerRate
	rl.releaseAll(now, rl.bucket.Wait(now, id, imp, waitLimit(rw)), gypsumhoist.ReasonRate)
	if !rl.queued {
		rl.enqueue()
	}
	rl.mu.Unlock()
	select {
	case rf := <-sp.done:
		return rl.outcome(rf, now)
	case <-ctx.Done():
		return rl.cancel(ctx, id, sp, now)
	}
}

// waitLimit is how many requests may wait while no tokens are available: one more than the row's rate adds in pendingWait.
func waitLimit(rw *registrar.Row) int {
	rate := Amount(rw.Rate) * amountPerRate
	limit, _ := accrued(rate, pendingWait(rate), 0, Whole(maxWaiters))
	return int(limit.Tokens()) + 1
}

func (rl *rowLimiter) outcome(rf *gypsumhoist.Refusal, since time.Time) error {
	ms := rl.lm.ms
	ms.waited.Update(time.Since(since).Seconds())
	switch {
	case rf == nil:
		ms.spentWaited.Inc()
		return nil
	case rf.Reason == gypsumhoist.ReasonRate:
		ms.refusedRate.Inc()
	default:
		ms.refusedUnavail.Inc()
	}
	return rf
}

// cancel stops waiting after the context has ended.
func (rl *rowLimiter) cancel(ctx context.Context, id uint64, sp *pendingSpend, since time.Time) error {
	rl.mu.Lock()
	waited := rl.bucket.Cancel(id)
	delete(rl.pending, id)
	rl.mu.Unlock()
	if !waited {
		return rl.outcome(<-sp.done, since)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return gypsumhoist.NotRun(gypsumhoist.ReasonDeadline, 0, "the deadline passed while the request waited for its rate")
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "the caller went away while the request waited for its rate")
}

// releaseAll answers waiting calls; those without a token are refused with a reason. The caller holds the lock.
func (rl *rowLimiter) releaseAll(now time.Time, releases []Release, rs gypsumhoist.Reason) {
	for _, rel := range releases {
		sp := rl.pending[rel.ID]
		delete(rl.pending, rel.ID)
		if sp == nil {
			continue
		}
		if rel.Granted {
			sp.done <- nil
			continue
		}
		if rel.Unready {
			rs = gypsumhoist.ReasonRateUnavailable
		}
		sp.done <- rl.refusal(now, rs)
	}
}

func (rl *rowLimiter) refusal(now time.Time, rs gypsumhoist.Reason) *gypsumhoist.Refusal {
	if rs == gypsumhoist.ReasonRate {
		return gypsumhoist.NotRun(rs, rl.retry.next(now), "the workspace has spent the row's rate and burst")
	}
	return gypsumhoist.NotRun(rs, unavailableRetry, "the keeper of the row's rate can't be reached")
}

// unavailableRetry is the Retry-After of requests that are refused because no leader was reached.
const unavailableRetry = time.Second

// refuseAll refuses all waiting calls.
func (rl *rowLimiter) refuseAll() {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	rl.releaseAll(now, rl.bucket.refuseBeyond(0), gypsumhoist.ReasonRateUnavailable)
}

// idle reports whether the row has no tokens and no waiting calls.
func (rl *rowLimiter) idle() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.bucket.Idle()
}

// retrySchedule spreads the retries of refused callers: each is told the time of another token that the rate will add.
type retrySchedule struct {
	rate Amount
	at   time.Time
}

// maxRetryAfter bounds the time that a refused caller is told.
const maxRetryAfter = 10 * time.Second

func (rs *retrySchedule) next(now time.Time) time.Duration {
	if rs.at.Before(now) {
		rs.at = now
	}
	rs.at = rs.at.Add(min(timeToAccrue(One, rs.rate), maxRetryAfter))
	if latest := now.Add(maxRetryAfter); rs.at.After(latest) {
		rs.at = latest
	}
	return rs.at.Sub(now)
}
