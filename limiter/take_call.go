package limiter

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter/limiterpb"
)

const (
	// takeTimeout bounds one attempt to reach a leader. Tokens that arrive later are soon expired.
	takeTimeout = maxPendingWait + 50*time.Millisecond
	// takeAttempts and takeRetryPause bound the wait for a new leader.
	takeAttempts   = 5
	takeRetryPause = 20 * time.Millisecond
	// failureBackoff is the time until a row sends another request after its leader didn't answer.
	failureBackoff = 20 * time.Millisecond
)

var (
	errNotLeader = errors.New("this instance does not lead the shard")
	errNoLeader  = errors.New("no leader of the shard is known")
	errFull      = errors.New("too many messages wait for the keeper of the shard")
)

// takeCall is one message to the leader of a shard.
type takeCall struct {
	lm      *Limiter
	shard   int
	entries []takeEntry
}

// run sends the message and passes the grants to the rows. It always returns nil, so that the tomb keeps running.
func (tc *takeCall) run() error {
	epoch, grants, err := tc.send()
	if err != nil {
		tc.lm.ms.callsFailed.Inc()
		tc.fail()
		return nil
	}
	byID := make(map[uint64]Grant, len(grants))
	for _, gr := range grants {
		byID[gr.ID] = gr
	}
	for _, te := range tc.entries {
		if te.hasRequest {
			te.row.granted(epoch, te.req, byID)
		}
	}
	return nil
}

// send sends to the leader that is known now; while there is none it retries.
func (tc *takeCall) send() (uint64, []Grant, error) {
	ctx := tc.lm.tb.Context(context.Background())
	var last error
	for attempt := range takeAttempts {
		if attempt > 0 && !sleep(ctx, takeRetryPause) {
			return 0, nil, last
		}
		epoch, grants, err := tc.attempt(ctx)
		if err == nil {
			return epoch, grants, nil
		}
		last = err
		if !errors.Is(err, errNoLeader) && !errors.Is(err, errNotLeader) {
			return 0, nil, err
		}
	}
	return 0, nil, last
}

func (tc *takeCall) attempt(ctx context.Context) (uint64, []Grant, error) {
	bounded, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	lm := tc.lm
	if lm.dir == nil {
		return 0, nil, errNoLeader
	}
	lm.ms.takes.Inc()
	if _, _, held := lm.dir.Lease(tc.shard); held {
		return lm.keeper.take(bounded, tc.shard, tc.requests(), tc.settlements())
	}
	addr, known := lm.dir.Leader(string(lm.domain), tc.shard)
	if !known || lm.peers == nil {
		return 0, nil, errNoLeader
	}
	client := limiterpb.NewLimiterClient(lm.peers, lm.peers.URL(addr))
	rp, err := client.Take(bounded, connect.NewRequest(tc.message()))
	if connect.CodeOf(err) == connect.CodeFailedPrecondition {
		return 0, nil, errNotLeader
	}
	if err != nil {
		return 0, nil, fmt.Errorf("the leader of shard %d didn't answer: %w", tc.shard, err)
	}
	var grants []Grant
	for _, gr := range rp.Msg.Grants {
		grants = append(grants, decodeGrant(gr, lm.node))
	}
	return rp.Msg.Epoch, grants, nil
}

func (tc *takeCall) requests() []TokenRequest {
	var requests []TokenRequest
	for _, te := range tc.entries {
		if te.hasRequest {
			requests = append(requests, te.req)
		}
	}
	return requests
}

func (tc *takeCall) settlements() []Settlement {
	var all []Settlement
	for _, te := range tc.entries {
		all = append(all, te.settlements...)
	}
	return all
}

func (tc *takeCall) message() *limiterpb.TakeRequest {
	msg := &limiterpb.TakeRequest{Shard: int32(tc.shard), Node: string(tc.lm.node)}
	for _, req := range tc.requests() {
		msg.Asks = append(msg.Asks, encodeRequest(req))
	}
	for _, st := range tc.settlements() {
		msg.Settlements = append(msg.Settlements, encodeSettlement(st))
	}
	return msg
}

// fail reports to the rows that no leader answered.
func (tc *takeCall) fail() {
	refused := 0
	for _, te := range tc.entries {
		refused += te.row.failed(te)
	}
	if refused > 0 {
		tc.lm.log.Log(eventLeaderUnreachable, "shard", tc.shard, "refused", refused)
	}
}

// granted passes the grant to the row's bucket; a missing one counts as empty.
func (rl *rowLimiter) granted(epoch uint64, req TokenRequest, byID map[uint64]Grant) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	gr, found := byID[req.ID]
	if !found {
		gr = Grant{Key: req.Key, Node: req.Node, ID: req.ID, Empty: true, RetryAfter: maxRetry}
	}
	rl.releaseAll(now, rl.bucket.Granted(now, epoch, gr), gypsumhoist.ReasonRate)
	rl.enqueueAgain(now)
}

// failed ends the row's request without an answer and returns how many calls were refused for it.
func (rl *rowLimiter) failed(te takeEntry) int {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	now := time.Now()
	if !te.hasRequest {
		return 0
	}
	releases := rl.bucket.Failed(now, te.req.ID, failureBackoff)
	rl.releaseAll(now, releases, gypsumhoist.ReasonRateUnavailable)
	rl.enqueueAgain(now)
	return len(releases)
}

// enqueueAgain queues the row for the loop again if requests wait or something is left to send. The caller holds the lock.
func (rl *rowLimiter) enqueueAgain(now time.Time) {
	if rl.queued || rl.bucket.Idle() {
		return
	}
	if rl.bucket.Waiting() > 0 || rl.bucket.HasWork(now) {
		rl.enqueue()
	}
}

// sleep waits for a time; it returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
