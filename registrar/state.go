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

// EditsRemembered is how many edit ids, with their answers, are remembered; the oldest is forgotten first.
// At 11,000 changes a day it reaches back more than a day. A resend of a forgotten edit is judged anew:
// the row's number then makes it a conflict, and a grant or withdrawal is refused as done already.
const EditsRemembered = 16_384

// State is the table and the keys as a deterministic state machine behind the replicated log:
// the same commands in the same order give the same answers and the same state on every replica.
// It is not safe for concurrent use, but for the tables that it gives out.
type State struct {
	all   *contents
	edits *editMemory
	// serveUntil is, of workspaces whose rows are all cut_off=refuse now, the last revision of which that was not so.
	serveUntil map[gypsumhoist.Workspace]uint64
	// served counts the rows of each workspace that are cut_off=serve.
	served map[gypsumhoist.Workspace]int
	table  *Table
	sheet  sheet
}

// NewState returns an empty state of revision 0.
func NewState() *State {
	return &State{
		all:        newContents(),
		edits:      newEditMemory(EditsRemembered),
		serveUntil: map[gypsumhoist.Workspace]uint64{},
		served:     map[gypsumhoist.Workspace]int{},
	}
}

// Table returns the table as it is now. It is built when it was not since the last change.
func (st *State) Table() *Table {
	if st.table == nil {
		st.table = buildTable(st.all.clone())
	}
	return st.table
}

// Apply follows one command of EncodeCommand and returns the answer for DecodeAnswer.
// proposed is the wall clock of the proposer; it decides nothing and is only kept for people.
// Bytes that are no command change nothing and are answered as refused.
func (st *State) Apply(cmd []byte, proposed time.Time) []byte {
	ms := &registrarpb.Command{}
	if err := proto.Unmarshal(cmd, ms); err != nil {
		return st.encode(refused("the command can't be read"))
	}
	if ms.GetEditId() == "" {
		return st.encode(st.follow(ms, proposed))
	}
	digest := sha256.Sum256(editContent(ms, cmd))
	if em := st.edits.find(EditID(ms.GetEditId())); em != nil {
		if !bytes.Equal(em.digest, digest[:]) {
			return st.encode(refused("edit id %q was used for another edit; choose a new one", ms.GetEditId()))
		}
		return em.answer
	}
	if len(ms.GetEditId()) > EditIDMax {
		return st.encode(refused("an edit id of %d bytes is not allowed; allowed: up to %d", len(ms.GetEditId()), EditIDMax))
	}
	answer := st.encode(st.follow(ms, proposed))
	st.edits.add(&editEntry{id: EditID(ms.GetEditId()), digest: digest[:], answer: answer})
	return answer
}

// editContent returns what must be the same in a resend of an edit.
// The key of a grant is not part of it, as each resend may bring a new one.
func editContent(ms *registrarpb.Command, cmd []byte) []byte {
	if gk := ms.GetGrantKey(); gk != nil {
		return []byte("grant_key " + gk.GetWorkspace())
	}
	return cmd
}

func (st *State) encode(as Answer) []byte {
	as.Revision = st.all.revision
	return marshal(as.message())
}

// follow carries the command out; a revision is made only when something has changed.
func (st *State) follow(ms *registrarpb.Command, proposed time.Time) Answer {
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
	case *registrarpb.Command_Replace:
		return st.replace(kd.Replace, proposed)
	default:
		return refused("the command is of a kind that is unknown here")
	}
}

// step opens the next revision.
func (st *State) step() uint64 {
	st.all.revision++
	st.table = nil
	return st.all.revision
}

// Snapshot returns the whole state for Restore.
func (st *State) Snapshot() []byte {
	ms := &registrarpb.Snapshot{Table: st.all.delta(0), Edits: st.edits.messages(), Sheet: st.sheet.message()}
	for ws, rv := range sorted(st.serveUntil) {
		ms.ServeUntil = append(ms.ServeUntil, &registrarpb.ServeUntil{Workspace: string(ws), Revision: rv})
	}
	return marshal(ms)
}

// Restore replaces the state by that of a snapshot. An unreadable snapshot is an error and changes nothing.
func (st *State) Restore(data []byte) error {
	ms := &registrarpb.Snapshot{}
	if err := proto.Unmarshal(data, ms); err != nil {
		return fmt.Errorf("snapshot of the table: %w", err)
	}
	if ms.GetTable() == nil || !ms.GetTable().GetFull() {
		return fmt.Errorf("snapshot of the table: it holds no whole table")
	}
	all, err := newContents().after(ms.GetTable())
	if err != nil {
		return fmt.Errorf("snapshot of the table: %w", err)
	}
	next := NewState()
	next.all = all
	for nm, re := range all.rows {
		if servedCount(re) > 0 {
			next.served[nm.workspace]++
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
