package registrar

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// SheetHistoryMax is the number of accepted sheets that are remembered to recognize resends; the oldest is dropped first.
const SheetHistoryMax = 16_384

// GrantsMax is the maximum number of keys in one sheet.
const GrantsMax = 100_000

// Sheet is the newest sheet, a complete set of rows and keys, that Replace put in force. It must not be modified.
type Sheet struct {
	// Version is zero if no sheet was accepted yet.
	Version uint64
	// Revision is the table revision that the sheet created.
	Revision uint64
	Document []byte
}

// acceptedSheet is the record of one accepted sheet.
type acceptedSheet struct {
	version  uint64
	digest   []byte
	revision uint64
}

// sheetState is the part of State that Replace uses.
type sheetState struct {
	current  Sheet
	accepted []acceptedSheet // sorted by version
}

// Sheet returns the sheet in force.
func (st *State) Sheet() Sheet { return st.sheet.current }

// find returns the accepted sheet with the version, or nil.
func (ss *sheetState) find(version uint64) *acceptedSheet {
	at, found := slices.BinarySearchFunc(ss.accepted, version, func(as acceptedSheet, vr uint64) int {
		return cmp.Compare(as.version, vr)
	})
	if !found {
		return nil
	}
	return &ss.accepted[at]
}

func (ss *sheetState) accept(as acceptedSheet, document []byte) {
	ss.current = Sheet{Version: as.version, Revision: as.revision, Document: document}
	ss.accepted = append(ss.accepted, as)
	if len(ss.accepted) > SheetHistoryMax {
		ss.accepted = slices.Delete(ss.accepted, 0, len(ss.accepted)-SheetHistoryMax)
	}
}

func (ss *sheetState) message() *registrarpb.Sheet {
	ms := &registrarpb.Sheet{Version: ss.current.Version, Revision: ss.current.Revision, Document: ss.current.Document}
	for _, as := range ss.accepted {
		ms.Accepted = append(ms.Accepted, &registrarpb.AcceptedSheet{Version: as.version, Digest: as.digest, Revision: as.revision})
	}
	return ms
}

func sheetFromMessage(ms *registrarpb.Sheet) sheetState {
	ss := sheetState{current: Sheet{Version: ms.GetVersion(), Revision: ms.GetRevision(), Document: ms.GetDocument()}}
	for _, as := range ms.GetAccepted() {
		ss.accepted = append(ss.accepted, acceptedSheet{version: as.GetVersion(), digest: as.GetDigest(), revision: as.GetRevision()})
	}
	return ss
}

// replace replaces all rows and keys by those of a sheet.
func (st *State) replace(ms *registrarpb.Replace, proposed time.Time) Answer {
	if as, settled := st.checkVersion(ms); settled {
		return as
	}
	rows, grants, err := sheetContents(ms)
	if err != nil {
		return refusedError(err)
	}
	revision := st.nextRevision()
	refusal := StaleRefusal{Guaranteed: true}.and(st.replaceRows(rows, revision))
	if !ms.GetKeepGrants() {
		for _, ws := range st.replaceGrants(grants, revision, proposed) {
			refusal = refusal.and(st.withdrawalRefusal(ws))
		}
	}
	st.sheet.accept(acceptedSheet{version: ms.GetVersion(), digest: ms.GetDigest(), revision: revision}, ms.GetDocument())
	as := accepted(fmt.Sprintf("sheet version %d is in force in the place of version %d", ms.GetVersion(), ms.GetBase()))
	as.Sheet = ms.GetVersion()
	as.StaleRefusal = refusal
	return as
}

// checkVersion answers sheets that were accepted before, whose base is not in force, or whose version is not higher
// than the current one. The second result is false if the sheet is to be applied.
func (st *State) checkVersion(ms *registrarpb.Replace) (Answer, bool) {
	current := st.sheet.current.Version
	if old := st.sheet.find(ms.GetVersion()); old != nil && bytes.Equal(old.digest, ms.GetDigest()) {
		as := accepted(fmt.Sprintf("sheet version %d was accepted before; version %d is in force", ms.GetVersion(), current))
		as.Sheet = current
		return as, true
	}
	if ms.GetBase() != current {
		as := conflict(fmt.Sprintf("sheet version %d is in force, but the new one was made from version %d", current, ms.GetBase()))
		as.Sheet = current
		return as, true
	}
	if ms.GetVersion() <= current {
		as := refused("sheet version %d is not above version %d, which is in force", ms.GetVersion(), current)
		as.Sheet = current
		return as, true
	}
	return Answer{}, false
}

// sheetContents decodes and validates all rows and keys of a sheet.
func sheetContents(ms *registrarpb.Replace) (map[rowName]Row, map[KeyID]KeyGrant, error) {
	if len(ms.GetDigest()) != sha256.Size || len(ms.GetRows()) > ImportRowsMax || len(ms.GetGrants()) > GrantsMax {
		return nil, nil, fmt.Errorf("a sheet needs a digest of %d bytes, up to %d rows and up to %d keys",
			sha256.Size, ImportRowsMax, GrantsMax)
	}
	rows := make(map[rowName]Row, len(ms.GetRows()))
	owners := map[string]gypsumhoist.Workspace{}
	for _, rm := range ms.GetRows() {
		re, err := rowFromMessage(rm)
		if err != nil {
			return nil, nil, err
		}
		nm := rowName{re.row.Workspace, re.row.Route}
		if _, duplicate := rows[nm]; duplicate {
			return nil, nil, fmt.Errorf("row %q occurs twice", re.row.Name())
		}
		if owner, taken := owners[nm.route]; taken && re.row.Open {
			return nil, nil, openConflict(re.row, owner)
		}
		if re.row.Open {
			owners[nm.route] = nm.workspace
		}
		rows[nm] = re.row
	}
	grants := make(map[KeyID]KeyGrant, len(ms.GetGrants()))
	for _, gm := range ms.GetGrants() {
		ge, err := grantFromMessage(gm)
		if err != nil {
			return nil, nil, err
		}
		if _, duplicate := grants[ge.grant.KeyID]; duplicate {
			return nil, nil, fmt.Errorf("key %s of workspace %q occurs twice", ge.grant.KeyID, ge.grant.Workspace)
		}
		grants[ge.grant.KeyID] = ge.grant
	}
	return rows, grants, nil
}

// replaceRows replaces all current rows and returns which instances, once cut off, refuse what the replaced rows allowed.
func (st *State) replaceRows(rows map[rowName]Row, revision uint64) StaleRefusal {
	refusal := StaleRefusal{Guaranteed: true}
	for _, nm := range slices.SortedFunc(maps.Keys(st.contents.rows), compareRowNames) {
		old := st.contents.rows[nm]
		if _, kept := rows[nm]; kept {
			continue
		}
		refusal = refusal.and(staleRefusalOf(old))
		st.contents.remove(nm.entryName(), tombstone{revision: revision, number: old.row.Number})
		st.updateServeRows(old, nil, revision)
	}
	for _, nm := range slices.SortedFunc(maps.Keys(rows), compareRowNames) {
		rw, old := rows[nm], st.contents.rows[nm]
		if old != nil {
			rw.Number = old.row.Number
			if old.row == rw {
				continue
			}
			refusal = refusal.and(staleRefusalOf(old))
		}
		st.putRow(rw, revision)
	}
	return refusal
}

// replaceGrants replaces all current keys and returns the workspaces that lose one.
func (st *State) replaceGrants(grants map[KeyID]KeyGrant, revision uint64, proposed time.Time) []gypsumhoist.Workspace {
	var affected []gypsumhoist.Workspace
	for id, old := range sorted(st.contents.grants) {
		gr, kept := grants[id]
		if kept && old.sameKey(gr) {
			continue
		}
		affected = append(affected, old.grant.Workspace)
		if !kept {
			st.contents.remove(id.entryName(), tombstone{revision: revision})
		}
	}
	for id, gr := range sorted(grants) {
		if old := st.contents.grants[id]; old != nil && old.sameKey(gr) {
			continue
		}
		gr.Granted = storedTime(proposed)
		st.contents.putGrant(&grantEntry{grant: gr, revision: revision})
	}
	slices.Sort(affected)
	return slices.Compact(affected)
}

// sameKey reports whether a grant has the same workspace and hash; the grant times may differ.
func (ge *grantEntry) sameKey(gr KeyGrant) bool {
	return gr.Workspace == ge.grant.Workspace && gr.Hash == ge.grant.Hash
}

func replaceMessage(cd Replace) *registrarpb.Replace {
	ms := &registrarpb.Replace{Version: cd.Version, Base: cd.Base, Digest: cd.Digest[:], Document: cd.Document, KeepGrants: cd.KeepGrants}
	for _, rw := range cd.Rows {
		rw.Number = 0
		ms.Rows = append(ms.Rows, rowMessage(rw))
	}
	for _, gr := range cd.Grants {
		ms.Grants = append(ms.Grants, &registrarpb.KeyGrant{
			Workspace: string(gr.Workspace), KeyId: string(gr.KeyID), Hash: gr.Hash[:],
		})
	}
	return ms
}
