package server

import (
	"github.com/gypsumhoist/gypsumhoist/allocator"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// allocation feeds the node's allocator with the table and the fleet's membership.
type allocation struct {
	allocator *allocator.Allocator
}

func newAllocation(sv *Server) *allocation {
	return &allocation{allocator: allocator.New(
		sv.settings.Instance, sv.settings.FailureDomain,
		allocator.WithPeers(sv.peers), allocator.WithLogger(sv.logger), allocator.WithMetrics(sv.metrics),
	)}
}

// setTable passes on the rows that have a rate limit.
func (al *allocation) setTable(tb *registrar.Table) { al.allocator.SetRows(rateLimitedRows(tb)) }

// setView passes on the nodes that have not left.
func (al *allocation) setView(vw *gossiper.View) {
	var mbs []allocator.Member
	for _, mb := range nodeMembers(vw) {
		mbs = append(mbs, allocator.Member{
			Instance: mb.Instance, Domain: mb.Domain, Peer: mb.Peer, Alive: mb.Status == gossiper.StatusAlive && !mb.Leaving,
		})
	}
	al.allocator.SetMembers(mbs)
}
