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

// Introduction is another process's response about a group.
type Introduction struct {
	// Member is that process's member of the group; the zero value means that it has none.
	Member Member
	// Formed means that the group exists; Configuration is the newest that the member knows.
	Formed        bool
	Configuration Configuration
}

// Introduce announces a member to the process at an address and queries it about the group.
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
	it.Configuration, err = configurationFromWire(rs.Msg.GetSeats())
	return it, err
}

// Introduce responds with the member that runs here and whether the group exists.
func (sv service) Introduce(
	_ context.Context, req *connect.Request[replicatorpb.IntroduceRequest],
) (*connect.Response[replicatorpb.IntroduceResponse], error) {
	group := req.Msg.GetGroup()
	if mb, err := memberFromWire(req.Msg.GetMember()); err == nil && sv.host.onIntroduction != nil {
		sv.host.onIntroduction(group, mb)
	}
	return connect.NewResponse(sv.host.introduction(group)), nil
}

// introduction returns what this process knows about a group.
func (hs *Host) introduction(group string) *replicatorpb.IntroduceResponse {
	if gp, ok := hs.Group(group); ok {
		cf := gp.Members()
		return &replicatorpb.IntroduceResponse{Member: memberToWire(gp.self), Formed: len(cf) > 0, Seats: configurationToWire(cf)}
	}
	hs.mu.RLock()
	defer hs.mu.RUnlock()
	mb, ok := hs.forming[group]
	if !ok {
		return &replicatorpb.IntroduceResponse{}
	}
	return &replicatorpb.IntroduceResponse{Member: memberToWire(mb)}
}

// Form determines how a member with an empty journal enters a group whose initial members run at the given
// addresses. It returns the initial members, to be passed to Open, once all of them are up and none knows
// the group. It returns nil as soon as one reports that the group exists; the member must then be added to the
// group if it isn't in the configuration. A member whose address is none of the given ones never founds the group
// but waits until the group exists: if it counted itself, its set of initial members would differ from theirs,
// and two groups would form. Form retries until the context ends.
//
// If a disk is lost while a group forms for the first time, the initial members may disagree;
// all of them must then be restarted with empty data folders.
func (hs *Host) Form(ctx context.Context, group string, self Member, initial []netip.AddrPort) ([]Member, error) {
	hs.mu.Lock()
	hs.forming[group] = self
	hs.mu.Unlock()
	for {
		members, formed := hs.poll(ctx, group, self, initial)
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

// poll queries every address once. The first result is nil unless all initial members responded; the second is true if the group exists.
func (hs *Host) poll(ctx context.Context, group string, self Member, initial []netip.AddrPort) ([]Member, bool) {
	members := []Member{self}
	for _, addr := range initial {
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
	if len(members) < len(initial) || !slices.Contains(initial, self.Peer) {
		return nil, false
	}
	slices.SortFunc(members, func(ma, mb Member) int {
		return cmp.Or(cmp.Compare(ma.Instance, mb.Instance), cmp.Compare(ma.Boot, mb.Boot))
	})
	return members, false
}
