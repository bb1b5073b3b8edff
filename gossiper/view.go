package gossiper

import (
	"cmp"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
)

// View is what an instance knows of the fleet at one moment.
// It holds the members of its own failure domain, the bridges and control instances of all others,
// and the upstreams of the services that it watches; members that left are not in it.
// It is immutable and safe for concurrent use.
type View struct {
	members  []Member
	services map[gypsumhoist.Service][]Member
	domains  []Domain
}

// Domain is what an instance knows of a failure domain.
type Domain struct {
	Name gypsumhoist.FailureDomain
	// Reachable is false while no bridge of the instance's own domain gets an answer from there.
	Reachable bool
	// Members counts the known members that are alive or suspect; of other domains an instance knows only some.
	Members int
}

// Members returns all members in the order of their instances. The slice must not be changed.
func (vw *View) Members() []Member { return vw.members }

// ByService returns the members whose upstream runs a service, in the order of their instances,
// whatever their state; Member.AcceptsWork reports which of them take new work. The slice must not be changed.
func (vw *View) ByService(svc gypsumhoist.Service) []Member { return vw.services[svc] }

// Domains returns the known failure domains in the order of their names. The slice must not be changed.
func (vw *View) Domains() []Domain { return vw.domains }

// Member returns the member of a name; the second result is false if it is not in the view.
func (vw *View) Member(in gypsumhoist.Instance) (Member, bool) {
	at, ok := slices.BinarySearchFunc(vw.members, in, func(mb Member, in gypsumhoist.Instance) int {
		return cmp.Compare(mb.Instance, in)
	})
	if !ok {
		return Member{}, false
	}
	return vw.members[at], true
}

// newView returns a view that keeps the slice of members and sorts it.
func newView(members []Member, unreachable map[gypsumhoist.FailureDomain]bool) *View {
	slices.SortFunc(members, func(ma, mb Member) int { return cmp.Compare(ma.Instance, mb.Instance) })
	vw := &View{members: members, services: map[gypsumhoist.Service][]Member{}}
	counts := map[gypsumhoist.FailureDomain]int{}
	for _, mb := range members {
		if mb.Upstream.Service != "" {
			vw.services[mb.Upstream.Service] = append(vw.services[mb.Upstream.Service], mb)
		}
		if mb.present() {
			counts[mb.Domain]++
		} else {
			counts[mb.Domain] += 0
		}
	}
	for fd, count := range counts {
		vw.domains = append(vw.domains, Domain{Name: fd, Reachable: !unreachable[fd], Members: count})
	}
	slices.SortFunc(vw.domains, func(da, db Domain) int { return cmp.Compare(da.Name, db.Name) })
	return vw
}
