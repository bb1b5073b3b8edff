package registrar

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// refreshStep is by how much an answerer's table must be younger than the asker's to be worth an answer.
	refreshStep = 750 * time.Millisecond
	// holdLongest bounds how long a pull waits for news.
	holdLongest = time.Second
	// heldMax bounds the pulls that wait at one instance; further ones are answered at once.
	heldMax = 512
	// deltaCacheMax bounds the deltas that are kept for pullers at the same revision.
	deltaCacheMax = 32
)

// spreadServer answers other instances.
type spreadServer struct{ sp *Spreader }

// Pull answers when there is news for the asker or when its hold is over.
func (sv spreadServer) Pull(
	ctx context.Context, rq *connect.Request[registrarpb.PullRequest],
) (*connect.Response[registrarpb.PullAnswer], error) {
	began := clocker.Now()
	hold := min(time.Duration(rq.Msg.GetHoldMs())*time.Millisecond, holdLongest)
	if hold > 0 && sv.sp.enterHold() {
		sv.sp.waitForNews(ctx, rq.Msg, began, hold)
		sv.sp.leaveHold()
	}
	// The order matters: what was held is counted before the age, and the age is taken before the table.
	held := clocker.Since(began)
	age := sv.sp.holder.Age()
	tb := sv.sp.holder.Current()
	answer := &registrarpb.PullAnswer{
		Revision: tb.Revision(),
		HeldUs:   uint64(held.Microseconds()),
		Control:  sv.sp.self.Control,
	}
	if age != AgeUnknown {
		// Rounded up, so that no table seems younger than it is.
		us := uint64(age.Microseconds()) + 1
		answer.AgeUs = &us
	}
	if tb.Revision() > rq.Msg.GetRevision() {
		answer.Delta = sv.sp.delta(tb, rq.Msg.GetRevision())
	}
	return connect.NewResponse(answer), nil
}

// Report takes in what is in force at the sender and below it.
func (sv spreadServer) Report(
	_ context.Context, rq *connect.Request[registrarpb.ReportRequest],
) (*connect.Response[registrarpb.ReportAnswer], error) {
	sp := sv.sp
	sp.mu.Lock()
	defer sp.mu.Unlock()
	before := sp.ledger.version
	known := sp.ledger.receive(rq.Msg, time.Now())
	sp.wakeSinceLocked(before)
	return connect.NewResponse(&registrarpb.ReportAnswer{Unknown: !known}), nil
}

// waitForNews returns when the asker has something to learn, or after the hold.
func (sp *Spreader) waitForNews(ctx context.Context, rq *registrarpb.PullRequest, began time.Time, hold time.Duration) {
	end := time.NewTimer(hold)
	defer end.Stop()
	for {
		renewed := sp.holder.renewals()
		if sp.hasNews(rq, began) {
			return
		}
		select {
		case <-renewed:
		case <-end.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// hasNews reports whether the asker lacks a revision, or has a table that is older by refreshStep.
// Both tables grow older alike, so that only a renewal here can make it true.
func (sp *Spreader) hasNews(rq *registrarpb.PullRequest, began time.Time) bool {
	if sp.holder.Current().Revision() > rq.GetRevision() {
		return true
	}
	age := sp.holder.Age()
	if age == AgeUnknown {
		return false
	}
	if rq.AgeUs == nil {
		return true
	}
	askerAge := time.Duration(rq.GetAgeUs())*time.Microsecond + clocker.Since(began)
	return askerAge-age >= refreshStep
}

func (sp *Spreader) enterHold() bool {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.held >= heldMax {
		return false
	}
	sp.held++
	return true
}

func (sp *Spreader) leaveHold() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.held--
}

// deltaCache keeps the deltas to one revision, as many askers come from the same one.
type deltaCache struct {
	to   uint64
	from map[uint64]*registrarpb.Delta
}

func (sp *Spreader) delta(tb *Table, from uint64) *registrarpb.Delta {
	sp.mu.Lock()
	if dl := sp.deltas.from[from]; dl != nil && sp.deltas.to == tb.Revision() {
		sp.mu.Unlock()
		return dl
	}
	sp.mu.Unlock()
	dl := tb.deltaFrom(from)
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.deltas.to != tb.Revision() || len(sp.deltas.from) >= deltaCacheMax {
		sp.deltas = deltaCache{to: tb.Revision(), from: map[uint64]*registrarpb.Delta{}}
	}
	sp.deltas.from[from] = dl
	return dl
}
