package registrar

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// ErrSheetUnavailable says that this instance can't determine the newest sheet.
var ErrSheetUnavailable = errors.New("the newest sheet cannot be determined on this instance")

// Replace puts a sheet into the log, whichever control instance leads. Only control instances can do so.
// An error that wraps ErrNotProposed means that nothing was changed. After any other error the outcome is unknown,
// and the same sheet may be sent again to any instance.
func (ops *OperatorService) Replace(ctx context.Context, rp Replace) (Answer, error) {
	return ops.commit(ctx, "", rp)
}

// ReadSheet returns the newest accepted sheet. The error wraps ErrSheetUnavailable on instances that are not control,
// and if the newest sheet can't be determined because no majority answers.
func (ops *OperatorService) ReadSheet(ctx context.Context) (Sheet, error) {
	if ops.sheet == nil {
		return Sheet{}, ErrSheetUnavailable
	}
	if err := ops.confirmNewest(ctx); err != nil {
		return Sheet{}, errors.Join(ErrSheetUnavailable, err)
	}
	return ops.sheet(), nil
}

// Replace replaces all rows and keys by a sheet in CSV.
func (sv operatorServer) Replace(ctx context.Context, rq *connect.Request[registrarpb.ReplaceRequest]) (*editResponse, error) {
	rp, err := replaceCommand(rq.Msg)
	if err != nil {
		return connect.NewResponse(&registrarpb.EditAnswer{
			Outcome: registrarpb.Outcome_OUTCOME_REFUSED, Text: "Nothing was replaced.\n" + err.Error(),
		}), nil
	}
	id := EditID("sheet-" + hex.EncodeToString(rp.Digest[:keyIDBytes]))
	local := func(ctx context.Context) (*registrarpb.EditAnswer, error) {
		// No edit id goes into the log: the digest identifies a resend, and a sheet that was rejected because its base
		// was not in force yet may be accepted later.
		ms, err := sv.ops.edit(ctx, "", rq.Msg.GetWaitMs(), rp)
		if err == nil {
			ms.EditId = string(id)
		}
		return ms, err
	}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), local, registrarpb.OfficeClient.Replace)
}

// replaceCommand returns the command for a request. Its document is the request's CSV; its digest covers the CSV and the keys.
func replaceCommand(ms *registrarpb.ReplaceRequest) (Replace, error) {
	rows, err := ParseCSV(ms.GetCsv())
	if err != nil {
		return Replace{}, err
	}
	if ms.GetKeepKeys() && len(ms.GetKeys()) > 0 {
		return Replace{}, errors.New("keys were given although the present ones are to be kept")
	}
	rp := Replace{
		Version: ms.GetVersion(), Base: ms.GetBase(), Rows: rows, Document: []byte(ms.GetCsv()), KeepGrants: ms.GetKeepKeys(),
	}
	hs := sha256.New()
	// A hash.Hash never returns an error.
	_, _ = hs.Write(rp.Document)
	for _, sk := range ms.GetKeys() {
		if len(sk.GetHash()) != sha256.Size {
			return Replace{}, errors.New("a key of workspace " + sk.GetWorkspace() + " has no SHA-256")
		}
		_, _ = hs.Write([]byte("\x00" + sk.GetWorkspace() + "\x00"))
		_, _ = hs.Write(sk.GetHash())
		rp.Grants = append(rp.Grants, hashedGrant(gypsumhoist.Workspace(sk.GetWorkspace()), KeyHash(sk.GetHash())))
	}
	hs.Sum(rp.Digest[:0])
	return rp, nil
}

// ReadSheet returns the newest accepted sheet.
func (sv operatorServer) ReadSheet(
	ctx context.Context, rq *connect.Request[registrarpb.ReadSheetRequest],
) (*connect.Response[registrarpb.ReadSheetAnswer], error) {
	sh, err := sv.ops.ReadSheet(ctx)
	if err == nil {
		return connect.NewResponse(&registrarpb.ReadSheetAnswer{
			Version: sh.Version, Revision: sh.Revision, Document: sh.Document, Csv: WriteCSV(sv.ops.holder.Current().Rows()),
		}), nil
	}
	if !fromOperator(rq) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	answer, err := forward(ctx, sv.ops, rq.Msg, 0, registrarpb.OfficeClient.ReadSheet)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}
