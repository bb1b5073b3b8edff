package replicator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

// service implements the RPC service for other hosts.
type service struct{ host *Host }

// Step receives messages for all groups of this process.
func (sv service) Step(
	_ context.Context, req *connect.Request[replicatorpb.StepRequest],
) (*connect.Response[replicatorpb.StepResponse], error) {
	envs, err := envelopesFromWire(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	for _, env := range envs {
		sv.host.receive(env)
	}
	return connect.NewResponse(&replicatorpb.StepResponse{}), nil
}

func (hs *Host) receive(env envelope) {
	hs.learnAddress(env.message.From)
	gp, ok := hs.Group(env.group)
	if !ok || gp.self.ID() != env.message.To.ID() {
		if fb := hs.fallbackFor(env.group); fb != nil {
			fb.Unknown(env.group, env.message.To, env.message.From)
		}
		return
	}
	if !gp.ring.Push(messageEvent{env.message}) {
		hs.meters.dropped.Inc()
	}
}

// Propose handles a command or change that another process forwarded to the leader here.
func (sv service) Propose(
	ctx context.Context, req *connect.Request[replicatorpb.ProposeRequest],
) (*connect.Response[replicatorpb.ProposeResponse], error) {
	cl, err := callFromWire(req.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	gp, ok := sv.host.Group(req.Msg.GetGroup())
	if !ok {
		return connect.NewResponse(outcomeToWire(nil, sv.host.notOpen(req.Msg.GetGroup()))), nil
	}
	answer, err := gp.callLocal(ctx, cl)
	return connect.NewResponse(outcomeToWire(answer, err)), nil
}

func callFromWire(pb *replicatorpb.ProposeRequest) (*call, error) {
	if pb.GetChange() == "" {
		return &call{kind: callPropose, command: pb.GetCommand()}, nil
	}
	mb, err := memberFromWire(pb.GetMember())
	return &call{kind: callChange, change: Change{Kind: ChangeKind(pb.GetChange()), Member: mb}}, err
}

func outcomeToWire(answer []byte, err error) *replicatorpb.ProposeResponse {
	var nl *ErrNoLeader
	var ch *ErrChange
	switch {
	case err == nil:
		return &replicatorpb.ProposeResponse{Outcome: replicatorpb.Outcome_OUTCOME_DONE, Answer: answer}
	case errors.As(err, &nl):
		rs := &replicatorpb.ProposeResponse{Outcome: replicatorpb.Outcome_OUTCOME_NO_LEADER, Detail: nl.Detail}
		if nl.Leader != (Member{}) {
			rs.Leader = memberToWire(nl.Leader)
		}
		return rs
	case errors.As(err, &ch):
		return &replicatorpb.ProposeResponse{Outcome: replicatorpb.Outcome_OUTCOME_REFUSED, Detail: ch.Detail}
	default:
		return &replicatorpb.ProposeResponse{Outcome: replicatorpb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
	}
}
