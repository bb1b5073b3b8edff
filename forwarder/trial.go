package forwarder

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// trial is what became of the attempts of a request so far.
type trial struct {
	tried          []gypsumhoist.Instance
	last           *gypsumhoist.Refusal
	failed         *reply // an upstream's own answer that tells of a failure
	sent, rerouted int
	// willing are upstreams that refused the request though they had room, and may take it another time.
	willing []gypsumhoist.Instance
	again   int // attempts at these
}

// spent reports whether the row allows no further upstream to be tried.
func (tr *trial) spent(cl *call) bool {
	return cl.row.Attempts > 0 && tr.sent-tr.again >= cl.row.Attempts
}

// note takes a refusal of an upstream.
func (tr *trial) note(up gypsumhoist.Instance, rf *gypsumhoist.Refusal) {
	if rf.Reason == gypsumhoist.ReasonUpstreamRefused && !slices.Contains(tr.willing, up) {
		tr.willing = append(tr.willing, up)
	}
}

// Times before an upstream that refused a request is asked again: doubling, as it may refuse for a while.
const (
	restLeast = 5 * time.Millisecond
	restMost  = 40 * time.Millisecond
)

// rest waits before another attempt at an upstream that was tried before; false when the request ends meanwhile.
func (tr *trial) rest(ctx context.Context) bool {
	if tr.again == 0 {
		return true
	}
	over := time.NewTimer(min(restLeast<<min(tr.again-1, 8), restMost))
	defer over.Stop()
	select {
	case <-over.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// pick chooses the upstream of the next attempt: one that was not tried, or else one that refused and may take it another time.
func (fw *Forwarder) pick(cl *call, tr *trial) (router.Pick, error) {
	if !tr.spent(cl) {
		pk, err := fw.router.Pick(cl.service, cl.idempotent, tr.tried...)
		if err == nil {
			tr.tried = append(tr.tried, pk.Upstream.Instance)
			return pk, nil
		}
		if len(tr.willing) == 0 {
			return pk, err
		}
	}
	tr.again++
	return fw.router.PickOf(cl.service, tr.willing...)
}

// end returns the answer or refusal of a request that is tried no more.
func (tr *trial) end(cl *call, rf *gypsumhoist.Refusal) (*reply, *gypsumhoist.Refusal) {
	if tr.failed != nil {
		cl.passOn(tr.failed)
		return tr.failed, nil
	}
	return nil, cmp.Or(tr.last, rf)
}
