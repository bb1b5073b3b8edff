package registrar

import "github.com/gypsumhoist/gypsumhoist"

// endedBy says who refuses, once cut off, what a change of the row ends. A row that was not there ends nothing,
// yet a holder of an older table may have an even older row of its name, so that nothing is promised.
func endedBy(old *rowEntry) Ended {
	if old == nil || old.refuseSince == 0 {
		return Ended{}
	}
	return Ended{Refusable: true, Since: old.refuseSince}
}

// and returns who refuses what two changes end together.
func (ed Ended) and(other Ended) Ended {
	if !ed.Refusable || !other.Refusable {
		return Ended{}
	}
	return Ended{Refusable: true, Since: max(ed.Since, other.Since)}
}

// countServed keeps served and serveUntil after a change of a row; nil stands for no row.
func (st *State) countServed(old, now *rowEntry, revision uint64) {
	change := 0
	var ws gypsumhoist.Workspace
	if old != nil {
		ws = old.row.Workspace
		change -= servedCount(old)
	}
	if now != nil {
		ws = now.row.Workspace
		change += servedCount(now)
	}
	if change == 0 {
		return
	}
	st.served[ws] += change
	delete(st.serveUntil, ws)
	if st.served[ws] == 0 {
		delete(st.served, ws)
		st.serveUntil[ws] = revision - 1
	}
}

func servedCount(re *rowEntry) int {
	if re.row.CutOff == CutOffServe && re.row.Route != AnyRoute {
		return 1
	}
	return 0
}

// withdrawalEnds says who refuses a withdrawn key of the workspace once cut off.
func (st *State) withdrawalEnds(ws gypsumhoist.Workspace) Ended {
	if st.served[ws] > 0 || st.served[AnyWorkspace] > 0 {
		return Ended{}
	}
	return Ended{Refusable: true, Since: max(st.serveUntil[ws], st.serveUntil[AnyWorkspace]) + 1}
}
