package registrar

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// delta returns the changes since revision from.
// The delta is full if from is zero, below the floor or above this revision.
func (cs *contents) delta(from uint64) *registrarpb.Delta {
	dl := &registrarpb.Delta{From: from, Revision: cs.revision, Floor: cs.floor, NumberFloor: cs.numberFloor}
	if from == 0 || from < cs.floor || from > cs.revision {
		dl.Full, dl.From, from = true, 0, 0
	}
	newer := func(revision uint64) bool { return dl.Full || revision > from }
	for _, re := range filterSorted(cs.rows, compareRowNames, func(re *rowEntry) bool { return newer(re.revision) }) {
		dl.Rows = append(dl.Rows, re.message())
	}
	for _, ge := range filterSorted(cs.grants, cmp.Compare, func(ge *grantEntry) bool { return newer(ge.revision) }) {
		dl.Grants = append(dl.Grants, ge.message())
	}
	for _, pe := range filterSorted(cs.placements, comparePlacementNames, func(pe *placementEntry) bool { return newer(pe.revision) }) {
		dl.Placements = append(dl.Placements, pe.message())
	}
	for _, ce := range filterSorted(cs.controls, cmp.Compare, func(ce *controlEntry) bool { return newer(ce.revision) }) {
		dl.Controls = append(dl.Controls, ce.message())
	}
	for _, en := range slices.SortedFunc(maps.Keys(cs.tombstones), compareEntryNames) {
		if ts := cs.tombstones[en]; newer(ts.revision) {
			dl.Gone = append(dl.Gone, &registrarpb.Gone{
				Kind: uint32(en.kind), Name: en.name, SecondName: en.second, Revision: ts.revision, Number: ts.number,
			})
		}
	}
	dl.Evacuations = cs.evacuations.message()
	if from < cs.revision && isUnexplained(dl) && !cs.evacuations.incomplete {
		// A sheet that equals the previous one changes only the revision.
		dl.Evacuations = &registrarpb.Evacuations{}
	}
	return dl
}

// isUnexplained reports whether a delta holds nothing that could have raised the revision. It then comes from an older build, which relays tables
// without their evacuations.
func isUnexplained(dl *registrarpb.Delta) bool {
	return !dl.GetFull() && dl.Evacuations == nil &&
		len(dl.GetRows())+len(dl.GetGrants())+len(dl.GetPlacements())+len(dl.GetControls())+len(dl.GetGone()) == 0
}

// filterSorted returns the wanted values of a map in key order.
func filterSorted[K comparable, V any](all map[K]V, compare func(ka, kb K) int, wanted func(V) bool) []V {
	var keys []K
	for ky, vl := range all {
		if wanted(vl) {
			keys = append(keys, ky)
		}
	}
	slices.SortFunc(keys, compare)
	picked := make([]V, len(keys))
	for ix, ky := range keys {
		picked[ix] = all[ky]
	}
	return picked
}

// withDelta returns the contents after applying a delta. The receiver is not changed.
func (cs *contents) withDelta(dl *registrarpb.Delta) (*contents, error) {
	next := newContents()
	next.evacuations = cs.evacuations.clone()
	if !dl.GetFull() {
		if dl.GetFrom() != cs.revision || dl.GetRevision() < cs.revision {
			return nil, fmt.Errorf("delta from revision %d to %d does not apply to revision %d",
				dl.GetFrom(), dl.GetRevision(), cs.revision)
		}
		next = cs.clone()
	}
	next.revision = dl.GetRevision()
	next.floor = max(next.floor, dl.GetFloor())
	next.numberFloor = max(next.numberFloor, dl.GetNumberFloor())
	if err := next.merge(dl); err != nil {
		return nil, err
	}
	return next, nil
}

// merge applies the entries and tombstones of a delta.
func (cs *contents) merge(dl *registrarpb.Delta) error {
	for _, gn := range dl.GetGone() {
		if gn.GetKind() == 0 || gn.GetKind() > uint32(entryKindControl) {
			return fmt.Errorf("unknown kind %d of a deleted entry", gn.GetKind())
		}
		en := entryName{entryKind(gn.GetKind()), gn.GetName(), gn.GetSecondName()}
		cs.remove(en, tombstone{revision: gn.GetRevision(), number: gn.GetNumber()})
	}
	for _, ms := range dl.GetRows() {
		re, err := rowFromMessage(ms)
		if err != nil {
			return err
		}
		cs.putRow(re)
	}
	for _, ms := range dl.GetGrants() {
		ge, err := grantFromMessage(ms)
		if err != nil {
			return err
		}
		cs.putGrant(ge)
	}
	for _, ms := range dl.GetPlacements() {
		pe, err := placementFromMessage(ms)
		if err != nil {
			return err
		}
		cs.putPlacement(pe)
	}
	for _, ms := range dl.GetControls() {
		ce, err := controlFromMessage(ms)
		if err != nil {
			return err
		}
		cs.putControl(ce)
	}
	if isUnexplained(dl) {
		cs.evacuations.incomplete = true
	}
	cs.evacuations.merge(dl.GetEvacuations())
	return nil
}

// deltaFrom returns the changes since revision from. The receiver may be nil.
func (tb *Table) deltaFrom(from uint64) *registrarpb.Delta {
	if tb == nil {
		return newContents().delta(from)
	}
	return tb.contents.delta(from)
}

// withDelta returns the table after applying a delta. The receiver is not changed and may be nil.
func (tb *Table) withDelta(dl *registrarpb.Delta) (*Table, error) {
	old := newContents()
	if tb != nil {
		old = tb.contents
	}
	next, err := old.withDelta(dl)
	if err != nil {
		return nil, err
	}
	return buildTable(next), nil
}

func compareRowNames(na, nb rowName) int {
	return cmp.Or(cmp.Compare(na.workspace, nb.workspace), cmp.Compare(na.route, nb.route))
}

func comparePlacementNames(na, nb placementName) int {
	return cmp.Or(cmp.Compare(na.domain, nb.domain), cmp.Compare(na.shard, nb.shard))
}

func compareEntryNames(na, nb entryName) int {
	return cmp.Or(cmp.Compare(na.kind, nb.kind), cmp.Compare(na.name, nb.name), cmp.Compare(na.second, nb.second))
}
