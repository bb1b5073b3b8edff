package forwarder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// attemptHistory holds the outcomes of the attempts of a request so far.
type attemptHistory struct {
	tried          []gypsumhoist.Instance
	lastRefusal    *gypsumhoist.Refusal
	failedReply    *reply // server error of an upstream, the answer if no further attempt gets one
	sent, rerouted int
	// retryable are the upstreams that refused the request though they had room, and may accept it on another attempt.
	retryable []gypsumhoist.Instance
	repeats   int // further attempts at the retryable upstreams
}

// exhausted reports whether the row's attempts allow no further upstream.
func (ah *attemptHistory) exhausted(cl *call) bool {
	return cl.row.Attempts > 0 && ah.sent-ah.repeats >= cl.row.Attempts
}

// noteRefusal notes an upstream that refused the request though it had room.
func (ah *attemptHistory) noteRefusal(up gypsumhoist.Instance, rf *gypsumhoist.Refusal) {
	if rf.Reason == gypsumhoist.ReasonUpstreamRefused && !slices.Contains(ah.retryable, up) {
		ah.retryable = append(ah.retryable, up)
	}
}

// Backoff before another attempt at an upstream that refused a request: doubling, as it may refuse for a while.
const (
	backoffShortest = 5 * time.Millisecond
	backoffLongest  = 40 * time.Millisecond
)

// backOff waits before another attempt at an upstream that was tried before; false if the request ends meanwhile.
func (ah *attemptHistory) backOff(ctx context.Context) bool {
	if ah.repeats == 0 {
		return true
	}
	timer := time.NewTimer(min(backoffShortest<<min(ah.repeats-1, 8), backoffLongest))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pick chooses the upstream of the next attempt: one that was not tried yet, or else a retryable one.
func (fw *Forwarder) pick(cl *call, ah *attemptHistory) (router.Pick, error) {
	if !ah.exhausted(cl) {
		pk, err := fw.router.PickFor(cl.service, fw.routingRequest(cl), ah.tried...)
		if err == nil {
			ah.tried = append(ah.tried, pk.Upstream.Instance)
			return pk, nil
		}
		if len(ah.retryable) == 0 {
			return pk, err
		}
	}
	ah.repeats++
	return fw.router.PickAmong(cl.service, ah.retryable...)
}

// result returns the answer or refusal of a request that gets no further attempt.
func (ah *attemptHistory) result(cl *call, rf *gypsumhoist.Refusal) (*reply, *gypsumhoist.Refusal) {
	if ah.failedReply != nil {
		cl.propagateOverload(ah.failedReply)
		return ah.failedReply, nil
	}
	return nil, cmp.Or(ah.lastRefusal, rf)
}
