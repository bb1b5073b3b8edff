package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter/limiterpb"
)

// The protocol has other names: an Ask is a TokenRequest, a TransferAsk is a TransferRequest, a Gift is a Transfer;
// dry is Grant.Empty, tight is Grant.SettleSoon, and next_ns is Transfer.RetryAfter.

func encodeKey(rk RowKey) *limiterpb.Row {
	return &limiterpb.Row{Workspace: string(rk.Workspace), Route: rk.Route}
}

func decodeKey(msg *limiterpb.Row) RowKey {
	return RowKey{Workspace: gypsumhoist.Workspace(msg.GetWorkspace()), Route: msg.GetRoute()}
}

func encodeRequest(req TokenRequest) *limiterpb.Ask {
	return &limiterpb.Ask{
		Row: encodeKey(req.Key), Id: req.ID, Want: req.Want, Waiting: req.Waiting, Importance: int32(req.Importance),
	}
}

// decodeRequest reads a token request; numbers out of range are clamped.
func decodeRequest(msg *limiterpb.Ask, node gypsumhoist.Instance) TokenRequest {
	waiting := min(max(msg.GetWaiting(), 0), maxWaiters)
	return TokenRequest{
		Key: decodeKey(msg.GetRow()), Node: node, ID: msg.GetId(), Waiting: waiting,
		Want:       max(min(msg.GetWant(), maxWant), waiting),
		Importance: gypsumhoist.Importance(msg.GetImportance()),
	}
}

// maxWant bounds the tokens of one request.
const maxWant = 1 << 20

func encodeSettlement(st Settlement) *limiterpb.Settlement {
	return &limiterpb.Settlement{
		Row: encodeKey(st.Key), Epoch: st.Epoch, Id: st.ID, Spent: st.Spent, Returned: st.Returned,
	}
}

func decodeSettlement(msg *limiterpb.Settlement, node gypsumhoist.Instance) Settlement {
	return Settlement{
		Key: decodeKey(msg.GetRow()), Node: node, Epoch: msg.GetEpoch(), ID: msg.GetId(),
		Spent: max(msg.GetSpent(), 0), Returned: max(msg.GetReturned(), 0),
	}
}

func encodeGrant(gr Grant) *limiterpb.Grant {
	return &limiterpb.Grant{
		Row: encodeKey(gr.Key), Id: gr.ID, Amount: gr.Amount,
		Dry: gr.Empty, RetryNs: int64(gr.RetryAfter), Tight: gr.SettleSoon, Unready: gr.Unready,
	}
}

func decodeGrant(msg *limiterpb.Grant, node gypsumhoist.Instance) Grant {
	return Grant{
		Key: decodeKey(msg.GetRow()), Node: node, ID: msg.GetId(), Amount: max(msg.GetAmount(), 0),
		Empty: msg.GetDry(), RetryAfter: clampRetryAfter(time.Duration(msg.GetRetryNs())), SettleSoon: msg.GetTight(), Unready: msg.GetUnready(),
	}
}

func clampRetryAfter(wait time.Duration) time.Duration { return min(max(wait, 0), maxRetry) }

func encodeTransferRequest(req TransferRequest) *limiterpb.TransferAsk {
	return &limiterpb.TransferAsk{Row: encodeKey(req.Key), Id: req.ID, Want: int64(req.Want), Spare: req.Spare}
}

func decodeTransferRequest(msg *limiterpb.TransferAsk, from gypsumhoist.FailureDomain) TransferRequest {
	return TransferRequest{
		Key: decodeKey(msg.GetRow()), From: from, ID: msg.GetId(),
		Want: Amount(max(msg.GetWant(), 0)), Spare: msg.GetSpare(),
	}
}

func encodeTransferSettlement(st TransferSettlement) *limiterpb.TransferSettlement {
	return &limiterpb.TransferSettlement{
		Row: encodeKey(st.Key), Epoch: st.Epoch, Id: st.ID, Kept: int64(st.Kept), Returned: int64(st.Returned),
	}
}

func decodeTransferSettlement(msg *limiterpb.TransferSettlement, from gypsumhoist.FailureDomain) TransferSettlement {
	return TransferSettlement{
		Key: decodeKey(msg.GetRow()), From: from, Epoch: msg.GetEpoch(), ID: msg.GetId(),
		Kept: Amount(max(msg.GetKept(), 0)), Returned: Amount(max(msg.GetReturned(), 0)),
	}
}

func encodeTransfer(tf Transfer) *limiterpb.Gift {
	return &limiterpb.Gift{Row: encodeKey(tf.Key), Id: tf.ID, Amount: int64(tf.Amount), NextNs: int64(tf.RetryAfter)}
}

func decodeTransfer(msg *limiterpb.Gift, epoch uint64) Transfer {
	return Transfer{
		Key: decodeKey(msg.GetRow()), Epoch: epoch, ID: msg.GetId(), Amount: Amount(max(msg.GetAmount(), 0)),
		RetryAfter: min(max(time.Duration(msg.GetNextNs()), 0), maxTransferRetry),
	}
}
