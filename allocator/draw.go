package allocator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator/allocatorpb"
	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// Times of a question for the token of one request.
const (
	drawTime = 100 * time.Millisecond
	// drawLife is how old the answer may be when it is used; a suspended machine may find one that is older.
	drawLife = 500 * time.Millisecond
	// avoidSlow is how long a home that did not answer in time is left out; avoidFor is for one that fails.
	avoidSlow = 300 * time.Millisecond
)

// spendWhole takes in a request of a row that is kept whole. It decides nothing where the row's home can't be asked: then
// the domain's keeper does.
func (al *Allocator) spendWhole(ctx context.Context, ps *purse, ky Key, home gypsumhoist.FailureDomain) (decided bool, err error) {
	now := al.now()
	if wait, empty := ps.emptyFor(now); empty {
		return true, al.refuseWhole(wait)
	}
	al.draws.Inc()
	dr := al.draw(ctx, ky, home)
	if dr.Outcome != DrawAway && al.now()-now > drawLife {
		dr = Drawn{Outcome: DrawAway}
	}
	switch dr.Outcome {
	case DrawTaken:
		al.taken.Inc()
		return true, nil
	case DrawEmpty:
		ps.setEmpty(now, dr.RetryAfter)
		return true, al.refuseWhole(dr.RetryAfter)
	default:
		al.drawsAway.Inc()
		return false, nil
	}
}

// refuseWhole spreads callers a little, so that those refused together don't come back together.
func (al *Allocator) refuseWhole(wait time.Duration) error {
	al.refused.Inc()
	return gypsumhoist.NotRun(gypsumhoist.ReasonRate, wait+rand.N(wait/4+time.Millisecond),
		"the workspace has spent the row's rate and burst")
}

// draw asks the home of a row for a token.
func (al *Allocator) draw(ctx context.Context, ky Key, home gypsumhoist.FailureDomain) Drawn {
	al.mu.Lock()
	candidates := al.keepers(home, candidatesMost)
	al.mu.Unlock()
	for _, mb := range candidates {
		dr, err := al.drawFrom(ctx, mb, ky)
		switch {
		case ctx.Err() != nil:
			return Drawn{Outcome: DrawAway}
		case errors.Is(err, context.DeadlineExceeded):
			al.shunFor(mb.Instance, err, avoidSlow)
		case err != nil:
			al.shun(mb.Instance, err)
		case dr.Outcome != DrawAway:
			return dr
		}
	}
	return Drawn{Outcome: DrawAway}
}

func (al *Allocator) drawFrom(ctx context.Context, mb Member, ky Key) (Drawn, error) {
	if mb.Instance == al.self {
		return al.drawHere(ky), nil
	}
	ctx, cancel := context.WithTimeout(ctx, drawTime)
	defer cancel()
	rq := &allocatorpb.DrawRequest{Workspace: string(ky.Workspace), Route: ky.Route}
	rs, err := al.clients.To(mb.Peer).Draw(ctx, connect.NewRequest(rq))
	if err != nil {
		// The client's error hides the context's.
		return Drawn{}, errors.Join(err, ctx.Err())
	}
	out := Drawn{RetryAfter: time.Duration(rs.Msg.GetRetryAfterMs()) * time.Millisecond}
	switch rs.Msg.GetOutcome() {
	case allocatorpb.DrawOutcome_DRAW_OUTCOME_TAKEN:
		out.Outcome = DrawTaken
	case allocatorpb.DrawOutcome_DRAW_OUTCOME_EMPTY:
		out.Outcome = DrawEmpty
	default:
		out.Outcome = DrawAway
	}
	return out, nil
}

// drawHere draws at this node's own home.
func (al *Allocator) drawHere(ky Key) Drawn {
	al.mu.Lock()
	defer al.mu.Unlock()
	now := clocker.Now()
	return al.home.Draw(now, al.keeper.Part(now), ky)
}

// Draw answers a node of any domain.
func (sv service) Draw(
	_ context.Context, rq *connect.Request[allocatorpb.DrawRequest],
) (*connect.Response[allocatorpb.DrawAnswer], error) {
	dr := sv.al.drawHere(Key{gypsumhoist.Workspace(rq.Msg.GetWorkspace()), rq.Msg.GetRoute()})
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

// Lend answers the keeper of another domain.
func (sv service) Lend(
	_ context.Context, rq *connect.Request[allocatorpb.LendRequest],
) (*connect.Response[allocatorpb.LendAnswer], error) {
	al := sv.al
	al.mu.Lock()
	defer al.mu.Unlock()
	now := clocker.Now()
	al.home.Borrow(now, al.keeper.Part(now), gypsumhoist.FailureDomain(rq.Msg.GetFailureDomain()), rq.Msg.GetPart())
	return connect.NewResponse(&allocatorpb.LendAnswer{}), nil
}

// lend tells the homes of other domains what this domain leaves to them, if this node is its keeper and it is time.
func (al *Allocator) lend() {
	now := time.Now()
	al.mu.Lock()
	defer al.mu.Unlock()
	if now.Before(al.lendAt) || !al.keeping() {
		return
	}
	al.lendAt = now.Add(lendEvery)
	for _, home := range al.homeDomains {
		if first := al.keepers(home, 1); home != al.domain && len(first) > 0 {
			al.tmb.Go(func() error {
				al.lendTo(first[0])
				return nil
			})
		}
	}
}

// lendTo lends to one home, which gets nothing before it has answered once.
func (al *Allocator) lendTo(mb Member) {
	for range 2 {
		al.mu.Lock()
		now := clocker.Now()
		part, own := al.keeper.Lend(now, mb.Domain), al.keeper.Part(now)
		al.mu.Unlock()
		ctx, cancel := context.WithTimeout(al.tmb.Context(nil), lendDoubt)
		rq := &allocatorpb.LendRequest{FailureDomain: string(al.domain), Part: part}
		_, err := al.clients.To(mb.Peer).Lend(ctx, connect.NewRequest(rq))
		cancel()
		if err != nil {
			al.shun(mb.Instance, err)
			al.noteLent(mb, false)
			return
		}
		al.mu.Lock()
		al.keeper.Lent(now, mb.Domain)
		al.mu.Unlock()
		al.noteLent(mb, part > 0)
		if part > 0 || own == 0 {
			return
		}
	}
}

// noteLent logs when the domain begins or ends to leave its part to a home.
func (al *Allocator) noteLent(mb Member, on bool) {
	al.mu.Lock()
	changed := al.lends[mb.Domain] != on
	al.lends[mb.Domain] = on
	al.mu.Unlock()
	switch {
	case changed && on:
		al.log.Log(eventPartLent, "home", mb.Domain, "keeper", mb.Instance)
	case changed:
		al.log.Log(eventPartTaken, "home", mb.Domain, "keeper", mb.Instance)
	}
}

// wholeTokens is the least part of a burst, in tokens, with which a failure domain keeps a row by itself: it goes on at once in a
// cut, while chance empties its bucket seldom enough for others to help out. Rows with less are kept whole.
const wholeTokens = 16

// layOut chooses the rows that are kept whole and their homes. The lock is held.
func (al *Allocator) layOut() {
	homes := map[Key]gypsumhoist.FailureDomain{}
	mine := map[Key]Limit{}
	domains := al.alive()
	for ky, lm := range al.limits {
		if len(domains) == 0 || lm.Burst >= wholeTokens*float64(al.domainCount()) {
			continue
		}
		homes[ky] = homeOf(ky, domains)
		if homes[ky] == al.domain {
			mine[ky] = lm
		}
	}
	now := clocker.Now()
	al.homes.Store(&homes)
	al.homeDomains = domains
	al.keeper.SetHomes(homes)
	al.home.SetLimits(now, al.keeper.Part(now), mine)
}
