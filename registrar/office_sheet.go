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

// ErrNoSheet says that this instance can't tell which sheet is the newest.
var ErrNoSheet = errors.New("no sheet can be read here")

// Replace puts a sheet into the log, at whichever control instance leads. It is for control instances.
// An error that wraps ErrNotProposed means that nothing was changed; any other leaves that open, and the same
// sheet may be sent again anywhere.
func (of *Office) Replace(ctx context.Context, rp Replace) (Answer, error) {
	return of.commit(ctx, "", rp)
}

// ReadSheet returns the newest accepted sheet. It is for control instances; the error wraps ErrNoSheet on others, and
// where the newest can't be told, as no majority answers.
func (of *Office) ReadSheet(ctx context.Context) (Sheet, error) {
	if of.sheet == nil {
		return Sheet{}, ErrNoSheet
	}
	if err := of.newest(ctx); err != nil {
		return Sheet{}, errors.Join(ErrNoSheet, err)
	}
	return of.sheet(), nil
}

// Replace puts a sheet in CSV in the place of all rows and keys.
func (sv officeServer) Replace(ctx context.Context, rq *connect.Request[registrarpb.ReplaceRequest]) (*editResponse, error) {
	rp, err := replacement(rq.Msg)
	if err != nil {
		return connect.NewResponse(&registrarpb.EditAnswer{
			Outcome: registrarpb.Outcome_OUTCOME_REFUSED, Text: "Nothing was replaced.\n" + err.Error(),
		}), nil
	}
	id := EditID("sheet-" + hex.EncodeToString(rp.Digest[:keyIDBytes]))
	local := func(ctx context.Context) (*registrarpb.EditAnswer, error) {
		// Without an edit id in the log, as the digest tells a resend, and one that came too early may succeed later.
		ms, err := sv.of.edit(ctx, "", rq.Msg.GetWaitMs(), rp)
		if err == nil {
			ms.EditId = string(id)
		}
		return ms, err
	}
	return answerEdit(ctx, sv.of, rq, id, rq.Msg.GetWaitMs(), local, registrarpb.OfficeClient.Replace)
}

// replacement reads a request; its document is the request's CSV, and keys count for its digest.
func replacement(ms *registrarpb.ReplaceRequest) (Replace, error) {
	rows, err := ParseCSV(ms.GetCsv())
	if err != nil {
		return Replace{}, err
	}
	if ms.GetKeepKeys() && len(ms.GetKeys()) > 0 {
		return Replace{}, errors.New("keys were given, and the present ones are to stay")
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
func (sv officeServer) ReadSheet(
	ctx context.Context, rq *connect.Request[registrarpb.ReadSheetRequest],
) (*connect.Response[registrarpb.ReadSheetAnswer], error) {
	sh, err := sv.of.ReadSheet(ctx)
	if err == nil {
		return connect.NewResponse(&registrarpb.ReadSheetAnswer{
			Version: sh.Version, Revision: sh.Revision, Document: sh.Document, Csv: WriteCSV(sv.of.holder.Current().Rows()),
		}), nil
	}
	if !mayForward(rq) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	answer, err := forward(ctx, sv.of, rq.Msg, 0, registrarpb.OfficeClient.ReadSheet)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(answer), nil
}
