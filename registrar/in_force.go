package registrar

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// leaseMargin is added to CutOffLease before an instance that has stopped reporting is assumed to refuse.
const leaseMargin = 250 * time.Millisecond

// settleTime is the time after its start in which a process doesn't claim to know all instances.
const settleTime = 3 * time.Second

// lateInTextMax bounds the late instances that InForce.Text names for each domain.
const lateInTextMax = 3

// Change is what must be known of an accepted change to evaluate where it is in force.
type Change struct {
	Revision     uint64
	StaleRefusal StaleRefusal
	// Accepted is a time by which the change had been accepted.
	Accepted time.Time
}

// InForce says where a change is in force.
type InForce struct {
	Change Change
	// Everywhere means that every known instance has confirmed the revision.
	Everywhere bool
	// EverywhereOrRefused means that every known instance has confirmed the revision or, as its cut-off lease has expired,
	// refuses what the change replaced or withdrew.
	EverywhereOrRefused bool
	// Settling means that this process started so recently that it may not know all instances yet.
	Settling bool
	// Domains are sorted by name.
	Domains []DomainInForce
}

// DomainInForce says which instances of one failure domain have confirmed.
// A domain that the table names but of which no instance is known has 0 Instances; while there is such a domain,
// no change counts as in force everywhere.
type DomainInForce struct {
	Domain    gypsumhoist.FailureDomain
	Instances int
	Late      []LateInstance
}

// LateInstance is an instance that has not confirmed the change.
type LateInstance struct {
	Instance gypsumhoist.Instance
	// Revision is the highest one that it confirmed; 0 if none.
	Revision uint64
	// Heard is when the last report on it arrived; zero if none ever did.
	Heard time.Time
	// Refuses is true when its cut-off lease has expired, so that it refuses what the change replaced or withdrew.
	Refuses bool
}

// inForce evaluates a change over all known instances: the sources, those that report, and this one.
// named are the domains that must have at least one instance.
func (rt *revisionTracker) inForce(cg Change, named []gypsumhoist.FailureDomain, now time.Time) InForce {
	settling := now.Sub(rt.started) < settleTime
	domains := map[gypsumhoist.FailureDomain]*DomainInForce{}
	result := InForce{Change: cg, Everywhere: !settling, EverywhereOrRefused: !settling, Settling: settling}
	for mb := range rt.expectedMembers {
		dm := domains[mb.domain]
		if dm == nil {
			dm = &DomainInForce{Domain: mb.domain}
			domains[mb.domain] = dm
		}
		dm.Instances++
		if mb.revision >= cg.Revision {
			continue
		}
		lt := LateInstance{Instance: mb.instance, Revision: mb.revision, Heard: mb.lastHeard, Refuses: cg.refusedAt(mb, now)}
		dm.Late = append(dm.Late, lt)
		result.Everywhere = false
		result.EverywhereOrRefused = result.EverywhereOrRefused && lt.Refuses
	}
	for _, fd := range named {
		if domains[fd] == nil {
			domains[fd] = &DomainInForce{Domain: fd}
			result.Everywhere, result.EverywhereOrRefused = false, false
		}
	}
	for _, dm := range sorted(domains) {
		slices.SortFunc(dm.Late, func(la, lb LateInstance) int { return cmp.Compare(la.Instance, lb.Instance) })
		result.Domains = append(result.Domains, *dm)
	}
	return result
}

// refusedAt reports whether an instance that lacks the change refuses what it replaced or withdrew. The table of such an
// instance can't have been confirmed after the change was accepted, so its lease expires CutOffLease after that at the latest.
func (cg Change) refusedAt(mb member, now time.Time) bool {
	leaseExpired := !now.Before(cg.Accepted.Add(CutOffLease + leaseMargin))
	return cg.StaleRefusal.Guaranteed && leaseExpired && mb.revision >= cg.StaleRefusal.MinRevision
}

// expectedMembers yields all instances that must confirm, in no particular order.
func (rt *revisionTracker) expectedMembers(yield func(member) bool) {
	if !yield(rt.self) {
		return
	}
	for _, sc := range rt.sources {
		if sc.Instance == rt.self.instance {
			continue
		}
		mb, ok := rt.known[sc.Instance]
		if !ok || mb.boot < sc.Boot {
			mb = member{instance: sc.Instance, domain: sc.Domain, boot: sc.Boot}
		}
		if !yield(mb) {
			return
		}
	}
	for in, mb := range rt.known {
		if !rt.listed[in] && in != rt.self.instance && !yield(mb) {
			return
		}
	}
}

// Text describes to operators where the change is in force.
func (nf InForce) Text() string {
	total, late := 0, 0
	for _, dm := range nf.Domains {
		total += dm.Instances
		late += len(dm.Late)
	}
	if nf.Everywhere {
		return fmt.Sprintf("Revision %d is in force everywhere: all %d instances in %d failure domains have confirmed it.",
			nf.Change.Revision, total, len(nf.Domains))
	}
	var sb strings.Builder
	if nf.Settling {
		sb.WriteString("The control instance that answers started only recently and may not know all instances yet. ")
	}
	fmt.Fprintf(&sb, "Revision %d is confirmed by %d of %d known instances.", nf.Change.Revision, total-late, total)
	for _, dm := range nf.Domains {
		if len(dm.Late) > 0 || dm.Instances == 0 {
			sb.WriteString(" " + dm.text())
		}
	}
	if !nf.Settling || late > 0 {
		sb.WriteString(" " + nf.unconfirmedText())
	}
	return sb.String()
}

func (dm DomainInForce) text() string {
	if dm.Instances == 0 {
		return fmt.Sprintf("Failure domain %s: no instance is known here.", dm.Domain)
	}
	names := make([]string, 0, lateInTextMax+1)
	byRevision := slices.SortedFunc(slices.Values(dm.Late), func(la, lb LateInstance) int {
		return cmp.Or(cmp.Compare(la.Revision, lb.Revision), cmp.Compare(la.Instance, lb.Instance))
	})
	for ix, lt := range byRevision {
		if ix == lateInTextMax {
			names = append(names, "…")
			break
		}
		names = append(names, lt.text())
	}
	return fmt.Sprintf("Failure domain %s: %d of %d instances have not confirmed (%s).",
		dm.Domain, len(dm.Late), dm.Instances, strings.Join(names, "; "))
}

func (lt LateInstance) text() string {
	if lt.Heard.IsZero() {
		return fmt.Sprintf("%s has never reported", lt.Instance)
	}
	return fmt.Sprintf("%s had revision %d when last heard at %s",
		lt.Instance, lt.Revision, lt.Heard.UTC().Format(time.RFC3339))
}

// unconfirmedText describes what instances that have not confirmed may still do.
func (nf InForce) unconfirmedText() string {
	switch {
	case nf.EverywhereOrRefused:
		return "These refuse the requests concerned, as the rows are cut_off=refuse and the cut-off lease has expired: " +
			"nothing runs under the old table."
	case nf.Change.StaleRefusal.Guaranteed:
		return fmt.Sprintf("The rows concerned are cut_off=refuse: instances that stay cut off refuse them from %s after "+
			"the change was accepted; those that never reported such a row may not.", CutOffLease)
	default:
		return "Until they are reached, rows that are cut_off=serve are served there under the table that they have."
	}
}
