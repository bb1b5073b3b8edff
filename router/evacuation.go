package router

import (
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// SetEvacuated sets which failure domains are evacuated: from its return on no attempt goes to upstreams there, neither as a first attempt nor as a
// retry, a probe or a last resort. Attempts in flight are not affected, and measurements of the upstreams are kept.
func (rt *Router) SetEvacuated(domains []gypsumhoist.FailureDomain) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if slices.Equal(rt.evacuated, domains) {
		return
	}
	rt.evacuated = slices.Clone(domains)
	for _, sv := range *rt.services.Load() {
		sv.mu.Lock()
		sv.group.SetEvacuated(rt.evacuated)
		sv.mu.Unlock()
	}
}

// SetEvacuated sets the evacuated failure domains, whose upstreams take no further attempts. The group keeps the slice.
func (gr *Group) SetEvacuated(domains []gypsumhoist.FailureDomain) {
	gr.evacuated = domains
	gr.buildTiers()
}

// evacuates reports whether a member's failure domain is evacuated.
func (gr *Group) evacuates(mb *member) bool {
	return len(gr.evacuated) > 0 && slices.Contains(gr.evacuated, mb.upstream.Domain)
}
