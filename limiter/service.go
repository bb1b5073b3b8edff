package limiter

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/limiter/limiterpb"
)

// maxMessage bounds the size of a message in bytes.
const maxMessage = 1 << 20

// Handler returns the path and the handler to mount on the peer port.
func (lm *Limiter) Handler() (string, http.Handler) {
	return limiterpb.NewLimiterHandler(&service{lm: lm}, connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(connector.CompressMinBytes))
}

// service answers the messages of nodes and of other domains.
type service struct {
	lm *Limiter
}

// Take implements limiterpb.LimiterHandler.
func (sv *service) Take(ctx context.Context, rq *connect.Request[limiterpb.TakeRequest]) (*connect.Response[limiterpb.TakeReply], error) {
	node := gypsumhoist.Instance(rq.Msg.Node)
	var requests []TokenRequest
	for _, ask := range rq.Msg.Asks {
		requests = append(requests, decodeRequest(ask, node))
	}
	var settlements []Settlement
	for _, st := range rq.Msg.Settlements {
		settlements = append(settlements, decodeSettlement(st, node))
	}
	epoch, grants, err := sv.lm.keeper.take(ctx, int(rq.Msg.Shard), requests, settlements)
	if err != nil {
		return nil, wireError(err)
	}
	rp := &limiterpb.TakeReply{Epoch: epoch}
	for _, gr := range grants {
		rp.Grants = append(rp.Grants, encodeGrant(gr))
	}
	return connect.NewResponse(rp), nil
}

// Transfer implements limiterpb.LimiterHandler.
func (sv *service) Transfer(ctx context.Context, rq *connect.Request[limiterpb.TransferRequest]) (*connect.Response[limiterpb.TransferReply], error) {
	from := gypsumhoist.FailureDomain(rq.Msg.Domain)
	ev := &transferEvent{shard: int(rq.Msg.Shard)}
	for _, ask := range rq.Msg.Asks {
		ev.requests = append(ev.requests, decodeTransferRequest(ask, from))
	}
	for _, st := range rq.Msg.Settlements {
		ev.settlements = append(ev.settlements, decodeTransferSettlement(st, from))
	}
	epoch, transfers, err := sv.lm.keeper.transfer(ctx, ev)
	if err != nil {
		return nil, wireError(err)
	}
	rp := &limiterpb.TransferReply{Epoch: epoch}
	for _, tf := range transfers {
		rp.Gifts = append(rp.Gifts, encodeTransfer(tf))
	}
	return connect.NewResponse(rp), nil
}

// wireError wraps an error with the code that tells the peer how to react.
func wireError(err error) error {
	switch {
	case errors.Is(err, errNotLeader):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.Is(err, errFull):
		return connect.NewError(connect.CodeResourceExhausted, err)
	default:
		return connect.NewError(connect.CodeUnavailable, err)
	}
}
