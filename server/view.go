package server

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/prober"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// setView passes a new view of the fleet's members to the components that need it.
func (sv *Server) setView(vw *gossiper.View) {
	srcs := sv.withFounders(sources(vw, sv.settings.Instance))
	sv.distributor.SetSources(srcs)
	sv.operatorService.SetSources(srcs)
	sv.prober.SetMembers(probeTargets(vw, sv.settings.Instance))
	if sv.node != nil {
		sv.node.setView(vw)
	}
}

// sources returns all other instances that have not left, as sources of the table.
func sources(vw *gossiper.View, self gypsumhoist.Instance) []registrar.Source {
	var out []registrar.Source
	for _, mb := range vw.Members() {
		// An instance that has left serves under no table any more.
		if mb.Instance == self || mb.Status == gossiper.StatusLeft {
			continue
		}
		out = append(out, registrar.Source{
			Instance: mb.Instance, Domain: mb.Domain, Boot: uint64(mb.Boot), Peer: mb.Peer,
			Control: mb.Roles.Has(gossiper.RoleControl), ControlOnly: !mb.Roles.Has(gossiper.RoleNode),
			Suspect: mb.Status != gossiper.StatusAlive,
		})
	}
	return out
}

// probeTargets returns all other instances that have not left, for the prober.
func probeTargets(vw *gossiper.View, self gypsumhoist.Instance) []prober.Member {
	var out []prober.Member
	for _, mb := range vw.Members() {
		if mb.Instance != self && mb.Status != gossiper.StatusLeft {
			out = append(out, prober.Member{Peer: mb.Peer, Domain: mb.Domain})
		}
	}
	return out
}

// withFounders adds the founders of the settings that gossip does not know yet:
// a revision is not in force everywhere before they have confirmed it.
func (sv *Server) withFounders(srcs []registrar.Source) []registrar.Source {
	for _, fd := range sv.settings.Control.Founders {
		known := fd.Instance == sv.settings.Instance ||
			slices.ContainsFunc(srcs, func(sc registrar.Source) bool { return sc.Instance == fd.Instance })
		if !known {
			srcs = append(srcs, registrar.Source{Instance: fd.Instance, Peer: fd.Peer, Control: true, ControlOnly: true, Suspect: true})
		}
	}
	return srcs
}

// upstreams returns a service's upstreams for the router, without unreachable members and upstreams that are gone.
func upstreams(now time.Time, mbs []gossiper.Member) []router.Upstream {
	var out []router.Upstream
	for _, mb := range mbs {
		if mb.Status >= gossiper.StatusUnreachable || mb.Upstream.State == gossiper.UpstreamGone {
			continue
		}
		out = append(out, router.Upstream{
			Instance: mb.Instance, Domain: mb.Domain, Peer: mb.Peer, Boot: uint64(mb.Boot),
			Slots: mb.Upstream.Slots, State: upstreamState(mb),
			Age: upstreamAge(now, mb.Upstream.Started), Process: processOf(mb.Upstream.Started),
		})
	}
	return out
}

func upstreamState(mb gossiper.Member) router.State {
	switch {
	case mb.Upstream.State == gossiper.UpstreamDraining:
		return router.StateDraining
	case mb.Leaving:
		return router.StateStopping
	case mb.Upstream.State == gossiper.UpstreamWarming:
		return router.StateWarming
	default:
		return router.StateReady
	}
}

// processOf returns the id of an upstream's process by its start; zero if that is unknown.
func processOf(started time.Time) int64 {
	if started.IsZero() {
		return 0
	}
	return started.UnixMilli()
}

// upstreamAge returns how long an upstream has run; zero if its start is unknown or in the future, as clocks may differ.
func upstreamAge(now, started time.Time) time.Duration {
	if started.IsZero() {
		return 0
	}
	return max(now.Sub(started), 0)
}
