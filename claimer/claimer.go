package claimer

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	// claimAttempts is how often a claim is sent while its outcome is unknown.
	claimAttempts = 3
	// proposeTimeout bounds one proposal.
	proposeTimeout = time.Second
	// finishGrace is added to a claim's run time to allow for the delivery of its end.
	finishGrace = 5 * time.Second
	// unavailableRetryAfter is how long a caller should wait after the key's home could not be reached.
	unavailableRetryAfter = time.Second
)

var errNoGroup = errors.New("claimer has no group to propose to")

// Claimer claims keys for an entry node.
// It is safe for concurrent use. Call New, then Start.
type Claimer struct {
	group    Group
	log      *logger.Logger
	counters *counters

	placement   atomic.Pointer[placement]
	pendingEnds *ringer.Ring[*pendingEnd]
	started     atomic.Bool
	tomb        tomb.Tomb
}

// New returns a claimer that refuses every claim until SetDomains.
func New(opts ...Option) *Claimer {
	cl := &Claimer{pendingEnds: ringer.New[*pendingEnd](maxPendingEnds)}
	cl.placement.Store(&placement{})
	for _, opt := range opts {
		opt(cl)
	}
	if cl.counters == nil {
		cl.counters = newCounters(nil)
	}
	return cl
}

// Start starts storing, in the background, the ends of claims that could not be stored at once.
func (cl *Claimer) Start() {
	cl.started.Store(true)
	cl.tomb.Go(cl.run)
}

// Stop stops the background work and waits for it. Pending ends are tried once more, for at most 1 s.
// Where that fails, the claim's outcome becomes may_have_run. Without Start it does nothing.
func (cl *Claimer) Stop() {
	if !cl.started.Load() {
		return
	}
	cl.tomb.Kill(nil)
	_ = cl.tomb.Wait()
}

// SetDomains sets the failure domains among which homes are chosen: those in the table, reachable or not.
// For Settings.Retention after a change, previous holds the domains before the change, and keys are
// claimed at their homes in both sets. Otherwise previous is nil.
func (cl *Claimer) SetDomains(current, previous []gypsumhoist.FailureDomain) {
	cl.placement.Store(&placement{current: current, previous: previous})
}

// Claim requests the right to run a request once. It waits for a majority of the key's home shard.
// The caller must end a Granted with Finish, Ran, Release or MayHaveRun.
// If the home doesn't reply, the outcome is a Refused with not_run, because the caller never runs the request.
func (cl *Claimer) Claim(ctx context.Context, rq Request) Outcome {
	oc := cl.claim(ctx, rq)
	cl.counters.count(oc)
	return oc
}

func (cl *Claimer) claim(ctx context.Context, rq Request) Outcome {
	if _, err := ParseKey(rq.Key.Workspace, rq.Key.Text); err != nil {
		return Refused{gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, err.Error())}
	}
	homes := cl.placement.Load().homes(rq.Key)
	if len(homes) == 0 || cl.group == nil {
		return unavailable("the home of the idempotency key is not known yet")
	}
	rq.RunFor += finishGrace
	gr := Granted{Key: rq.Key, Token: NewToken()}
	for _, home := range homes {
		oc := cl.claimAt(ctx, home, rq, gr.Token)
		if _, ok := oc.(Granted); !ok {
			cl.releaseAsync(gr)
			return oc
		}
		gr.Homes = append(gr.Homes, home)
	}
	return gr
}

// claimAt claims a key at one home. A proposal with an unknown outcome is sent again with the same token.
func (cl *Claimer) claimAt(ctx context.Context, home gypsumhoist.FailureDomain, rq Request, tk Token) Outcome {
	cmd := ClaimCommand(rq, tk)
	unknown := false
	for range claimAttempts {
		raw, err := cl.propose(ctx, home, rq.Key, cmd)
		if err == nil {
			oc, err := DecodeClaimReply(raw, rq.Key, tk)
			if err == nil {
				return oc
			}
		}
		if err != nil && NotAccepted(err) {
			break
		}
		unknown = true
		cl.counters.unknown.Inc()
		if ctx.Err() != nil {
			break
		}
	}
	if unknown {
		cl.releaseAsync(Granted{Key: rq.Key, Token: tk, Homes: []gypsumhoist.FailureDomain{home}})
	}
	return unavailable(fmt.Sprintf("failure domain %s, the home of the idempotency key, can't be reached", home))
}

func unavailable(detail string) Outcome {
	return Refused{gypsumhoist.NotRun(gypsumhoist.ReasonClaimUnavailable, unavailableRetryAfter, detail)}
}

func (cl *Claimer) propose(ctx context.Context, home gypsumhoist.FailureDomain, ky Key, cmd []byte) ([]byte, error) {
	if cl.group == nil {
		return nil, errNoGroup
	}
	bounded, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return cl.group.Propose(bounded, home, cl.group.ShardOf(ky.shardKey()), cmd)
}

// shardKey is the key by which the group chooses the shard of a claim.
func (ky Key) shardKey() string { return string(ky.Workspace) + "\x00" + ky.Text }

// Finish stores the answer of a request that ran. An answer larger than MaxAnswerSize is not kept:
// resends then learn only that the request ran. If the answer can't be stored at once, Finish returns an
// error and storing it is retried in the background for a bounded time; the caller need not do anything.
func (cl *Claimer) Finish(ctx context.Context, gr Granted, an Answer) error {
	return cl.endClaim(ctx, gr, FinishCommand(gr.Token, an))
}

// Ran records that a request ran, without keeping its answer. Otherwise it is like Finish.
func (cl *Claimer) Ran(ctx context.Context, gr Granted) error {
	return cl.endClaim(ctx, gr, RanCommand(gr.Token))
}

// Release releases a claim. The caller guarantees that no upstream has received or ever will receive the request.
func (cl *Claimer) Release(ctx context.Context, gr Granted) error {
	return cl.endClaim(ctx, gr, ReleaseCommand(gr.Token))
}

// MayHaveRun records that it is unknown whether the request ran; resends get 409 may_have_run.
func (cl *Claimer) MayHaveRun(ctx context.Context, gr Granted) error {
	return cl.endClaim(ctx, gr, MayHaveRunCommand(gr.Token))
}
