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

// linesMax bounds the rows of one message.
const linesMax = 100_000

// Handler returns what other nodes ask, to be mounted on the peer port.
func (al *Allocator) Handler() (string, http.Handler) {
	return allocatorpb.NewAllocatorHandler(service{al}, connect.WithCompressMinBytes(1<<20))
}

// service answers other nodes.
type service struct{ al *Allocator }

// Report answers a node of the own domain.
func (sv service) Report(
	_ context.Context, rq *connect.Request[allocatorpb.ReportRequest],
) (*connect.Response[allocatorpb.ReportAnswer], error) {
	if len(rq.Msg.GetLines()) > linesMax {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	lines := make([]Line, 0, len(rq.Msg.GetLines()))
	for _, ln := range rq.Msg.GetLines() {
		lines = append(lines, Line{
			Key:   Key{gypsumhoist.Workspace(ln.GetWorkspace()), ln.GetRoute()},
			Spent: int64(ln.GetSpent()), Returned: int64(ln.GetReturned()), Holds: int64(ln.GetHolds()),
			Waiting: int64(ln.GetWaiting()), Demand: int64(ln.GetDemand()),
		})
	}
	out := sv.al.keep(gypsumhoist.Instance(rq.Msg.GetInstance()), lines)
	return connect.NewResponse(&allocatorpb.ReportAnswer{Grants: toWire(out)}), nil
}

// Give answers the keeper of another domain.
func (sv service) Give(
	_ context.Context, rq *connect.Request[allocatorpb.GiveRequest],
) (*connect.Response[allocatorpb.GiveAnswer], error) {
	if len(rq.Msg.GetLacking()) > linesMax {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	al := sv.al
	al.mu.Lock()
	defer al.mu.Unlock()
	given := al.keeper.Give(clocker.Now(), fromWire(rq.Msg.GetLacking()))
	return connect.NewResponse(&allocatorpb.GiveAnswer{Given: toWire(given)}), nil
}

// keep takes in a report at this node's keeper.
func (al *Allocator) keep(node gypsumhoist.Instance, lines []Line) []Grant {
	al.mu.Lock()
	defer al.mu.Unlock()
	out := al.keeper.Report(clocker.Now(), node, lines)
	if now := time.Now(); al.keeper.Short() && !now.Before(al.fetchAfter) {
		al.fetchAfter = now.Add(fetchPause)
		nudge(al.needy)
	}
	return out
}

// Least times between two rounds of questions to other domains that a request caused, the second after one that brought nothing.
const (
	fetchPause = 20 * time.Millisecond
	vainPause  = 60 * time.Millisecond
)

// reportTo reports to one keeper, which may be this node.
func (al *Allocator) reportTo(mb Member, lines []Line) ([]Grant, error) {
	if mb.Instance == al.self {
		return al.keep(al.self, lines), nil
	}
	rq := &allocatorpb.ReportRequest{Instance: string(al.self)}
	for _, ln := range lines {
		rq.Lines = append(rq.Lines, &allocatorpb.Line{
			Workspace: string(ln.Key.Workspace), Route: ln.Key.Route,
			Spent: uint32(ln.Spent), Returned: uint32(ln.Returned), Holds: uint32(ln.Holds),
			Waiting: uint32(ln.Waiting), Demand: uint32(ln.Demand),
		})
	}
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTime)
	defer cancel()
	rs, err := al.clients.To(mb.Peer).Report(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return fromWire(rs.Msg.GetGrants()), nil
}

// fetch asks other domains for what this one lacks, if this node is its keeper.
func (al *Allocator) fetch() {
	al.mu.Lock()
	if !al.keeping() {
		al.mu.Unlock()
		return
	}
	lacking := al.keeper.Lacking(clocker.Now())
	var others []Member
	if len(lacking) > 0 {
		others = al.otherKeepers()
	}
	al.mu.Unlock()
	if len(others) == 0 {
		return
	}
	for ix := range lacking {
		lacking[ix].Amount = (lacking[ix].Amount + int64(len(others)) - 1) / int64(len(others))
	}
	for _, mb := range others {
		al.tmb.Go(func() error {
			al.fetchFrom(mb, lacking)
			return nil
		})
	}
}

// otherKeepers returns the keepers of all other domains. The lock is held.
func (al *Allocator) otherKeepers() []Member {
	var out []Member
	for _, domain := range slices.Sorted(maps.Keys(al.members)) {
		if domain != al.domain {
			out = append(out, al.keepers(domain, 1)...)
		}
	}
	return out
}

func (al *Allocator) fetchFrom(mb Member, lacking []Grant) {
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTime)
	defer cancel()
	rq := &allocatorpb.GiveRequest{Lacking: toWire(lacking)}
	rs, err := al.clients.To(mb.Peer).Give(ctx, connect.NewRequest(rq))
	if err != nil {
		al.shun(mb.Instance, err)
		return
	}
	given := fromWire(rs.Msg.GetGiven())
	al.mu.Lock()
	defer al.mu.Unlock()
	al.keeper.Receive(clocker.Now(), given)
	now := time.Now()
	switch {
	case slices.ContainsFunc(given, func(gr Grant) bool { return gr.Amount > 0 }):
		al.gained = now
	case now.Sub(al.gained) > vainPause:
		al.fetchAfter = now.Add(vainPause)
		al.keeper.Vain(clocker.Now().Add(vainPause))
	}
}

func toWire(list []Grant) []*allocatorpb.Grant {
	out := make([]*allocatorpb.Grant, 0, len(list))
	for _, gr := range list {
		out = append(out, &allocatorpb.Grant{
			Workspace: string(gr.Key.Workspace), Route: gr.Key.Route, Amount: uint32(min(gr.Amount, amountMost)), Dry: gr.Dry,
		})
	}
	return out
}

// amountMost bounds an amount on the wire.
const amountMost = int64(math.MaxUint32)

func fromWire(list []*allocatorpb.Grant) []Grant {
	out := make([]Grant, 0, len(list))
	for _, gr := range list {
		out = append(out, Grant{
			Key:    Key{gypsumhoist.Workspace(gr.GetWorkspace()), gr.GetRoute()},
			Amount: int64(gr.GetAmount()), Dry: gr.GetDry(),
		})
	}
	return out
}
