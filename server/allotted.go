package server

import (
	"github.com/gypsumhoist/gypsumhoist/allocator"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// allotted joins the allocator of a node to the table and the fleet.
type allotted struct {
	allocator *allocator.Allocator
}

func newAllotted(sv *Server) *allotted {
	return &allotted{allocator: allocator.New(
		sv.settings.Instance, sv.settings.FailureDomain,
		allocator.WithPeers(sv.peers), allocator.WithLogger(sv.logger), allocator.WithMetrics(sv.metrics),
	)}
}

// take hands over the rows that bound anything.
func (at *allotted) take(tb *registrar.Table) {
	var rows []*registrar.Row
	for _, rw := range tb.Rows() {
		if rw.Bounded() {
			rows = append(rows, rw)
		}
	}
	at.allocator.SetRows(rows)
}

// look hands over the nodes that have not left.
func (at *allotted) look(vw *gossiper.View) {
	var mbs []allocator.Member
	for _, mb := range vw.Members() {
		if !mb.Roles.Has(gossiper.RoleNode) || mb.Status == gossiper.StatusLeft {
			continue
		}
		mbs = append(mbs, allocator.Member{
			Instance: mb.Instance, Domain: mb.Domain, Peer: mb.Peer, Alive: mb.Status == gossiper.StatusAlive && !mb.Leaving,
		})
	}
	at.allocator.SetMembers(mbs)
}
