package limiter

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter/limiterpb"
)

// transferTimeout bounds one message to another domain. Tokens that arrive later are soon expired.
const transferTimeout = 100 * time.Millisecond

// transferCall is one message to the leader of the same shard in another domain.
type transferCall struct {
	kp          *keeper
	shard       int
	epoch       uint64
	to          gypsumhoist.FailureDomain
	requests    []TransferRequest
	settlements []TransferSettlement
}

// run sends the message and passes the reply to the keeper. It always returns nil, so that the tomb keeps running.
func (tc *transferCall) run() error {
	transfers, err := tc.send()
	if err != nil {
		tc.kp.lm.ms.callsFailed.Inc()
	}
	if len(tc.requests) == 0 {
		return nil
	}
	ev := &transferReplyEvent{shard: tc.shard, epoch: tc.epoch, from: tc.to, requests: tc.requests, transfers: transfers, err: err}
	if !tc.kp.events.Push(ev) {
		// The tokens are lost; their donor counts them until their hold time has passed.
		tc.kp.lm.ms.eventsDropped.Inc()
	}
	return nil
}

func (tc *transferCall) send() ([]Transfer, error) {
	lm := tc.kp.lm
	ctx, cancel := context.WithTimeout(lm.tb.Context(context.Background()), transferTimeout)
	defer cancel()
	addr, known := lm.dir.Leader(string(tc.to), tc.shard)
	if !known || lm.peers == nil {
		return nil, errNoLeader
	}
	lm.ms.transfers.Inc()
	client := limiterpb.NewLimiterClient(lm.peers, lm.peers.URL(addr))
	rp, err := client.Transfer(ctx, connect.NewRequest(tc.message()))
	if err != nil {
		return nil, err
	}
	transfers := make([]Transfer, 0, len(rp.Msg.Gifts))
	for _, tf := range rp.Msg.Gifts {
		transfers = append(transfers, decodeTransfer(tf, rp.Msg.Epoch))
	}
	return transfers, nil
}

func (tc *transferCall) message() *limiterpb.TransferRequest {
	msg := &limiterpb.TransferRequest{Shard: int32(tc.shard), Domain: string(tc.kp.lm.domain)}
	for _, req := range tc.requests {
		msg.Asks = append(msg.Asks, encodeTransferRequest(req))
	}
	for _, st := range tc.settlements {
		msg.Settlements = append(msg.Settlements, encodeTransferSettlement(st))
	}
	return msg
}
