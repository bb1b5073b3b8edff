package allocator

import (
	"context"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator/allocatorpb"
	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// maxMessageRows limits the rows of one message.
const maxMessageRows = 100_000

// Handler returns the path and handler of the service for other nodes, to be mounted on the peer port.
func (al *Allocator) Handler() (string, http.Handler) {
	return allocatorpb.NewAllocatorHandler(service{al}, connect.WithCompressMinBytes(1<<20))
}

// service implements the RPCs that other nodes call.
type service struct{ al *Allocator }

// Report handles the report of a node of the same domain.
func (sv service) Report(
	_ context.Context, rq *connect.Request[allocatorpb.ReportRequest],
) (*connect.Response[allocatorpb.ReportAnswer], error) {
	if len(rq.Msg.GetLines()) > maxMessageRows {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	reports := make([]RowReport, 0, len(rq.Msg.GetLines()))
	for _, wl := range rq.Msg.GetLines() {
		reports = append(reports, RowReport{
			Key:   Key{gypsumhoist.Workspace(wl.GetWorkspace()), wl.GetRoute()},
			Spent: int64(wl.GetSpent()), Returned: int64(wl.GetReturned()), Held: int64(wl.GetHolds()),
			Waiting: int64(wl.GetWaiting()), Demand: int64(wl.GetDemand()),
		})
	}
	grants, stamp := sv.al.handleReport(gypsumhoist.Instance(rq.Msg.GetInstance()), shareOf(rq.Msg.Echo), reports)
	return connect.NewResponse(&allocatorpb.ReportAnswer{Grants: toWire(grants), Stamp: uint64(stamp)}), nil
}

// Give transfers tokens to the keeper of another domain.
func (sv service) Give(
	_ context.Context, rq *connect.Request[allocatorpb.GiveRequest],
) (*connect.Response[allocatorpb.GiveAnswer], error) {
	if len(rq.Msg.GetLacking()) > maxMessageRows {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	al := sv.al
	al.mu.Lock()
	defer al.mu.Unlock()
	given := al.keeper.Transfer(clocker.Now(), fromWire(rq.Msg.GetLacking()))
	return connect.NewResponse(&allocatorpb.GiveAnswer{Given: toWire(given)}), nil
}

// handleReport applies the report of a node to this node's keeper.
func (al *Allocator) handleReport(node gypsumhoist.Instance, sh sentShare, reports []RowReport) ([]Grant, Stamp) {
	al.mu.Lock()
	defer al.mu.Unlock()
	grants, stamp := al.keeper.Report(clocker.Now(), node, sh, reports)
	al.logShare()
	if now := time.Now(); al.keeper.HasUnmetDemand() && !now.Before(al.nextFetch) {
		al.nextFetch = now.Add(fetchPause)
		signal(al.fetchNow)
	}
	return grants, stamp
}

// shareOf returns what a message with an echo, or without one, says about its sender's share.
func shareOf(echo *uint64) sentShare {
	if echo == nil {
		return sentShare{}
	}
	return sentShare{known: true, stamp: Stamp(*echo)}
}

// shareLogInterval is the minimum time between two log events about the share that this node's keeper counts.
const shareLogInterval = 100 * time.Millisecond

// reportShare calls logShare for a keeper that may have received no report for a while.
func (al *Allocator) reportShare() {
	al.mu.Lock()
	defer al.mu.Unlock()
	al.logShare()
}

// logShare logs the share of all rates that this node's keeper counts if it has changed. The caller holds the lock.
func (al *Allocator) logShare() {
	now := clocker.Now()
	share := al.keeper.Share(now)
	if share == al.loggedShare || now.Sub(al.loggedShareAt) < shareLogInterval {
		return
	}
	al.log.Log(eventKeeperShare, "before", al.loggedShare, "share", share, "nodes", al.nodes.Load())
	al.loggedShare, al.loggedShareAt = share, now
}

// Minimum time between two fetches from other domains triggered by requests, the second after a fetch that returned no tokens.
const (
	fetchPause      = 20 * time.Millisecond
	emptyFetchPause = 60 * time.Millisecond
)

// reportTo sends a report to one keeper, which may be this node itself, with the node's share if that keeper may have it.
func (al *Allocator) reportTo(mb Member, reports []RowReport) ([]Grant, error) {
	al.mu.Lock()
	stamp, _ := al.assignment.assign(clocker.Now(), mb.Instance)
	al.mu.Unlock()
	grants, answer, err := al.exchangeReport(mb, sentShare{known: true, stamp: stamp}, reports)
	al.mu.Lock()
	defer al.mu.Unlock()
	if err != nil {
		al.assignment.failed(mb.Instance)
		return nil, err
	}
	al.assignment.answered(clocker.Now(), mb.Instance, answer)
	return grants, nil
}

// exchangeReport sends a report and returns the grants and the stamp of the answer.
func (al *Allocator) exchangeReport(mb Member, sh sentShare, reports []RowReport) ([]Grant, Stamp, error) {
	if mb.Instance == al.self {
		grants, stamp := al.handleReport(al.self, sh, reports)
		return grants, stamp, nil
	}
	echo := uint64(sh.stamp)
	rq := &allocatorpb.ReportRequest{Instance: string(al.self), Echo: &echo}
	for _, rr := range reports {
		rq.Lines = append(rq.Lines, &allocatorpb.Line{
			Workspace: string(rr.Key.Workspace), Route: rr.Key.Route,
			Spent: uint32(rr.Spent), Returned: uint32(rr.Returned), Holds: uint32(rr.Held),
			Waiting: uint32(rr.Waiting), Demand: uint32(rr.Demand),
		})
	}
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTimeout)
	defer cancel()
	rs, err := al.clients.To(mb.Peer).Report(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, 0, err
	}
	return fromWire(rs.Msg.GetGrants()), Stamp(rs.Msg.GetStamp()), nil
}

// fetch requests the tokens that the domain lacks from other domains, if this node is the domain's keeper, or nodes have gone over to it.
func (al *Allocator) fetch() {
	al.mu.Lock()
	if !al.isKeeper() && !al.keeper.HasUnmetDemand() {
		al.mu.Unlock()
		return
	}
	deficits := al.keeper.Deficits(clocker.Now())
	var others []Member
	if len(deficits) > 0 {
		others = al.otherKeepers()
	}
	al.mu.Unlock()
	if len(others) == 0 {
		return
	}
	for ix := range deficits {
		deficits[ix].Amount = (deficits[ix].Amount + int64(len(others)) - 1) / int64(len(others))
	}
	for _, mb := range others {
		al.tmb.Go(func() error {
			al.fetchFrom(mb, deficits)
			return nil
		})
	}
}

// otherKeepers returns the keepers of all other domains. The caller holds the lock.
func (al *Allocator) otherKeepers() []Member {
	var out []Member
	for _, domain := range slices.Sorted(maps.Keys(al.members)) {
		if domain != al.domain {
			out = append(out, al.keepers(domain, 1)...)
		}
	}
	return out
}

func (al *Allocator) fetchFrom(mb Member, deficits []Grant) {
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTimeout)
	defer cancel()
	rq := &allocatorpb.GiveRequest{Lacking: toWire(deficits)}
	rs, err := al.clients.To(mb.Peer).Give(ctx, connect.NewRequest(rq))
	if err != nil {
		al.avoidNode(mb.Instance, err)
		return
	}
	given := fromWire(rs.Msg.GetGiven())
	al.mu.Lock()
	defer al.mu.Unlock()
	al.keeper.Receive(clocker.Now(), given)
	now := time.Now()
	switch {
	case slices.ContainsFunc(given, func(gr Grant) bool { return gr.Amount > 0 }):
		al.lastTransfer = now
	case now.Sub(al.lastTransfer) > emptyFetchPause:
		al.nextFetch = now.Add(emptyFetchPause)
		al.keeper.SetOthersEmpty(clocker.Now().Add(emptyFetchPause))
	}
}

func toWire(list []Grant) []*allocatorpb.Grant {
	out := make([]*allocatorpb.Grant, 0, len(list))
	for _, gr := range list {
		out = append(out, &allocatorpb.Grant{
			Workspace: string(gr.Key.Workspace), Route: gr.Key.Route, Amount: uint32(min(gr.Amount, maxWireAmount)), Dry: gr.Empty,
		})
	}
	return out
}

// maxWireAmount is the largest amount that fits the wire format.
const maxWireAmount = int64(math.MaxUint32)

func fromWire(list []*allocatorpb.Grant) []Grant {
	out := make([]Grant, 0, len(list))
	for _, gr := range list {
		out = append(out, Grant{
			Key:    Key{gypsumhoist.Workspace(gr.GetWorkspace()), gr.GetRoute()},
			Amount: int64(gr.GetAmount()), Empty: gr.GetDry(),
		})
	}
	return out
}
