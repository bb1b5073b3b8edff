package allocator

import (
	"context"
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
			Key:  Key{gypsumhoist.Workspace(ln.GetWorkspace()), ln.GetRoute()},
			Used: int64(ln.GetUsed()), Demand: int64(ln.GetDemand()), Holds: int64(ln.GetHolds()), Waiting: int64(ln.GetWaiting()),
		})
	}
	out := sv.al.keep(gypsumhoist.Instance(rq.Msg.GetInstance()), lines)
	return connect.NewResponse(&allocatorpb.ReportAnswer{Allowances: toWire(out)}), nil
}

// Lend answers the keeper of another domain.
func (sv service) Lend(
	_ context.Context, rq *connect.Request[allocatorpb.LendRequest],
) (*connect.Response[allocatorpb.LendAnswer], error) {
	if len(rq.Msg.GetLacking()) > linesMax {
		return nil, connect.NewError(connect.CodeResourceExhausted, nil)
	}
	al := sv.al
	al.mu.Lock()
	defer al.mu.Unlock()
	lent := al.keeper.Lend(clocker.Now(), gypsumhoist.FailureDomain(rq.Msg.GetDomain()), fromWire(rq.Msg.GetLacking()))
	return connect.NewResponse(&allocatorpb.LendAnswer{Lent: toWire(lent)}), nil
}

// keep takes in a report at this node's keeper.
func (al *Allocator) keep(node gypsumhoist.Instance, lines []Line) []Allowance {
	al.mu.Lock()
	defer al.mu.Unlock()
	out := al.keeper.Report(clocker.Now(), node, lines)
	if now := time.Now(); al.keeper.Short() && !now.Before(al.borrowAfter) {
		al.borrowAfter = now.Add(borrowPause)
		nudge(al.needy)
	}
	return out
}

// Least times between two rounds of borrowing that a request asked for, the second after one that brought nothing.
const (
	borrowPause = 20 * time.Millisecond
	vainPause   = 250 * time.Millisecond
)

// reportTo reports to one keeper, which may be this node.
func (al *Allocator) reportTo(mb Member, lines []Line) ([]Allowance, error) {
	if mb.Instance == al.self {
		return al.keep(al.self, lines), nil
	}
	rq := &allocatorpb.ReportRequest{Instance: string(al.self)}
	for _, ln := range lines {
		rq.Lines = append(rq.Lines, &allocatorpb.Line{
			Workspace: string(ln.Key.Workspace), Route: ln.Key.Route,
			Used: uint32(ln.Used), Demand: uint32(ln.Demand), Holds: uint32(ln.Holds), Waiting: uint32(ln.Waiting),
		})
	}
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTime)
	defer cancel()
	rs, err := allocatorpb.NewAllocatorClient(al.peers, al.peers.URL(mb.Peer)).Report(ctx, connect.NewRequest(rq))
	if err != nil {
		return nil, err
	}
	return fromWire(rs.Msg.GetAllowances()), nil
}

// borrow asks other domains for what this one lacks, if this node is its keeper.
func (al *Allocator) borrow() {
	al.mu.Lock()
	first := al.keepers(al.domain, 1)
	if len(first) == 0 || first[0].Instance != al.self {
		al.mu.Unlock()
		return
	}
	lacking := al.keeper.Lacking(clocker.Now())
	var others []Member
	seen := map[gypsumhoist.FailureDomain]bool{al.domain: true}
	for _, mb := range al.members {
		if !seen[mb.Domain] {
			seen[mb.Domain] = true
			others = append(others, al.keepers(mb.Domain, 1)...)
		}
	}
	al.mu.Unlock()
	if len(lacking) == 0 {
		return
	}
	for _, mb := range others {
		al.tmb.Go(func() error {
			al.borrowFrom(mb, lacking)
			return nil
		})
	}
}

func (al *Allocator) borrowFrom(mb Member, lacking []Allowance) {
	ctx, cancel := context.WithTimeout(al.tmb.Context(nil), reportTime)
	defer cancel()
	asked := clocker.Now()
	rq := &allocatorpb.LendRequest{Domain: string(al.domain), Lacking: toWire(lacking)}
	rs, err := allocatorpb.NewAllocatorClient(al.peers, al.peers.URL(mb.Peer)).Lend(ctx, connect.NewRequest(rq))
	if err != nil {
		al.shun(mb.Instance, err)
		return
	}
	al.mu.Lock()
	defer al.mu.Unlock()
	lent := fromWire(rs.Msg.GetLent())
	al.keeper.Borrowed(asked, mb.Domain, lent)
	now := time.Now()
	switch {
	case slices.ContainsFunc(lent, func(aw Allowance) bool { return aw.Amount > 0 }):
		al.gained = now
	case now.Sub(al.gained) > vainPause:
		al.borrowAfter = now.Add(vainPause)
	}
}

func toWire(list []Allowance) []*allocatorpb.Allowance {
	out := make([]*allocatorpb.Allowance, 0, len(list))
	for _, aw := range list {
		out = append(out, &allocatorpb.Allowance{
			Workspace: string(aw.Key.Workspace), Route: aw.Key.Route, Amount: uint32(min(aw.Amount, amountMost)), Dry: aw.Dry,
		})
	}
	return out
}

// amountMost bounds an amount on the wire.
const amountMost = int64(math.MaxUint32)

func fromWire(list []*allocatorpb.Allowance) []Allowance {
	out := make([]Allowance, 0, len(list))
	for _, aw := range list {
		out = append(out, Allowance{
			Key: Key{gypsumhoist.Workspace(aw.GetWorkspace()), aw.GetRoute()}, Amount: int64(aw.GetAmount()), Dry: aw.GetDry(),
		})
	}
	return out
}
