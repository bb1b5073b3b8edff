package replicator

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

func marshal(ms proto.Message) ([]byte, error)      { return proto.Marshal(ms) }
func unmarshal(data []byte, ms proto.Message) error { return proto.Unmarshal(data, ms) }

// envelope is a message together with the name of its group.
type envelope struct {
	group   string
	message Message
}

// envelopesToWire encodes each member only once for all messages.
func envelopesToWire(envs []envelope) *replicatorpb.StepRequest {
	req := &replicatorpb.StepRequest{Messages: make([]*replicatorpb.Message, 0, len(envs))}
	indexes := make(map[Member]uint32, 2)
	// Only the sender's address is encoded: receivers know their own.
	indexOf := func(mb Member) uint32 {
		at, ok := indexes[mb]
		if !ok {
			at = uint32(len(req.Members))
			indexes[mb] = at
			req.Members = append(req.Members, memberToWire(mb))
		}
		return at
	}
	for _, env := range envs {
		pb := &replicatorpb.Message{
			Group: env.group, From: indexOf(env.message.From),
			To:   indexOf(Member{Instance: env.message.To.Instance, Boot: env.message.To.Boot}),
			Term: env.message.Term,
		}
		bodyToWire(pb, env.message.Body)
		req.Messages = append(req.Messages, pb)
	}
	return req
}

func envelopesFromWire(req *replicatorpb.StepRequest) ([]envelope, error) {
	members := make([]Member, 0, len(req.GetMembers()))
	for _, pb := range req.GetMembers() {
		mb, err := memberFromWire(pb)
		if err != nil {
			return nil, err
		}
		members = append(members, mb)
	}
	envs := make([]envelope, 0, len(req.GetMessages()))
	for _, pb := range req.GetMessages() {
		if int(pb.GetFrom()) >= len(members) || int(pb.GetTo()) >= len(members) {
			return nil, errors.New("message refers to a member that is not listed")
		}
		bd, err := bodyFromWire(pb)
		if err != nil {
			return nil, err
		}
		ms := Message{From: members[pb.GetFrom()], To: members[pb.GetTo()], Term: pb.GetTerm(), Body: bd}
		envs = append(envs, envelope{group: pb.GetGroup(), message: ms})
	}
	return envs, nil
}

func bodyToWire(pb *replicatorpb.Message, bd Body) {
	switch bd := bd.(type) {
	case VoteRequest:
		pb.Body = &replicatorpb.Message_VoteAsk{VoteAsk: &replicatorpb.VoteAsk{
			Pre: bd.Pre, Transfer: bd.Transfer, Passed: bd.Forwarded, LastIndex: bd.LastIndex, LastTerm: bd.LastTerm,
		}}
	case VoteResponse:
		pb.Body = &replicatorpb.Message_VoteAnswer{VoteAnswer: &replicatorpb.VoteAnswer{Pre: bd.Pre, Granted: bd.Granted}}
	case AppendRequest:
		req := &replicatorpb.AppendAsk{
			PrevIndex: bd.PrevIndex, PrevTerm: bd.PrevTerm, Commit: bd.Commit, Sent: int64(bd.Sent),
		}
		for _, en := range bd.Entries {
			req.Entries = append(req.Entries, entryToWire(en))
		}
		pb.Body = &replicatorpb.Message_AppendAsk{AppendAsk: req}
	case AppendResponse:
		pb.Body = &replicatorpb.Message_AppendAnswer{AppendAnswer: &replicatorpb.AppendAnswer{
			Reject: bd.Reject, PrevIndex: bd.PrevIndex, Match: bd.Match, Sent: int64(bd.Sent),
		}}
	case SnapshotRequest:
		pb.Body = &replicatorpb.Message_SnapshotAsk{SnapshotAsk: &replicatorpb.SnapshotAsk{
			Snapshot: snapshotToWire(bd.Snapshot), Offset: bd.Offset, Total: bd.Total, Sent: int64(bd.Sent),
		}}
	case SnapshotResponse:
		pb.Body = &replicatorpb.Message_SnapshotAnswer{SnapshotAnswer: &replicatorpb.SnapshotAnswer{
			Index: bd.Index, Next: bd.Next, Sent: int64(bd.Sent),
		}}
	case TimeoutNow:
		pb.Body = &replicatorpb.Message_TransferAsk{TransferAsk: &replicatorpb.TransferAsk{}}
	case ReadIndexRequest:
		pb.Body = &replicatorpb.Message_ReadAsk{ReadAsk: &replicatorpb.ReadAsk{Id: bd.ID}}
	case ReadIndexResponse:
		pb.Body = &replicatorpb.Message_ReadAnswer{ReadAnswer: &replicatorpb.ReadAnswer{Id: bd.ID, Index: bd.Index}}
	case RemovedNotice:
		pb.Body = &replicatorpb.Message_RemovedTell{RemovedTell: &replicatorpb.RemovedTell{}}
	}
}

func bodyFromWire(pb *replicatorpb.Message) (Body, error) {
	switch bd := pb.GetBody().(type) {
	case *replicatorpb.Message_VoteAsk:
		va := bd.VoteAsk
		return VoteRequest{
			Pre: va.GetPre(), Transfer: va.GetTransfer(), Forwarded: va.GetPassed(),
			LastIndex: va.GetLastIndex(), LastTerm: va.GetLastTerm(),
		}, nil
	case *replicatorpb.Message_VoteAnswer:
		return VoteResponse{Pre: bd.VoteAnswer.GetPre(), Granted: bd.VoteAnswer.GetGranted()}, nil
	case *replicatorpb.Message_AppendAsk:
		return appendFromWire(bd.AppendAsk)
	case *replicatorpb.Message_AppendAnswer:
		aa := bd.AppendAnswer
		return AppendResponse{
			Reject: aa.GetReject(), PrevIndex: aa.GetPrevIndex(), Match: aa.GetMatch(), Sent: time.Duration(aa.GetSent()),
		}, nil
	case *replicatorpb.Message_SnapshotAsk:
		sa := bd.SnapshotAsk
		sn, err := snapshotFromWire(sa.GetSnapshot())
		return SnapshotRequest{Snapshot: sn, Offset: sa.GetOffset(), Total: sa.GetTotal(), Sent: time.Duration(sa.GetSent())}, err
	case *replicatorpb.Message_SnapshotAnswer:
		sa := bd.SnapshotAnswer
		return SnapshotResponse{Index: sa.GetIndex(), Next: sa.GetNext(), Sent: time.Duration(sa.GetSent())}, nil
	case *replicatorpb.Message_TransferAsk:
		return TimeoutNow{}, nil
	case *replicatorpb.Message_ReadAsk:
		return ReadIndexRequest{ID: bd.ReadAsk.GetId()}, nil
	case *replicatorpb.Message_ReadAnswer:
		return ReadIndexResponse{ID: bd.ReadAnswer.GetId(), Index: bd.ReadAnswer.GetIndex()}, nil
	case *replicatorpb.Message_RemovedTell:
		return RemovedNotice{}, nil
	default:
		return nil, errors.New("message has an unknown body")
	}
}

// appendFromWire returns an error for entries with gaps, as Core relies on consecutive indexes.
func appendFromWire(pb *replicatorpb.AppendAsk) (Body, error) {
	req := AppendRequest{
		PrevIndex: pb.GetPrevIndex(), PrevTerm: pb.GetPrevTerm(), Commit: pb.GetCommit(), Sent: time.Duration(pb.GetSent()),
	}
	for ix, it := range pb.GetEntries() {
		en, err := entryFromWire(it)
		if err != nil {
			return nil, err
		}
		if en.Index != req.PrevIndex+1+uint64(ix) {
			return nil, errors.New("append request has a gap between its entries")
		}
		req.Entries = append(req.Entries, en)
	}
	return req, nil
}
