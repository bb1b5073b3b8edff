package replicator

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

// memberToWire encodes an invalid address as an empty string.
func memberToWire(mb Member) *replicatorpb.Member {
	pb := &replicatorpb.Member{Instance: string(mb.Instance), Boot: mb.Boot}
	if mb.Peer.IsValid() {
		pb.Peer = mb.Peer.String()
	}
	return pb
}

func memberFromWire(pb *replicatorpb.Member) (Member, error) {
	mb := Member{Instance: gypsumhoist.Instance(pb.GetInstance()), Boot: pb.GetBoot()}
	if pb.GetPeer() == "" {
		return mb, nil
	}
	peer, err := netip.ParseAddrPort(pb.GetPeer())
	if err != nil {
		return Member{}, fmt.Errorf("member %s: %w", pb.GetInstance(), err)
	}
	mb.Peer = peer
	return mb, nil
}

func configurationToWire(cf Configuration) []*replicatorpb.Seat {
	var out []*replicatorpb.Seat
	for _, mp := range cf {
		out = append(out, &replicatorpb.Seat{Member: memberToWire(mp.Member), Voter: mp.Voter})
	}
	return out
}

func configurationFromWire(pbs []*replicatorpb.Seat) (Configuration, error) {
	var cf Configuration
	for _, pb := range pbs {
		mb, err := memberFromWire(pb.GetMember())
		if err != nil {
			return nil, err
		}
		cf = append(cf, Membership{Member: mb, Voter: pb.GetVoter()})
	}
	return cf, nil
}

func timeToWire(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func timeFromWire(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns).UTC()
}

func entryToWire(en Entry) *replicatorpb.Entry {
	return &replicatorpb.Entry{
		Index: en.Index, Term: en.Term, Kind: uint32(en.Kind), Proposed: timeToWire(en.Proposed),
		Command: en.Command, Seats: configurationToWire(en.Configuration),
	}
}

func entryFromWire(pb *replicatorpb.Entry) (Entry, error) {
	cf, err := configurationFromWire(pb.GetSeats())
	if err != nil {
		return Entry{}, err
	}
	if pb.GetKind() > uint32(KindConfiguration) {
		return Entry{}, fmt.Errorf("entry %d has unknown kind %d", pb.GetIndex(), pb.GetKind())
	}
	return Entry{
		Index: pb.GetIndex(), Term: pb.GetTerm(), Kind: Kind(pb.GetKind()), Proposed: timeFromWire(pb.GetProposed()),
		Command: pb.GetCommand(), Configuration: cf,
	}, nil
}

func snapshotToWire(sn Snapshot) *replicatorpb.Snapshot {
	return &replicatorpb.Snapshot{
		Index: sn.Index, Term: sn.Term, Proposed: timeToWire(sn.Proposed), Seats: configurationToWire(sn.Configuration), Data: sn.Data,
	}
}

func snapshotFromWire(pb *replicatorpb.Snapshot) (Snapshot, error) {
	cf, err := configurationFromWire(pb.GetSeats())
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{
		Index: pb.GetIndex(), Term: pb.GetTerm(), Proposed: timeFromWire(pb.GetProposed()), Configuration: cf, Data: pb.GetData(),
	}, nil
}

// MarshalEntry returns the journal encoding of an entry.
func MarshalEntry(en Entry) ([]byte, error) { return marshal(entryToWire(en)) }

// UnmarshalEntry decodes the result of MarshalEntry.
func UnmarshalEntry(data []byte) (Entry, error) {
	var pb replicatorpb.Entry
	if err := unmarshal(data, &pb); err != nil {
		return Entry{}, err
	}
	return entryFromWire(&pb)
}

// MarshalSnapshot returns the journal encoding of a snapshot.
func MarshalSnapshot(sn Snapshot) ([]byte, error) { return marshal(snapshotToWire(sn)) }

// UnmarshalSnapshot decodes the result of MarshalSnapshot.
func UnmarshalSnapshot(data []byte) (Snapshot, error) {
	var pb replicatorpb.Snapshot
	if err := unmarshal(data, &pb); err != nil {
		return Snapshot{}, err
	}
	return snapshotFromWire(&pb)
}
