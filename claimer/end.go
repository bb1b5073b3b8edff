package claimer

import (
	"context"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// maxPendingEnds bounds the ends of claims that wait to be stored.
	maxPendingEnds = 1024
	// endRetryFor is how long storing an end is retried.
	endRetryFor = time.Minute
	// endRetryInterval is the time between two rounds of retries.
	endRetryInterval = 250 * time.Millisecond
)

// pendingEnd is a command, not stored yet, that ends a claim at one home. It is abandoned at its deadline.
type pendingEnd struct {
	home     gypsumhoist.FailureDomain
	key      Key
	cmd      []byte
	deadline time.Time
}

// endClaim proposes a command that ends a claim to all homes of the claim. Proposals that fail are retried in the
// background, and the first error is returned.
func (cl *Claimer) endClaim(ctx context.Context, gr Granted, cmd []byte) error {
	var first error
	for _, home := range gr.Homes {
		raw, err := cl.propose(ctx, home, gr.Key, cmd)
		if err == nil {
			_, err = DecodeEndReply(raw)
		}
		if err == nil {
			continue
		}
		cl.enqueue(&pendingEnd{home: home, key: gr.Key, cmd: cmd, deadline: time.Now().Add(endRetryFor)})
		if first == nil {
			first = err
		}
	}
	return first
}

// releaseAsync releases a claim in the background.
func (cl *Claimer) releaseAsync(gr Granted) {
	for _, home := range gr.Homes {
		cmd := ReleaseCommand(gr.Token)
		cl.enqueue(&pendingEnd{home: home, key: gr.Key, cmd: cmd, deadline: time.Now().Add(endRetryFor)})
	}
}

func (cl *Claimer) enqueue(en *pendingEnd) {
	if cl.pendingEnds.PushEvict(en) {
		cl.counters.abandoned.Inc()
		cl.log.Log(eventEndsOverflow, "domain", en.home)
	}
}

// run stores pending ends until the claimer stops.
func (cl *Claimer) run() error {
	ctx := cl.tomb.Context(context.Background())
	for {
		select {
		case <-cl.tomb.Dying():
			cl.finalRound()
			return nil
		case <-cl.pendingEnds.Ready():
		}
		for cl.retryRound(ctx) {
			if !cl.waitRound() {
				break
			}
		}
	}
}

// finalRound tries each pending end once more before the claimer stops.
func (cl *Claimer) finalRound() {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	cl.retryRound(ctx)
}

// retryRound tries each pending end once and reports whether any are left.
// A home that has failed is not tried again in the same round.
func (cl *Claimer) retryRound(ctx context.Context) bool {
	failed := map[gypsumhoist.FailureDomain]bool{}
	var left []*pendingEnd
	for range cl.pendingEnds.Len() {
		en, ok := cl.pendingEnds.Pop()
		if !ok {
			break
		}
		if !failed[en.home] && cl.retry(ctx, en) {
			continue
		}
		failed[en.home] = true
		if time.Now().Before(en.deadline) {
			left = append(left, en)
			continue
		}
		cl.counters.abandoned.Inc()
		cl.log.Log(eventEndAbandoned, "domain", en.home)
	}
	for _, en := range left {
		cl.enqueue(en)
	}
	return len(left) > 0
}

func (cl *Claimer) retry(ctx context.Context, en *pendingEnd) bool {
	cl.counters.retried.Inc()
	raw, err := cl.propose(ctx, en.home, en.key, en.cmd)
	if err != nil {
		return false
	}
	_, err = DecodeEndReply(raw)
	return err == nil
}

// waitRound waits for endRetryInterval. It returns false when the claimer stops.
func (cl *Claimer) waitRound() bool {
	timer := time.NewTimer(endRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cl.tomb.Dying():
		return false
	}
}
