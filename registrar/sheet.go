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

// SheetsRemembered is how many accepted sheets a resend is known of; the oldest is forgotten first.
const SheetsRemembered = 16_384

// GrantsMax bounds the keys of one sheet.
const GrantsMax = 100_000

// Sheet is the newest sheet that Replace put in force. It must not be changed.
type Sheet struct {
	// Version is zero while there is none.
	Version uint64
	// Revision is the one that the sheet made.
	Revision uint64
	Document []byte
}

// acceptedSheet is what is remembered of one accepted sheet.
type acceptedSheet struct {
	version  uint64
	digest   []byte
	revision uint64
}

// sheet is the part of the state that belongs to whole replacements.
type sheet struct {
	now      Sheet
	accepted []acceptedSheet // in order of versions
}

// Sheet returns the sheet in force.
func (st *State) Sheet() Sheet { return st.sheet.now }

// find returns what is remembered of a version, or nil.
func (sh *sheet) find(version uint64) *acceptedSheet {
	at, found := slices.BinarySearchFunc(sh.accepted, version, func(as acceptedSheet, vr uint64) int {
		return cmp.Compare(as.version, vr)
	})
	if !found {
		return nil
	}
	return &sh.accepted[at]
}

func (sh *sheet) accept(as acceptedSheet, document []byte) {
	sh.now = Sheet{Version: as.version, Revision: as.revision, Document: document}
	sh.accepted = append(sh.accepted, as)
	if len(sh.accepted) > SheetsRemembered {
		sh.accepted = slices.Delete(sh.accepted, 0, len(sh.accepted)-SheetsRemembered)
	}
}

func (sh *sheet) message() *registrarpb.Sheet {
	ms := &registrarpb.Sheet{Version: sh.now.Version, Revision: sh.now.Revision, Document: sh.now.Document}
	for _, as := range sh.accepted {
		ms.Accepted = append(ms.Accepted, &registrarpb.AcceptedSheet{Version: as.version, Digest: as.digest, Revision: as.revision})
	}
	return ms
}

func sheetFromMessage(ms *registrarpb.Sheet) sheet {
	sh := sheet{now: Sheet{Version: ms.GetVersion(), Revision: ms.GetRevision(), Document: ms.GetDocument()}}
	for _, as := range ms.GetAccepted() {
		sh.accepted = append(sh.accepted, acceptedSheet{version: as.GetVersion(), digest: as.GetDigest(), revision: as.GetRevision()})
	}
	return sh
}

// replace puts a sheet in the place of all rows and keys.
func (st *State) replace(ms *registrarpb.Replace, proposed time.Time) Answer {
	if as, settled := st.judgeVersion(ms); settled {
		return as
	}
	rows, grants, err := sheetContents(ms)
	if err != nil {
		return refusedError(err)
	}
	revision := st.step()
	ended := Ended{Refusable: true}.and(st.replaceRows(rows, revision))
	if !ms.GetKeepGrants() {
		for _, ws := range st.replaceGrants(grants, revision, proposed) {
			ended = ended.and(st.withdrawalEnds(ws))
		}
	}
	st.sheet.accept(acceptedSheet{version: ms.GetVersion(), digest: ms.GetDigest(), revision: revision}, ms.GetDocument())
	as := accepted(fmt.Sprintf("sheet version %d is in force in the place of version %d", ms.GetVersion(), ms.GetBase()))
	as.Sheet = ms.GetVersion()
	as.Ended = ended
	return as
}

// judgeVersion settles sheets that were accepted before, whose base is not in force, or whose version is no step up.
func (st *State) judgeVersion(ms *registrarpb.Replace) (Answer, bool) {
	now := st.sheet.now.Version
	if old := st.sheet.find(ms.GetVersion()); old != nil && bytes.Equal(old.digest, ms.GetDigest()) {
		as := accepted(fmt.Sprintf("sheet version %d was accepted before; version %d is in force", ms.GetVersion(), now))
		as.Sheet = now
		return as, true
	}
	if ms.GetBase() != now {
		as := conflict(fmt.Sprintf("sheet version %d is in force, but the new one was made from version %d", now, ms.GetBase()))
		as.Sheet = now
		return as, true
	}
	if ms.GetVersion() <= now {
		as := refused("sheet version %d is not above version %d, which is in force", ms.GetVersion(), now)
		as.Sheet = now
		return as, true
	}
	return Answer{}, false
}

// sheetContents reads and checks all rows and keys of a sheet.
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
		if _, twice := rows[nm]; twice {
			return nil, nil, fmt.Errorf("row %q occurs twice", re.row.Name())
		}
		if owner, taken := owners[nm.route]; taken && re.row.Open {
			return nil, nil, openTaken(re.row, owner)
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
		if _, twice := grants[ge.grant.KeyID]; twice {
			return nil, nil, fmt.Errorf("key %s of workspace %q occurs twice", ge.grant.KeyID, ge.grant.Workspace)
		}
		grants[ge.grant.KeyID] = ge.grant
	}
	return rows, grants, nil
}

// replaceRows puts rows in place of all present ones and says who refuses, once cut off, what that ends.
func (st *State) replaceRows(rows map[rowName]Row, revision uint64) Ended {
	ended := Ended{Refusable: true}
	for _, nm := range slices.SortedFunc(maps.Keys(st.all.rows), compareRowNames) {
		old := st.all.rows[nm]
		if _, stays := rows[nm]; stays {
			continue
		}
		ended = ended.and(endedBy(old))
		st.all.remove(nm.thing(), goneEntry{revision: revision, number: old.row.Number})
		st.countServed(old, nil, revision)
	}
	for _, nm := range slices.SortedFunc(maps.Keys(rows), compareRowNames) {
		rw, old := rows[nm], st.all.rows[nm]
		if old != nil {
			rw.Number = old.row.Number
			if old.row == rw {
				continue
			}
			ended = ended.and(endedBy(old))
		}
		st.putRow(rw, revision)
	}
	return ended
}

// replaceGrants puts keys in place of all present ones and returns the workspaces that lose one.
func (st *State) replaceGrants(grants map[KeyID]KeyGrant, revision uint64, proposed time.Time) []gypsumhoist.Workspace {
	var losers []gypsumhoist.Workspace
	for id, old := range sorted(st.all.grants) {
		gr, stays := grants[id]
		if stays && old.serves(gr) {
			continue
		}
		losers = append(losers, old.grant.Workspace)
		if !stays {
			st.all.remove(id.thing(), goneEntry{revision: revision})
		}
	}
	for id, gr := range sorted(grants) {
		if old := st.all.grants[id]; old != nil && old.serves(gr) {
			continue
		}
		gr.Granted = wallClock(proposed)
		st.all.putGrant(&grantEntry{grant: gr, revision: revision})
	}
	slices.Sort(losers)
	return slices.Compact(losers)
}

// serves reports whether a granted key is the same one, for the same workspace, whenever it was granted.
func (ge *grantEntry) serves(gr KeyGrant) bool {
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
