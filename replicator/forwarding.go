package replicator

import (
	"context"
	"errors"
	"net"
	"net/netip"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

// ProposeAt asks the process at an address to propose a command as the group's leader.
// Its errors are those of Group.Propose; the Leader of an *ErrNoLeader is the member to try next.
func (hs *Host) ProposeAt(ctx context.Context, addr netip.AddrPort, group string, command []byte) ([]byte, error) {
	return hs.forward(ctx, addr, group, &call{kind: callPropose, command: command})
}

// forward makes a call to another process.
func (hs *Host) forward(ctx context.Context, addr netip.AddrPort, group string, cl *call) ([]byte, error) {
	req := &replicatorpb.ProposeRequest{Group: group, Command: cl.command}
	if cl.kind == callChange {
		req.Change, req.Member = string(cl.change.Kind), memberToWire(cl.change.Member)
	}
	resp, err := hs.client(addr).Propose(ctx, connect.NewRequest(req))
	if err != nil {
		if neverSent(err) {
			return nil, &ErrNoLeader{Group: group, Detail: err.Error()}
		}
		return nil, &ErrUnknownOutcome{Group: group, Cause: err}
	}
	rs := resp.Msg
	switch rs.GetOutcome() {
	case replicatorpb.Outcome_OUTCOME_DONE:
		return rs.GetAnswer(), nil
	case replicatorpb.Outcome_OUTCOME_NO_LEADER:
		nl := &ErrNoLeader{Group: group, Detail: rs.GetDetail()}
		if mb, err := memberFromWire(rs.GetLeader()); err == nil {
			nl.Leader = mb
		}
		return nil, nl
	case replicatorpb.Outcome_OUTCOME_REFUSED:
		return nil, &ErrChange{Change: cl.change, Detail: rs.GetDetail()}
	default:
		return nil, &ErrUnknownOutcome{Group: group, Cause: errors.New(rs.GetDetail())}
	}
}

// neverSent reports whether a request definitely reached no process: the peer pool reports it, or, with another
// implementation of connector.Peers, no connection was established.
func neverSent(err error) bool {
	var fl *connector.Failure
	if errors.As(err, &fl) {
		return fl.Verdict == gypsumhoist.VerdictNotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
