package registrar

import "github.com/gypsumhoist/gypsumhoist"

// staleRefusalOf returns which instances, once cut off, refuse what the replaced row allowed. It guarantees nothing if there
// was no row: an instance with an older table may still have a row of the same name that was deleted since.
func staleRefusalOf(old *rowEntry) StaleRefusal {
	if old == nil || old.refuseSince == 0 {
		return StaleRefusal{}
	}
	return StaleRefusal{Guaranteed: true, MinRevision: old.refuseSince}
}

// and combines the guarantees of two changes that are made together.
func (sr StaleRefusal) and(other StaleRefusal) StaleRefusal {
	if !sr.Guaranteed || !other.Guaranteed {
		return StaleRefusal{}
	}
	return StaleRefusal{Guaranteed: true, MinRevision: max(sr.MinRevision, other.MinRevision)}
}

// updateServeRows updates serveRows and serveUntil after a change of a row; nil means no row.
func (st *State) updateServeRows(old, updated *rowEntry, revision uint64) {
	change := 0
	var ws gypsumhoist.Workspace
	if old != nil {
		ws = old.row.Workspace
		change -= serveRowCount(old)
	}
	if updated != nil {
		ws = updated.row.Workspace
		change += serveRowCount(updated)
	}
	if change == 0 {
		return
	}
	st.serveRows[ws] += change
	delete(st.serveUntil, ws)
	if st.serveRows[ws] == 0 {
		delete(st.serveRows, ws)
		st.serveUntil[ws] = revision - 1
	}
}

// serveRowCount returns the contribution of a row to State.serveRows: 1 or 0.
func serveRowCount(re *rowEntry) int {
	if re.row.CutOff == CutOffServe && re.row.Route != AnyRoute {
		return 1
	}
	return 0
}

// withdrawalRefusal returns which instances, once cut off, refuse a withdrawn key of the workspace:
// those whose table has no row with cut_off=serve that the key could use.
func (st *State) withdrawalRefusal(ws gypsumhoist.Workspace) StaleRefusal {
	if st.serveRows[ws] > 0 || st.serveRows[AnyWorkspace] > 0 {
		return StaleRefusal{}
	}
	return StaleRefusal{Guaranteed: true, MinRevision: max(st.serveUntil[ws], st.serveUntil[AnyWorkspace]) + 1}
}
