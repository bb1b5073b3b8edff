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
func (at *allotted) take(tb *registrar.Table) { at.allocator.SetRows(boundedRows(tb)) }

// look hands over the nodes that have not left.
func (at *allotted) look(vw *gossiper.View) {
	var mbs []allocator.Member
	for _, mb := range spenders(vw) {
		mbs = append(mbs, allocator.Member{
			Instance: mb.Instance, Domain: mb.Domain, Peer: mb.Peer, Alive: mb.Status == gossiper.StatusAlive && !mb.Leaving,
		})
	}
	at.allocator.SetMembers(mbs)
}
