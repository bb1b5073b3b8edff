package registrar

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// operatorServer answers operators, and other instances that forward their requests.
type operatorServer struct{ ops *OperatorService }

type editResponse = connect.Response[registrarpb.EditAnswer]

// EditRow changes or adds a row.
func (sv operatorServer) EditRow(
	ctx context.Context, rq *connect.Request[registrarpb.EditRowRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	cm := EditRow{
		Workspace: gypsumhoist.Workspace(rq.Msg.GetWorkspace()),
		Route:     rq.Msg.GetRoute(),
		Number:    rq.Msg.GetNumber(),
		Values:    columnValues(rq.Msg.GetValues()),
	}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), cm),
		registrarpb.OfficeClient.EditRow)
}

// DeleteRow deletes a row.
func (sv operatorServer) DeleteRow(
	ctx context.Context, rq *connect.Request[registrarpb.DeleteRowRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	cm := DeleteRow{
		Workspace: gypsumhoist.Workspace(rq.Msg.GetWorkspace()),
		Route:     rq.Msg.GetRoute(),
		Number:    rq.Msg.GetNumber(),
	}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), cm),
		registrarpb.OfficeClient.DeleteRow)
}

// Import applies all rows of a CSV file, or none.
func (sv operatorServer) Import(
	ctx context.Context, rq *connect.Request[registrarpb.ImportRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	rows, err := ParseCSV(rq.Msg.GetCsv())
	if err != nil {
		return connect.NewResponse(&registrarpb.EditAnswer{
			Outcome: registrarpb.Outcome_OUTCOME_REFUSED,
			EditId:  string(id),
			Text:    "Nothing was imported.\n" + err.Error(),
		}), nil
	}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), ImportRows{Rows: rows}),
		registrarpb.OfficeClient.Import)
}

// GrantKey stores the hash of a key that the caller generated, or generates a key and returns it.
func (sv operatorServer) GrantKey(
	ctx context.Context, rq *connect.Request[registrarpb.GrantKeyRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	ws := gypsumhoist.Workspace(rq.Msg.GetWorkspace())
	key := ""
	if rq.Msg.GetKeyId() == "" && len(rq.Msg.GetKeyHash()) == 0 {
		generated, gr, err := MintKey(ws, rand.Reader)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		key = generated
		rq.Msg.KeyId, rq.Msg.KeyHash = string(gr.KeyID), gr.Hash[:]
	}
	gr := KeyGrant{Grant: Grant{Workspace: ws, KeyID: KeyID(rq.Msg.GetKeyId())}}
	if err := gr.check(rq.Msg.GetKeyHash()); err != nil {
		return connect.NewResponse(&registrarpb.EditAnswer{
			Outcome: registrarpb.Outcome_OUTCOME_REFUSED, EditId: string(id), Text: err.Error(),
		}), nil
	}
	gr.Hash = KeyHash(rq.Msg.GetKeyHash())
	rs, err := answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), GrantKey{Grant: gr}),
		registrarpb.OfficeClient.GrantKey)
	if err != nil || rs.Msg.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return rs, err
	}
	if rs.Msg.GetKeyId() == rq.Msg.GetKeyId() {
		rs.Msg.Key = key
		return rs, nil
	}
	rs.Msg.Text += " This repeats the answer to an earlier request; its key was shown then and is not stored." +
		" If it was lost, withdraw it and grant another one."
	return rs, nil
}

// WithdrawKey revokes a key.
func (sv operatorServer) WithdrawKey(
	ctx context.Context, rq *connect.Request[registrarpb.WithdrawKeyRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	cm := WithdrawKey{KeyID: KeyID(rq.Msg.GetKeyId())}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), cm),
		registrarpb.OfficeClient.WithdrawKey)
}

// DropDomain removes the placements of a failure domain that was taken out of service for good.
func (sv operatorServer) DropDomain(
	ctx context.Context, rq *connect.Request[registrarpb.DropDomainRequest],
) (*editResponse, error) {
	id := editID(rq.Msg.GetEditId())
	rq.Msg.EditId = string(id)
	cm := DropDomain{Domain: gypsumhoist.FailureDomain(rq.Msg.GetDomain())}
	return answerEdit(ctx, sv.ops, rq, id, rq.Msg.GetWaitMs(), sv.editFunc(id, rq.Msg.GetWaitMs(), cm),
		registrarpb.OfficeClient.DropDomain)
}

func (sv operatorServer) editFunc(
	id EditID, waitMS uint32, cm Command,
) func(ctx context.Context) (*registrarpb.EditAnswer, error) {
	return func(ctx context.Context) (*registrarpb.EditAnswer, error) { return sv.ops.edit(ctx, id, waitMS, cm) }
}

// ListRows returns the rows, filtered by workspace and route if the request names them.
func (sv operatorServer) ListRows(
	ctx context.Context, rq *connect.Request[registrarpb.ListRowsRequest],
) (*connect.Response[registrarpb.ListRowsAnswer], error) {
	return answerRead(ctx, sv.ops, rq, func(newest bool) *registrarpb.ListRowsAnswer {
		tb := sv.ops.holder.Current()
		answer := &registrarpb.ListRowsAnswer{Revision: tb.Revision(), Newest: newest, Text: sv.readText(newest)}
		for _, rw := range tb.Rows() {
			if ws := rq.Msg.GetWorkspace(); ws != "" && ws != string(rw.Workspace) {
				continue
			}
			if rt := rq.Msg.GetRoute(); rt != "" && rt != rw.Route {
				continue
			}
			answer.Rows = append(answer.Rows, rowText(*rw))
		}
		return answer
	}, registrarpb.OfficeClient.ListRows)
}

// Export returns all rows as a CSV file that Import accepts.
func (sv operatorServer) Export(
	ctx context.Context, rq *connect.Request[registrarpb.ExportRequest],
) (*connect.Response[registrarpb.ExportAnswer], error) {
	return answerRead(ctx, sv.ops, rq, func(newest bool) *registrarpb.ExportAnswer {
		tb := sv.ops.holder.Current()
		return &registrarpb.ExportAnswer{
			Revision: tb.Revision(), Newest: newest, Text: sv.readText(newest), Csv: WriteCSV(tb.Rows()),
		}
	}, registrarpb.OfficeClient.Export)
}

// ListKeys returns the granted keys, filtered by workspace if the request names one.
func (sv operatorServer) ListKeys(
	ctx context.Context, rq *connect.Request[registrarpb.ListKeysRequest],
) (*connect.Response[registrarpb.ListKeysAnswer], error) {
	return answerRead(ctx, sv.ops, rq, func(newest bool) *registrarpb.ListKeysAnswer {
		tb := sv.ops.holder.Current()
		answer := &registrarpb.ListKeysAnswer{Revision: tb.Revision(), Newest: newest, Text: sv.readText(newest)}
		for _, gr := range tb.Grants() {
			if ws := rq.Msg.GetWorkspace(); ws != "" && ws != string(gr.Workspace) {
				continue
			}
			answer.Keys = append(answer.Keys, &registrarpb.Key{
				Workspace: string(gr.Workspace),
				KeyId:     string(gr.KeyID),
				Granted:   gr.Granted.Format(time.RFC3339),
			})
		}
		return answer
	}, registrarpb.OfficeClient.ListKeys)
}

// Status returns the revision, where it is in force, and the control instances.
func (sv operatorServer) Status(
	ctx context.Context, rq *connect.Request[registrarpb.StatusRequest],
) (*connect.Response[registrarpb.StatusAnswer], error) {
	return answerRead(ctx, sv.ops, rq, func(newest bool) *registrarpb.StatusAnswer {
		tb := sv.ops.holder.Current()
		answer := &registrarpb.StatusAnswer{Revision: tb.Revision(), Newest: newest, Text: sv.readText(newest)}
		for _, cm := range tb.Controls() {
			answer.Controls = append(answer.Controls, &registrarpb.ControlText{
				Instance: string(cm.Instance), Domain: string(cm.Domain), Peer: cm.Peer.String(), Voter: cm.Voter,
			})
		}
		for _, dm := range tb.Evacuated() {
			answer.Evacuated = append(answer.Evacuated, string(dm))
		}
		if newest && sv.ops.distributor != nil {
			nf := sv.ops.distributor.InForce(Change{Revision: tb.Revision(), Accepted: time.Now()})
			answer.InForce = inForceMessage(nf)
			answer.Text += " " + nf.Text()
		}
		return answer
	}, registrarpb.OfficeClient.Status)
}

func (sv operatorServer) readText(newest bool) string {
	if newest {
		return "This is the newest accepted table."
	}
	return sv.ops.localTableText()
}

// columnValues returns the values in the order of Columns, unknown columns last.
func columnValues(values map[string]string) []ColumnValue {
	list := make([]ColumnValue, 0, len(values))
	for cl, vl := range sorted(values) {
		list = append(list, ColumnValue{Column: Column(cl), Value: vl})
	}
	columns := Columns()
	position := func(cv ColumnValue) int {
		if at := slices.Index(columns, cv.Column); at >= 0 {
			return at
		}
		return len(columns)
	}
	slices.SortStableFunc(list, func(ca, cb ColumnValue) int { return position(ca) - position(cb) })
	return list
}
