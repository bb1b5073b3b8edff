package replicator

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist/replicator/replicatorpb"
)

const formRetry = 200 * time.Millisecond

// Introduction is what another process says of a group.
type Introduction struct {
	// Member is its member of the group; the zero value means that it has none.
	Member Member
	// Formed means that the group exists; Seats are those that the member knows.
	Formed bool
	Seats  Seats
}

// Introduce tells the process at an address that the given member is here, and asks after the group.
func (hs *Host) Introduce(ctx context.Context, addr netip.AddrPort, group string, mb Member) (Introduction, error) {
	req := &replicatorpb.IntroduceRequest{Group: group, Member: memberToWire(mb)}
	rs, err := hs.client(addr).Introduce(ctx, connect.NewRequest(req))
	if err != nil {
		return Introduction{}, err
	}
	it := Introduction{Formed: rs.Msg.GetFormed()}
	if rs.Msg.GetMember() != nil {
		if it.Member, err = memberFromWire(rs.Msg.GetMember()); err != nil {
			return Introduction{}, err
		}
	}
	it.Seats, err = seatsFromWire(rs.Msg.GetSeats())
	return it, err
}

// Introduce answers who is here and whether the group exists.
func (sv service) Introduce(
	_ context.Context, req *connect.Request[replicatorpb.IntroduceRequest],
) (*connect.Response[replicatorpb.IntroduceResponse], error) {
	group := req.Msg.GetGroup()
	if mb, err := memberFromWire(req.Msg.GetMember()); err == nil && sv.host.introduced != nil {
		sv.host.introduced(group, mb)
	}
	return connect.NewResponse(sv.host.present(group)), nil
}

// present says what this process knows of a group.
func (hs *Host) present(group string) *replicatorpb.IntroduceResponse {
	if gp, ok := hs.Group(group); ok {
		st := gp.Members()
		return &replicatorpb.IntroduceResponse{Member: memberToWire(gp.self), Formed: len(st) > 0, Seats: seatsToWire(st)}
	}
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	mb, ok := hs.forming[group]
	if !ok {
		return &replicatorpb.IntroduceResponse{}
	}
	return &replicatorpb.IntroduceResponse{Member: memberToWire(mb)}
}

// Form finds out how a member with an empty journal comes into a group whose first members
// run at the given addresses: it returns them for WithFirst once all of them are up and none knows
// the group, and nil as soon as one says that the group exists, so that the member must be added to it
// if it has no seat. A member whose address is none of the given ones founds nothing and waits for that: with itself added, its idea of
// the first members would not be theirs, and two groups would form. It asks until the context ends. A disk lost while a group forms for the first time
// may leave first members that disagree; start all of them again with empty folders then.
func (hs *Host) Form(ctx context.Context, group string, self Member, first []netip.AddrPort) ([]Member, error) {
	hs.mu.Lock()
	hs.forming[group] = self
	hs.mu.Unlock()
	for {
		members, formed := hs.poll(ctx, group, self, first)
		if formed {
			return nil, nil
		}
		if members != nil {
			return members, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(formRetry):
		}
	}
}

// poll asks every address once. Its first result is nil unless all members are there.
func (hs *Host) poll(ctx context.Context, group string, self Member, first []netip.AddrPort) ([]Member, bool) {
	members := []Member{self}
	for _, addr := range first {
		if addr == self.Peer {
			continue
		}
		once, cancel := context.WithTimeout(ctx, hs.stepTimeout)
		it, err := hs.Introduce(once, addr, group, self)
		cancel()
		if err == nil && it.Formed {
			return nil, true
		}
		if err == nil && it.Member != (Member{}) {
			members = append(members, it.Member)
		}
	}
	if len(members) < len(first) || !slices.Contains(first, self.Peer) {
		return nil, false
	}
	slices.SortFunc(members, func(ma, mb Member) int {
		return cmp.Or(cmp.Compare(ma.Instance, mb.Instance), cmp.Compare(ma.Boot, mb.Boot))
	})
	return members, false
}
