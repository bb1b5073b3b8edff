package registrar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// forwardTimeout bounds one attempt at another control instance, in addition to the wait that the request asks for.
const forwardTimeout = proposeTimeout + barrierTimeout

// forward sends a request to one control instance after another until one answers it.
// Resending is idempotent, as every edit has an edit id by now and a sheet is identified by its digest.
// The error wraps ErrNotProposed if certainly none of them put the command into the log.
func forward[Q, A any](
	ctx context.Context, ops *OperatorService, rq *Q, wait time.Duration,
	call func(cl registrarpb.OfficeClient, ctx context.Context, rq *connect.Request[Q]) (*connect.Response[A], error),
) (*A, error) {
	controls := ops.controls.Load()
	if controls == nil || len(*controls) == 0 || ops.peers == nil {
		return nil, fmt.Errorf("no control instance is known here: %w", ErrNotProposed)
	}
	var lastErr error
	noneProposed := true
	for _, sc := range *controls {
		if ctx.Err() != nil {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, forwardTimeout+wait)
		sent := connect.NewRequest(rq)
		sent.Header().Set(headerForwarded, string(ops.self.Instance))
		rs, err := call(registrarpb.NewOfficeClient(ops.peers, ops.peers.URL(sc.Peer)), callCtx, sent)
		cancel()
		if err == nil {
			return rs.Msg, nil
		}
		if !notProposed(err) {
			noneProposed = false
		}
		lastErr = fmt.Errorf("%s: %w", sc.Instance, err)
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	if noneProposed {
		return nil, fmt.Errorf("%w (%w)", ErrNotProposed, lastErr)
	}
	return nil, lastErr
}

// notProposed reports whether the error of another instance means ErrNotProposed.
func notProposed(err error) bool {
	ce := (*connect.Error)(nil)
	return errors.As(err, &ce) && ce.Code() == connect.CodeFailedPrecondition
}

// fromOperator reports whether a request came directly from an operator, not forwarded by another instance.
func fromOperator[Q any](rq *connect.Request[Q]) bool { return rq.Header().Get(headerForwarded) == "" }

// answerEdit tries an edit at this instance and then at the other control instances.
func answerEdit[Q any](
	ctx context.Context, ops *OperatorService, rq *connect.Request[Q], id EditID, waitMS uint32,
	local func(ctx context.Context) (*registrarpb.EditAnswer, error),
	call func(cl registrarpb.OfficeClient, ctx context.Context, rq *connect.Request[Q]) (*connect.Response[registrarpb.EditAnswer], error),
) (*connect.Response[registrarpb.EditAnswer], error) {
	answer, err := local(ctx)
	if err == nil {
		return connect.NewResponse(answer), nil
	}
	noneProposed := errors.Is(err, ErrNotProposed)
	if fromOperator(rq) {
		wait := min(time.Duration(waitMS)*time.Millisecond, waitMax)
		answer, ferr := forward(ctx, ops, rq.Msg, wait, call)
		if ferr == nil {
			return connect.NewResponse(answer), nil
		}
		noneProposed = noneProposed && errors.Is(ferr, ErrNotProposed)
		err = ferr
	}
	if noneProposed {
		return nil, connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("nothing was changed: %w", err))
	}
	return nil, ops.unknownOutcome(id, err)
}

// answerRead answers from the local table if that is confirmed to be the newest, else forwards to a control instance.
// If none answers, the local table in force is the answer.
func answerRead[Q, A any](
	ctx context.Context, ops *OperatorService, rq *connect.Request[Q],
	local func(newest bool) *A,
	call func(cl registrarpb.OfficeClient, ctx context.Context, rq *connect.Request[Q]) (*connect.Response[A], error),
) (*connect.Response[A], error) {
	err := ops.confirmNewest(ctx)
	if err == nil {
		return connect.NewResponse(local(true)), nil
	}
	if !fromOperator(rq) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	answer, err := forward(ctx, ops, rq.Msg, 0, call)
	if err == nil {
		return connect.NewResponse(answer), nil
	}
	return connect.NewResponse(local(false)), nil
}
