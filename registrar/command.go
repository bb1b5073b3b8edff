package registrar

import (
	"crypto/sha256"
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// EditIDMax bounds an edit id, in bytes.
const EditIDMax = 64

// ImportRowsMax bounds the rows of one import.
const ImportRowsMax = 10_000

// EditID names an edit, of the editor's choice. A resend under it gets the first answer again.
// Empty means that the answer need not be remembered.
type EditID string

// Command is one change of the table or the keys, as it stands in the replicated log.
type Command interface{ isCommand() }

// ColumnValue is a value for one column, as it stands in a CSV file.
type ColumnValue struct {
	Column Column
	Value  string
}

// EditRow changes some columns of a row, or adds the row when Number is 0.
// It is accepted only while the row's number is Number.
type EditRow struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Number    uint64
	Values    []ColumnValue
}

// DeleteRow deletes a row while its number is Number.
type DeleteRow struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Number    uint64
}

// GrantKey stores the hash of a key that MintKey made.
type GrantKey struct{ Grant KeyGrant }

// WithdrawKey ends a key for good.
type WithdrawKey struct{ KeyID KeyID }

// ImportRows puts all rows in place, or none of them. Each row's Number is the one that the editor has seen.
// A row that equals the present one stays as it is; present rows that don't occur stay.
type ImportRows struct{ Rows []Row }

// SetPlacement starts a generation of a shard group; it must be the present one plus one.
type SetPlacement struct{ Placement Placement }

// SetControl notes or removes a control instance.
type SetControl struct {
	Member ControlMember
	Remove bool
}

// DropDomain removes the placements of a failure domain that was taken out for good.
// While they stand, no change is in force everywhere before instances of the domain have confirmed it.
type DropDomain struct{ Domain gypsumhoist.FailureDomain }

// Replace puts a whole sheet in the place of all rows and keys, while Base is the version of the sheet in force.
// The rows' numbers count nothing. Rows and keys that equal the present ones keep number and revision.
// A sheet that was accepted before is accepted again, as a resend, whatever has come since.
type Replace struct {
	Version, Base uint64
	// Digest names the content, so that a resend is known and another sheet of the same version is not taken for it.
	Digest [sha256.Size]byte
	Rows   []Row
	Grants []KeyGrant
	// KeepGrants leaves the present keys as they are.
	KeepGrants bool
	// Document is what the sheet was made from, kept as it is for ReadSheet.
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

// EncodeCommand returns a command as State.Apply takes it.
// It panics on a command of a foreign type.
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
	case Replace:
		ms.Kind = &registrarpb.Command_Replace{Replace: replaceMessage(cd)}
	default:
		panic(fmt.Sprintf("registrar: no command: %T", cm))
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

// marshal encodes a message of ours, which always succeeds but for text that is not UTF-8.
func marshal(ms proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(ms)
	if err != nil {
		return nil
	}
	return data
}
