package registrar

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

const (
	// minRefresh and minRefreshOnward are by how much the table of a control instance, or of another one, must be fresher than the
	// requester's to end a hold. The second is less, so that each update of an instance is passed on down the tree.
	minRefresh       = ApplyWithin / 4
	minRefreshOnward = ApplyWithin / 8
	// holdMax bounds how long a pull is held until there is an update.
	holdMax = time.Second
	// heldPullsMax bounds the pulls that are held at one instance; further ones are answered at once.
	heldPullsMax = 512
	// deltaCacheMax bounds the cached deltas, one for each revision from which requesters come.
	deltaCacheMax = 32
)

// distributorServer answers the pulls and reports of other instances.
type distributorServer struct{ ds *Distributor }

// Pull answers as soon as there is an update for the requester, or when its hold ends.
func (sv distributorServer) Pull(
	ctx context.Context, rq *connect.Request[registrarpb.PullRequest],
) (*connect.Response[registrarpb.PullAnswer], error) {
	began := clocker.Now()
	hold := min(time.Duration(rq.Msg.GetHoldMs())*time.Millisecond, holdMax)
	if hold > 0 && sv.ds.acquireHold() {
		sv.ds.waitForUpdate(ctx, rq.Msg, began, hold)
		sv.ds.releaseHold()
	}
	// The order matters: the hold is measured before the age is read, and the age is read before the table.
	held := clocker.Since(began)
	age := sv.ds.holder.Age()
	tb := sv.ds.holder.Current()
	answer := &registrarpb.PullAnswer{
		Revision: tb.Revision(),
		HeldUs:   uint64(held.Microseconds()),
		Control:  sv.ds.self.Control,

		EvacuationRevision: tb.evacuationRevision(),
	}
	if age != AgeUnknown {
		// Rounded up, so that no table seems fresher than it is.
		us := uint64(age.Microseconds()) + 1
		answer.AgeUs = &us
	}
	// A pull that is not held may be that of an instance whose source left out the evacuations. Older builds ignore the delta.
	lacksEvacuations := rq.Msg.GetHoldMs() == 0 && tb.Revision() == rq.Msg.GetRevision() && tb.evacuationRevision() > rq.Msg.GetEvacuationRevision()
	if tb.Revision() > rq.Msg.GetRevision() || lacksEvacuations {
		answer.Delta = sv.ds.delta(tb, rq.Msg.GetRevision())
	}
	return connect.NewResponse(answer), nil
}

// Report records which revisions are in force at the sender and at the instances that report to it.
func (sv distributorServer) Report(
	_ context.Context, rq *connect.Request[registrarpb.ReportRequest],
) (*connect.Response[registrarpb.ReportAnswer], error) {
	ds := sv.ds
	ds.mu.Lock()
	defer ds.mu.Unlock()
	before := ds.tracker.version
	known := ds.tracker.receive(rq.Msg, time.Now())
	ds.wakeIfChangedLocked(before)
	return connect.NewResponse(&registrarpb.ReportAnswer{Unknown: !known}), nil
}

// waitForUpdate returns when there is an update for the requester, or after the hold.
func (ds *Distributor) waitForUpdate(ctx context.Context, rq *registrarpb.PullRequest, began time.Time, hold time.Duration) {
	end := time.NewTimer(hold)
	defer end.Stop()
	for {
		renewed := ds.holder.renewal()
		if ds.hasUpdate(rq, began) {
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

// hasUpdate reports whether the requester lacks a revision, or has a table that is older by minRefresh or minRefreshOnward.
// Both tables age at the same rate, so only a renewal at this instance can make it true.
func (ds *Distributor) hasUpdate(rq *registrarpb.PullRequest, began time.Time) bool {
	if ds.holder.Current().Revision() > rq.GetRevision() {
		return true
	}
	age := ds.holder.Age()
	if age == AgeUnknown {
		return false
	}
	if rq.AgeUs == nil {
		return true
	}
	requesterAge := time.Duration(rq.GetAgeUs())*time.Microsecond + clocker.Since(began)
	if ds.self.Control {
		return requesterAge-age >= minRefresh
	}
	return requesterAge-age >= minRefreshOnward
}

func (ds *Distributor) acquireHold() bool {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if ds.heldPulls >= heldPullsMax {
		return false
	}
	ds.heldPulls++
	return true
}

func (ds *Distributor) releaseHold() {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	ds.heldPulls--
}

// deltaCache holds the deltas to one revision, as many requesters come from the same earlier one.
type deltaCache struct {
	to, evacuations uint64
	from            map[uint64]*registrarpb.Delta
}

// isOf reports whether the cached deltas lead to the table.
func (dc *deltaCache) isOf(tb *Table) bool {
	return dc.to == tb.Revision() && dc.evacuations == tb.evacuationRevision()
}

func (ds *Distributor) delta(tb *Table, from uint64) *registrarpb.Delta {
	ds.mu.Lock()
	if dl := ds.deltas.from[from]; dl != nil && ds.deltas.isOf(tb) {
		ds.mu.Unlock()
		return dl
	}
	ds.mu.Unlock()
	dl := tb.deltaFrom(from)
	ds.mu.Lock()
	defer ds.mu.Unlock()
	if !ds.deltas.isOf(tb) || len(ds.deltas.from) >= deltaCacheMax {
		ds.deltas = deltaCache{to: tb.Revision(), evacuations: tb.evacuationRevision(), from: map[uint64]*registrarpb.Delta{}}
	}
	ds.deltas.from[from] = dl
	return dl
}
