package registrar

import (
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// EvacuateDomain evacuates a failure domain, so that no node sends new requests to its upstreams, or restores it.
// If the domain is already in the wanted state, it is accepted and changes nothing. Otherwise it conflicts unless Base is the revision
// of the domain's last change, so that a delayed copy of an order can't undo a later one.
type EvacuateDomain struct {
	Domain  gypsumhoist.FailureDomain
	Restore bool
	// Base is the revision of the domain's last change that the order is based on; 0 if it was never evacuated.
	Base uint64
	// Serving lists the domains that may have upstreams. An evacuation that would leave none of them is refused.
	Serving []gypsumhoist.FailureDomain
}

func (EvacuateDomain) isCommand() {}

// evacuationEntry is the state of a domain that is or was evacuated. It is kept after a restore, as later orders are based on its revision.
type evacuationEntry struct {
	evacuated bool
	revision  uint64
}

// evacuations holds the state of all failure domains that are or were evacuated.
type evacuations struct {
	// revision is that of the last change; zero if there was none.
	revision uint64
	domains  map[gypsumhoist.FailureDomain]evacuationEntry
	// incomplete is set after a delta that an older build has relayed without its evacuations, until a list arrives.
	incomplete bool
}

func (ev evacuations) clone() evacuations {
	return evacuations{revision: ev.revision, domains: maps.Clone(ev.domains), incomplete: ev.incomplete}
}

func (ev *evacuations) put(dm gypsumhoist.FailureDomain, ee evacuationEntry) {
	if ev.domains == nil {
		ev.domains = map[gypsumhoist.FailureDomain]evacuationEntry{}
	}
	ev.domains[dm] = ee
	ev.revision = max(ev.revision, ee.revision)
}

// message returns nil if there was no evacuation, so that such a fleet's messages and snapshots don't grow.
func (ev evacuations) message() *registrarpb.Evacuations {
	if ev.revision == 0 {
		return nil
	}
	ms := &registrarpb.Evacuations{Revision: ev.revision}
	for dm, ee := range sorted(ev.domains) {
		ms.Entries = append(ms.Entries, &registrarpb.Evacuation{Domain: string(dm), Evacuated: ee.evacuated, Revision: ee.revision})
	}
	return ms
}

// merge takes over the list of a message that is not older. A missing message comes from an older build, or from one that knows of no evacuation.
func (ev *evacuations) merge(ms *registrarpb.Evacuations) {
	if ms == nil || ms.GetRevision() < ev.revision {
		return
	}
	*ev = evacuations{revision: ms.GetRevision()}
	for _, en := range ms.GetEntries() {
		ev.put(gypsumhoist.FailureDomain(en.GetDomain()), evacuationEntry{evacuated: en.GetEvacuated(), revision: en.GetRevision()})
	}
}

// leavesNone reports whether the evacuation of a serving domain would leave no other one. That of a domain without upstreams moves nothing.
func (ev evacuations) leavesNone(dm gypsumhoist.FailureDomain, serving []gypsumhoist.FailureDomain) bool {
	return slices.Contains(serving, dm) && !slices.ContainsFunc(serving, func(other gypsumhoist.FailureDomain) bool { return other != dm && !ev.domains[other].evacuated })
}

func (st *State) evacuateDomain(ms *registrarpb.EvacuateDomain) Answer {
	dm := gypsumhoist.FailureDomain(ms.GetDomain())
	if !validName(ms.GetDomain()) {
		return refused("failure domain %q is not allowed; allowed: %s", dm, nameAllowed)
	}
	ev := &st.contents.evacuations
	var serving []gypsumhoist.FailureDomain
	for _, other := range ms.GetServing() {
		serving = append(serving, gypsumhoist.FailureDomain(other))
	}
	current, wanted := ev.domains[dm], !ms.GetRestore()
	switch {
	case current.evacuated == wanted:
		return accepted(unchangedText(dm, wanted))
	case current.revision != ms.GetBase():
		return conflict(fmt.Sprintf("the state of failure domain %q changed at revision %d, after the order was given", dm, current.revision))
	case wanted && ev.leavesNone(dm, serving):
		return refused("no other failure domain could take the requests of %q", dm)
	}
	ev.put(dm, evacuationEntry{evacuated: wanted, revision: st.nextRevision()})
	if wanted {
		return accepted(fmt.Sprintf("failure domain %q is evacuated", dm))
	}
	return accepted(fmt.Sprintf("failure domain %q is restored", dm))
}

func unchangedText(dm gypsumhoist.FailureDomain, evacuated bool) string {
	if evacuated {
		return fmt.Sprintf("failure domain %q was evacuated already", dm)
	}
	return fmt.Sprintf("failure domain %q was not evacuated", dm)
}

func evacuateMessage(cd EvacuateDomain) *registrarpb.EvacuateDomain {
	ms := &registrarpb.EvacuateDomain{Domain: string(cd.Domain), Restore: cd.Restore, Base: cd.Base}
	for _, dm := range cd.Serving {
		ms.Serving = append(ms.Serving, string(dm))
	}
	return ms
}

// evacuationRevision returns the revision of the last change of the evacuated domains; zero if there was none.
func (tb *Table) evacuationRevision() uint64 {
	if tb == nil {
		return 0
	}
	return tb.contents.evacuations.revision
}

// withEvacuations returns the table with a newer list of evacuations, which an older build has relayed it without.
func (tb *Table) withEvacuations(ms *registrarpb.Evacuations) *Table {
	cs := tb.contents.clone()
	cs.evacuations.merge(ms)
	return buildTable(cs)
}

// Evacuated returns the evacuated failure domains, sorted.
func (tb *Table) Evacuated() []gypsumhoist.FailureDomain {
	if tb == nil {
		return nil
	}
	return tb.evacuated
}

// evacuation returns the state of a domain; the second result is false if it was never evacuated. The receiver may be nil.
func (tb *Table) evacuation(dm gypsumhoist.FailureDomain) (evacuationEntry, bool) {
	if tb == nil {
		return evacuationEntry{}, false
	}
	ee, ok := tb.contents.evacuations.domains[dm]
	return ee, ok
}

// evacuationLeavesNone reports whether the evacuation of a domain would leave no other serving one. The receiver may be nil.
func (tb *Table) evacuationLeavesNone(dm gypsumhoist.FailureDomain, serving []gypsumhoist.FailureDomain) bool {
	ev := evacuations{}
	if tb != nil {
		ev = tb.contents.evacuations
	}
	return ev.leavesNone(dm, serving)
}

// evacuatedDomains returns the evacuated domains, sorted.
func (ev evacuations) evacuatedDomains() []gypsumhoist.FailureDomain {
	var list []gypsumhoist.FailureDomain
	for dm, ee := range sorted(ev.domains) {
		if ee.evacuated {
			list = append(list, dm)
		}
	}
	return list
}
