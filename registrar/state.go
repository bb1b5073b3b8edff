package registrar

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// EditHistoryMax is the number of edit ids that are remembered with their answers; the oldest is dropped first.
// At 11,000 changes a day it covers more than a day. A resend of an edit that was dropped is evaluated again:
// the row's number then makes it a conflict, and a grant or withdrawal is refused because it was already done.
const EditHistoryMax = 16_384

// State is the deterministic state machine behind the replicated log:
// the same commands in the same order give the same answers and the same state on every replica.
// It is not safe for concurrent use; the tables that it returns are.
type State struct {
	contents *contents
	edits    *editHistory
	// serveUntil maps a workspace whose rows are now all cut_off=refuse to the last revision with one that was cut_off=serve.
	serveUntil map[gypsumhoist.Workspace]uint64
	// serveRows counts the rows with cut_off=serve of each workspace.
	serveRows map[gypsumhoist.Workspace]int
	table     *Table
	sheet     sheetState
}

// NewState returns an empty state at revision 0.
func NewState() *State {
	return &State{
		contents:   newContents(),
		edits:      newEditHistory(EditHistoryMax),
		serveUntil: map[gypsumhoist.Workspace]uint64{},
		serveRows:  map[gypsumhoist.Workspace]int{},
	}
}

// Table returns the current table. It is built on the first call after a change.
func (st *State) Table() *Table {
	if st.table == nil {
		st.table = buildTable(st.contents.clone())
	}
	return st.table
}

// Apply executes a command encoded by EncodeCommand and returns an answer for DecodeAnswer.
// proposed is the wall clock of the proposer; it is only stored as information and has no effect on the result.
// Invalid bytes change nothing; the answer is OutcomeRefused.
func (st *State) Apply(cmd []byte, proposed time.Time) []byte {
	ms := &registrarpb.Command{}
	if err := proto.Unmarshal(cmd, ms); err != nil {
		return st.encode(refused("the command can't be read"))
	}
	if ms.GetEditId() == "" {
		return st.encode(st.execute(ms, proposed))
	}
	digest := sha256.Sum256(editContent(ms, cmd))
	if ee := st.edits.find(EditID(ms.GetEditId())); ee != nil {
		if !bytes.Equal(ee.digest, digest[:]) {
			return st.encode(refused("edit id %q was used for another edit; choose a new one", ms.GetEditId()))
		}
		return ee.answer
	}
	if len(ms.GetEditId()) > EditIDMax {
		return st.encode(refused("an edit id of %d bytes is not allowed; allowed: up to %d", len(ms.GetEditId()), EditIDMax))
	}
	answer := st.encode(st.execute(ms, proposed))
	st.edits.add(&editEntry{id: EditID(ms.GetEditId()), digest: digest[:], answer: answer})
	return answer
}

// editContent returns the part of a command that must be equal in a resend.
// The key of a grant is not part of it, as a resend may carry a newly generated one.
func editContent(ms *registrarpb.Command, cmd []byte) []byte {
	if gk := ms.GetGrantKey(); gk != nil {
		return []byte("grant_key " + gk.GetWorkspace())
	}
	return cmd
}

func (st *State) encode(as Answer) []byte {
	as.Revision = st.contents.revision
	return marshal(as.message())
}

// execute applies a command. It creates a revision only if something changes.
func (st *State) execute(ms *registrarpb.Command, proposed time.Time) Answer {
	switch kd := ms.GetKind().(type) {
	case *registrarpb.Command_EditRow:
		return st.editRow(kd.EditRow)
	case *registrarpb.Command_DeleteRow:
		return st.deleteRow(kd.DeleteRow)
	case *registrarpb.Command_GrantKey:
		return st.grantKey(kd.GrantKey, proposed)
	case *registrarpb.Command_WithdrawKey:
		return st.withdrawKey(KeyID(kd.WithdrawKey.GetKeyId()))
	case *registrarpb.Command_ImportRows:
		return st.importRows(kd.ImportRows)
	case *registrarpb.Command_SetPlacement:
		return st.setPlacement(kd.SetPlacement.GetPlacement(), proposed)
	case *registrarpb.Command_SetControl:
		return st.setControl(kd.SetControl)
	case *registrarpb.Command_DropDomain:
		return st.dropDomain(gypsumhoist.FailureDomain(kd.DropDomain.GetDomain()))
	case *registrarpb.Command_EvacuateDomain:
		return st.evacuateDomain(kd.EvacuateDomain)
	case *registrarpb.Command_Replace:
		return st.replace(kd.Replace, proposed)
	default:
		return refused("the command is of a kind that is unknown here")
	}
}

// nextRevision advances the revision, invalidates the cached table and returns the new revision.
func (st *State) nextRevision() uint64 {
	st.contents.revision++
	st.table = nil
	return st.contents.revision
}

// Snapshot returns the whole state for Restore.
func (st *State) Snapshot() []byte {
	ms := &registrarpb.Snapshot{Table: st.contents.delta(0), Edits: st.edits.messages(), Sheet: st.sheet.message()}
	for ws, rv := range sorted(st.serveUntil) {
		ms.ServeUntil = append(ms.ServeUntil, &registrarpb.ServeUntil{Workspace: string(ws), Revision: rv})
	}
	return marshal(ms)
}

// Restore replaces the state by that of a snapshot. On error the state is unchanged.
func (st *State) Restore(data []byte) error {
	ms := &registrarpb.Snapshot{}
	if err := proto.Unmarshal(data, ms); err != nil {
		return fmt.Errorf("restore table snapshot: %w", err)
	}
	if ms.GetTable() == nil || !ms.GetTable().GetFull() {
		return fmt.Errorf("restore table snapshot: it has no full table")
	}
	cs, err := newContents().withDelta(ms.GetTable())
	if err != nil {
		return fmt.Errorf("restore table snapshot: %w", err)
	}
	next := NewState()
	next.contents = cs
	for nm, re := range cs.rows {
		if serveRowCount(re) > 0 {
			next.serveRows[nm.workspace]++
		}
	}
	for _, em := range ms.GetEdits() {
		next.edits.add(&editEntry{id: EditID(em.GetEditId()), digest: em.GetDigest(), answer: em.GetAnswer()})
	}
	for _, su := range ms.GetServeUntil() {
		next.serveUntil[gypsumhoist.Workspace(su.GetWorkspace())] = su.GetRevision()
	}
	next.sheet = sheetFromMessage(ms.GetSheet())
	*st = *next
	return nil
}
