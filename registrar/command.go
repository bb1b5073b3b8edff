package registrar

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// EditIDMax is the maximum length of an edit id in bytes.
const EditIDMax = 64

// ImportRowsMax is the maximum number of rows in one import or sheet.
const ImportRowsMax = 10_000

// EditID is an idempotency key chosen by the editor: a resend with the same id gets the first answer again.
// If it is empty, the answer is not remembered.
type EditID string

// Command is one change of the table, as stored in the replicated log.
type Command interface{ isCommand() }

// ColumnValue is the text of a column's value, in the form used by CSV files.
type ColumnValue struct {
	Column Column
	Value  string
}

// EditRow changes some columns of a row, or adds the row if Number is 0.
// It is a compare-and-set: it conflicts unless the row's current number is Number.
type EditRow struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Number    uint64
	Values    []ColumnValue
}

// DeleteRow deletes a row. It conflicts unless the row's current number is Number.
type DeleteRow struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Number    uint64
}

// GrantKey stores the hash of a key.
type GrantKey struct{ Grant KeyGrant }

// WithdrawKey revokes a key. GrantKey refuses its id as long as the tombstone is kept.
type WithdrawKey struct{ KeyID KeyID }

// ImportRows adds or changes all of the rows, or none. Each row's Number is the one that the editor has seen.
// Rows equal to the current ones keep their numbers; current rows that the import doesn't name stay.
type ImportRows struct{ Rows []Row }

// SetPlacement starts a generation of a shard group. It conflicts unless the generation is the current one plus one.
type SetPlacement struct{ Placement Placement }

// SetControl adds, updates or removes a control instance.
type SetControl struct {
	Member ControlMember
	Remove bool
}

// DropDomain removes the placements of a permanently decommissioned failure domain.
// While the table has them, a change doesn't count as in force everywhere until instances of the domain have confirmed it.
type DropDomain struct{ Domain gypsumhoist.FailureDomain }

// Replace replaces all rows and keys by those of a sheet. It conflicts unless Base is the version of the sheet in force.
// The numbers of its rows are ignored. Rows and keys equal to the current ones keep their number and revision.
// A sheet that was already accepted, by version and digest, is answered as accepted again and changes nothing,
// even if a later sheet is in force.
type Replace struct {
	Version, Base uint64
	// Digest is the hash of the content. It tells a resend from another sheet with the same version.
	Digest [sha256.Size]byte
	Rows   []Row
	Grants []KeyGrant
	// KeepGrants leaves the current keys unchanged; Grants is ignored then.
	KeepGrants bool
	// Document is the source of the sheet, stored verbatim for ReadSheet.
	Document []byte
}

func (Replace) isCommand()      {}
func (EditRow) isCommand()      {}
func (DropDomain) isCommand()   {}
func (DeleteRow) isCommand()    {}
func (GrantKey) isCommand()     {}
func (WithdrawKey) isCommand()  {}
func (ImportRows) isCommand()   {}
func (SetPlacement) isCommand() {}
func (SetControl) isCommand()   {}

// EncodeCommand encodes a command for State.Apply.
// It panics on an unknown command type.
func EncodeCommand(id EditID, cm Command) []byte {
	ms := &registrarpb.Command{EditId: string(id)}
	switch cd := cm.(type) {
	case EditRow:
		ms.Kind = &registrarpb.Command_EditRow{EditRow: editMessage(cd)}
	case DeleteRow:
		ms.Kind = &registrarpb.Command_DeleteRow{DeleteRow: &registrarpb.DeleteRow{
			Workspace: string(cd.Workspace), Route: cd.Route, Number: cd.Number,
		}}
	case GrantKey:
		ms.Kind = &registrarpb.Command_GrantKey{GrantKey: &registrarpb.GrantKey{
			Workspace: string(cd.Grant.Workspace), KeyId: string(cd.Grant.KeyID), Hash: cd.Grant.Hash[:],
		}}
	case WithdrawKey:
		ms.Kind = &registrarpb.Command_WithdrawKey{WithdrawKey: &registrarpb.WithdrawKey{KeyId: string(cd.KeyID)}}
	case ImportRows:
		im := &registrarpb.ImportRows{}
		for _, rw := range cd.Rows {
			im.Rows = append(im.Rows, rowMessage(rw))
		}
		ms.Kind = &registrarpb.Command_ImportRows{ImportRows: im}
	case SetPlacement:
		ms.Kind = &registrarpb.Command_SetPlacement{SetPlacement: &registrarpb.SetPlacement{
			Placement: placementMessage(cd.Placement),
		}}
	case SetControl:
		ms.Kind = &registrarpb.Command_SetControl{SetControl: &registrarpb.SetControl{
			Member: controlMessage(cd.Member), Remove: cd.Remove,
		}}
	case DropDomain:
		ms.Kind = &registrarpb.Command_DropDomain{DropDomain: &registrarpb.DropDomain{Domain: string(cd.Domain)}}
	case EvacuateDomain:
		ms.Kind = &registrarpb.Command_EvacuateDomain{EvacuateDomain: evacuateMessage(cd)}
	case Replace:
		ms.Kind = &registrarpb.Command_Replace{Replace: replaceMessage(cd)}
	default:
		panic(fmt.Sprintf("registrar: unknown command type %T", cm))
	}
	return marshal(ms)
}

func editMessage(er EditRow) *registrarpb.EditRow {
	ms := &registrarpb.EditRow{Workspace: string(er.Workspace), Route: er.Route, Number: er.Number}
	for _, cv := range er.Values {
		ms.Values = append(ms.Values, &registrarpb.ColumnValue{Column: string(cv.Column), Value: cv.Value})
	}
	return ms
}

// marshal encodes a message of this package. It returns nil if a text is not valid UTF-8, the only possible failure.
func marshal(ms proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ms)
	if err != nil {
		return nil
	}
	return data
}
