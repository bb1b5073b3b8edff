package allocator

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator/allocatorpb"
	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// Timing of draws. A draw is a request for one token at the home of a centralized row.
const (
	drawTimeout = 100 * time.Millisecond
	// drawMaxAge is how old a draw may be when its answer is used; it is exceeded when the machine was suspended meanwhile.
	drawMaxAge = 500 * time.Millisecond
	// avoidSlowFor is how long a home that did not answer in time is not called; avoidFailedFor applies to other errors.
	avoidSlowFor = 300 * time.Millisecond
)

// spendAtHome admits or refuses a request of a centralized row. It leaves the request undecided when the row's home is not
// available; the domain's keeper decides then.
func (al *Allocator) spendAtHome(ctx context.Context, nb *nodeBucket, ky Key, home gypsumhoist.FailureDomain) (decided bool, err error) {
	now := al.now()
	if wait, empty := nb.homeEmpty(now); empty {
		return true, al.refuseAtHome(wait)
	}
	al.draws.Inc()
	dr := al.draw(ctx, ky, home)
	if dr.Outcome != DrawUnavailable && al.now()-now > drawMaxAge {
		dr = DrawResult{Outcome: DrawUnavailable}
	}
	switch dr.Outcome {
	case DrawTaken:
		al.taken.Inc()
		return true, nil
	case DrawEmpty:
		nb.setHomeEmpty(now, dr.RetryAfter)
		return true, al.refuseAtHome(dr.RetryAfter)
	default:
		al.drawsUnavailable.Inc()
		return false, nil
	}
}

// refuseAtHome refuses a request with jitter added to the delay, so that callers refused together do not retry together.
func (al *Allocator) refuseAtHome(wait time.Duration) error {
	al.refused.Inc()
	return gypsumhoist.NotRun(gypsumhoist.ReasonRate, wait+rand.N(wait/4+time.Millisecond),
		"the workspace has spent the row's rate and burst")
}

// draw requests a token from the home of a row.
func (al *Allocator) draw(ctx context.Context, ky Key, home gypsumhoist.FailureDomain) DrawResult {
	al.mu.Lock()
	candidates := al.keepers(home, maxKeeperCandidates)
	al.mu.Unlock()
	for _, mb := range candidates {
		dr, err := al.drawFrom(ctx, mb, ky)
		switch {
		case ctx.Err() != nil:
			return DrawResult{Outcome: DrawUnavailable}
		case errors.Is(err, context.DeadlineExceeded):
			al.avoidNodeFor(mb.Instance, err, avoidSlowFor)
		case err != nil:
			al.avoidNode(mb.Instance, err)
		case dr.Outcome != DrawUnavailable:
			return dr
		}
	}
	return DrawResult{Outcome: DrawUnavailable}
}

func (al *Allocator) drawFrom(ctx context.Context, mb Member, ky Key) (DrawResult, error) {
	if mb.Instance == al.self {
		return al.drawLocally(ky), nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	rq := &allocatorpb.DrawRequest{Workspace: string(ky.Workspace), Route: ky.Route}
	rs, err := al.clients.To(mb.Peer).Draw(ctx, connect.NewRequest(rq))
	if err != nil {
		// The client's error does not wrap the context's.
		return DrawResult{}, errors.Join(err, ctx.Err())
	}
	out := DrawResult{RetryAfter: time.Duration(rs.Msg.GetRetryAfterMs()) * time.Millisecond}
	switch rs.Msg.GetOutcome() {
	case allocatorpb.DrawOutcome_DRAW_OUTCOME_TAKEN:
		out.Outcome = DrawTaken
	case allocatorpb.DrawOutcome_DRAW_OUTCOME_EMPTY:
		out.Outcome = DrawEmpty
	default:
		out.Outcome = DrawUnavailable
	}
	return out, nil
}

// drawLocally draws from the home on this node.
func (al *Allocator) drawLocally(ky Key) DrawResult {
	al.mu.Lock()
	defer al.mu.Unlock()
	now := clocker.Now()
	return al.home.Draw(now, al.keeper.Share(now), ky)
}

// Draw handles a draw of a node of any domain.
func (sv service) Draw(
	_ context.Context, rq *connect.Request[allocatorpb.DrawRequest],
) (*connect.Response[allocatorpb.DrawAnswer], error) {
	dr := sv.al.drawLocally(Key{gypsumhoist.Workspace(rq.Msg.GetWorkspace()), rq.Msg.GetRoute()})
	out := &allocatorpb.DrawAnswer{RetryAfterMs: uint32(dr.RetryAfter.Milliseconds())}
	switch dr.Outcome {
	case DrawTaken:
		out.Outcome = allocatorpb.DrawOutcome_DRAW_OUTCOME_TAKEN
	case DrawEmpty:
		out.Outcome = allocatorpb.DrawOutcome_DRAW_OUTCOME_EMPTY
	default:
		out.Outcome = allocatorpb.DrawOutcome_DRAW_OUTCOME_AWAY
	}
	return connect.NewResponse(out), nil
}

// Lend handles a loan from the keeper of another domain.
func (sv service) Lend(
	_ context.Context, rq *connect.Request[allocatorpb.LendRequest],
) (*connect.Response[allocatorpb.LendAnswer], error) {
	al := sv.al
	al.mu.Lock()
	defer al.mu.Unlock()
	now := clocker.Now()
	lender := cmp.Or(rq.Msg.GetLender(), rq.Msg.GetFailureDomain())
	stamp := al.home.Borrow(now, al.keeper.Share(now), gypsumhoist.Instance(lender), shareOf(rq.Msg.Echo), rq.Msg.GetPart())
	return connect.NewResponse(&allocatorpb.LendAnswer{Stamp: uint64(stamp)}), nil
}

// lend renews the loans to the homes in other domains when they are due, if this node has a share to lend.
func (al *Allocator) lend() {
	now := time.Now()
	al.mu.Lock()
	defer al.mu.Unlock()
	if now.Before(al.nextLend) || al.keeper.Share(clocker.Now()) == 0 {
		return
	}
	al.nextLend = now.Add(lendInterval)
	for _, home := range al.homeDomains {
		if first := al.keepers(home, 1); home != al.domain && len(first) > 0 {
			al.tmb.Go(func() error {
				al.lendTo(first[0])
				return nil
			})
		}
	}
}

// lendTo renews the loan to one home. The first call to a home carries a share of 0; its answer permits the loan in a second call.
func (al *Allocator) lendTo(mb Member) {
	for range 2 {
		al.mu.Lock()
		now := clocker.Now()
		loan, ownShare := al.keeper.Lend(now, mb.Domain, mb.Instance), al.keeper.Share(now)
		al.mu.Unlock()
		echo := uint64(loan.Stamp)
		ctx, cancel := context.WithTimeout(al.tmb.Context(nil), homeTimeout)
		rq := &allocatorpb.LendRequest{FailureDomain: string(al.domain), Part: loan.Share, Echo: &echo, Lender: string(al.self)}
		rs, err := al.clients.To(mb.Peer).Lend(ctx, connect.NewRequest(rq))
		timedOut := ctx.Err() != nil
		cancel()
		if err != nil {
			if timedOut {
				al.avoidNodeFor(mb.Instance, err, avoidSlowFor)
			} else {
				al.avoidNode(mb.Instance, err)
			}
			al.noteLent(mb, false)
			return
		}
		al.mu.Lock()
		al.keeper.HomeAnswered(clocker.Now(), mb.Domain, mb.Instance, Stamp(rs.Msg.GetStamp()))
		al.mu.Unlock()
		al.noteLent(mb, loan.Share > 0)
		if loan.Share > 0 || ownShare == 0 {
			return
		}
	}
}

// noteLent logs when lending to a home begins or ends.
func (al *Allocator) noteLent(mb Member, on bool) {
	al.mu.Lock()
	changed := al.lending[mb.Domain] != on
	al.lending[mb.Domain] = on
	al.mu.Unlock()
	switch {
	case changed && on:
		al.log.Log(eventShareLent, "home", mb.Domain, "keeper", mb.Instance)
	case changed:
		al.log.Log(eventShareTakenBack, "home", mb.Domain, "keeper", mb.Instance)
	}
}

// minDomainBurst is the smallest share of a burst, in tokens, at which each failure domain keeps its own bucket of a row. Such a
// domain needs no switch in a partition, and random arrivals empty its bucket rarely enough for transfers to make up for it.
// Rows with a smaller share are centralized.
const minDomainBurst = 16

// assignHomes selects the rows to centralize and their homes. The caller holds the lock.
func (al *Allocator) assignHomes() {
	homes := map[Key]gypsumhoist.FailureDomain{}
	limits := map[Key]Limit{}
	domains := al.aliveDomains()
	for ky, lm := range al.limits {
		if len(domains) == 0 || lm.Burst >= minDomainBurst*float64(al.domainCount()) {
			continue
		}
		homes[ky] = homeOf(ky, domains)
		if homes[ky] == al.domain {
			limits[ky] = lm
		}
	}
	now := clocker.Now()
	al.homes.Store(&homes)
	al.homeDomains = domains
	al.keeper.SetHomes(now, homes)
	al.home.SetLimits(now, al.keeper.Share(now), limits)
}
