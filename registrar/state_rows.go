package registrar

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// conflictsMax is the maximum number of current rows in an answer.
const conflictsMax = 8

// DefaultRow returns a row with the default values of a new row.
// Service, rate and burst have no defaults and must be set.
func DefaultRow(ws gypsumhoist.Workspace, route string) Row {
	return Row{
		Workspace:    ws,
		Route:        route,
		Importance:   50,
		Weight:       100,
		Retries:      2,
		RetryPercent: 20,
		Deadline:     10 * time.Second,
		Objective:    99_900,
	}
}

func (st *State) editRow(ms *registrarpb.EditRow) Answer {
	nm := rowName{gypsumhoist.Workspace(ms.GetWorkspace()), ms.GetRoute()}
	old := st.contents.rows[nm]
	if as, stale := numberConflict(nm, old, ms.GetNumber()); stale {
		return as
	}
	rw := DefaultRow(nm.workspace, nm.route)
	if old != nil {
		rw = old.row
	}
	if err := setColumns(&rw, ms.GetValues()); err != nil {
		return refusedError(err)
	}
	if err := st.checkRow(rw); err != nil {
		return refusedError(err)
	}
	refusal := staleRefusalOf(old)
	rw = st.putRow(rw, st.nextRevision())
	as := accepted(fmt.Sprintf("row %q is now number %d", rw.Name(), rw.Number), rw)
	as.StaleRefusal = refusal
	return as
}

func setColumns(rw *Row, values []*registrarpb.ColumnValue) error {
	for _, cv := range values {
		cl := Column(cv.GetColumn())
		switch cl {
		case ColumnWorkspace, ColumnRoute, ColumnNumber:
			return &ValueError{
				Row: rw.Name(), Column: cl, Value: cv.GetValue(),
				Allowed: "no edit; workspace and route name the row and number counts its edits",
			}
		}
		if err := rw.Set(cl, cv.GetValue()); err != nil {
			return err
		}
	}
	return nil
}

// checkRow validates the row's values and that no other workspace opens its route to callers without a key.
func (st *State) checkRow(rw Row) error {
	if err := rw.Check(); err != nil {
		return err
	}
	if !rw.Open {
		return nil
	}
	owner, taken := st.contents.openOwner(rw.Route)
	if taken && owner != rw.Workspace {
		return openConflict(rw, owner)
	}
	return nil
}

func openConflict(rw Row, owner gypsumhoist.Workspace) error {
	return &ValueError{
		Row: rw.Name(), Column: ColumnOpen, Value: rw.Text(ColumnOpen),
		Allowed: fmt.Sprintf("false, as a route is open on behalf of one workspace and %q has it", owner),
	}
}

// putRow stores a validated row under its next number.
func (st *State) putRow(rw Row, revision uint64) Row {
	old := st.contents.rows[rowName{rw.Workspace, rw.Route}]
	rw.Number = st.contents.nextNumber(rowName{rw.Workspace, rw.Route})
	re := &rowEntry{revision: revision}
	if old != nil {
		re.refuseSince = old.refuseSince
	}
	switch {
	case rw.CutOff != CutOffRefuse:
		re.refuseSince = 0
	case re.refuseSince == 0:
		re.refuseSince = revision
	}
	re.row = rw
	st.contents.putRow(re)
	st.updateServeRows(old, re, revision)
	return rw
}

func (st *State) deleteRow(ms *registrarpb.DeleteRow) Answer {
	nm := rowName{gypsumhoist.Workspace(ms.GetWorkspace()), ms.GetRoute()}
	old := st.contents.rows[nm]
	if old == nil {
		return refused("there is no row %q", string(nm.workspace)+" "+nm.route)
	}
	if as, stale := numberConflict(nm, old, ms.GetNumber()); stale {
		return as
	}
	revision := st.nextRevision()
	st.contents.remove(nm.entryName(), tombstone{revision: revision, number: old.row.Number})
	st.updateServeRows(old, nil, revision)
	as := accepted(fmt.Sprintf("row %q is deleted", old.row.Name()), old.row)
	as.StaleRefusal = staleRefusalOf(old)
	return as
}

// importRows validates all rows against the current state and then stores them in one revision.
func (st *State) importRows(ms *registrarpb.ImportRows) Answer {
	if len(ms.GetRows()) > ImportRowsMax {
		return refused("an import of %d rows is not allowed; allowed: up to %d", len(ms.GetRows()), ImportRowsMax)
	}
	var changed, current []Row
	seen := map[rowName]bool{}
	refusal := StaleRefusal{Guaranteed: true}
	for _, rm := range ms.GetRows() {
		re, err := rowFromMessage(rm)
		if err != nil {
			return refusedError(err)
		}
		nm := rowName{re.row.Workspace, re.row.Route}
		if seen[nm] {
			return refused("row %q occurs twice", re.row.Name())
		}
		seen[nm] = true
		old := st.contents.rows[nm]
		if _, stale := numberConflict(nm, old, re.row.Number); stale {
			current = append(current, currentRow(nm, old))
			continue
		}
		if old == nil || old.row != re.row {
			changed = append(changed, re.row)
			refusal = refusal.and(staleRefusalOf(old))
		}
	}
	if len(current) > 0 {
		return importConflict(current)
	}
	if err := st.checkOpen(changed); err != nil {
		return refusedError(err)
	}
	if len(changed) == 0 {
		return accepted("all rows are as they were")
	}
	revision := st.nextRevision()
	for _, rw := range changed {
		st.putRow(rw, revision)
	}
	as := accepted(fmt.Sprintf("%s changed, %d stayed as they were", rowsText(len(changed)), len(seen)-len(changed)))
	as.Changed = len(changed)
	as.StaleRefusal = refusal
	return as
}

// importConflict lists the rows whose numbers differ; missing rows have number 0.
func importConflict(current []Row) Answer {
	names := ""
	var rows []Row
	for ix, rw := range current {
		if ix == conflictsMax {
			names += ", …"
			break
		}
		if ix > 0 {
			names += ", "
		}
		names += fmt.Sprintf("%q is number %d", rw.Name(), rw.Number)
		if rw.Number > 0 {
			rows = append(rows, rw)
		}
	}
	return conflict(fmt.Sprintf("nothing was imported; changed since the export: %s: %s", rowsText(len(current)), names), rows...)
}

// checkOpen verifies that, with the changed rows, no route is open on behalf of more than one workspace.
func (st *State) checkOpen(changed []Row) error {
	owners := map[string]gypsumhoist.Workspace{}
	replaced := map[rowName]bool{}
	for _, rw := range changed {
		replaced[rowName{rw.Workspace, rw.Route}] = true
	}
	for nm, re := range st.contents.rows {
		if re.row.Open && !replaced[nm] {
			owners[nm.route] = nm.workspace
		}
	}
	for _, rw := range changed {
		if !rw.Open {
			continue
		}
		if owner, taken := owners[rw.Route]; taken && owner != rw.Workspace {
			return openConflict(rw, owner)
		}
		owners[rw.Route] = rw.Workspace
	}
	return nil
}

// numberConflict reports whether an edit based on the given number conflicts with the current row, and returns the answer.
func numberConflict(nm rowName, old *rowEntry, number uint64) (Answer, bool) {
	name := string(nm.workspace) + " " + nm.route
	switch {
	case old == nil && number == 0:
		return Answer{}, false
	case old == nil:
		return conflict(fmt.Sprintf("there is no row %q any more; the edit had seen number %d", name, number)), true
	case old.row.Number == number:
		return Answer{}, false
	default:
		return conflict(fmt.Sprintf("row %q is number %d, but the edit had seen number %d", name, old.row.Number, number),
			old.row), true
	}
}

func currentRow(nm rowName, old *rowEntry) Row {
	if old == nil {
		return Row{Workspace: nm.workspace, Route: nm.route}
	}
	return old.row
}

func refusedError(err error) Answer {
	if ve := (*ValueError)(nil); errors.As(err, &ve) {
		return refusedValue(ve)
	}
	return refused("%s", err)
}

func rowsText(count int) string {
	if count == 1 {
		return "1 row"
	}
	return fmt.Sprintf("%d rows", count)
}
