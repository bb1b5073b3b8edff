package gossiper

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper/gossiperpb"
)

func packAddr(ap netip.AddrPort) []byte {
	// AddrPort's MarshalBinary never fails.
	out, _ := ap.MarshalBinary()
	return out
}

func unpackAddr(buf []byte) (netip.AddrPort, bool) {
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(buf); err != nil {
		return netip.AddrPort{}, false
	}
	return ap, ap.IsValid()
}

// packTime returns a time in Unix milliseconds, 0 for the zero time.
func packTime(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixMilli()
}

func unpackTime(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

func packPacket(pk *Packet) *gossiperpb.Packet {
	out := &gossiperpb.Packet{
		From:   string(pk.From),
		Boot:   uint64(pk.Boot),
		Domain: string(pk.Domain),
		Deep:   pk.Deep,
		Reply:  pk.Reply,
		Seen:   pk.Seen,
	}
	for ix := range pk.Members {
		out.Members = append(out.Members, packMember(&pk.Members[ix]))
	}
	for _, rm := range pk.Rumors {
		out.Rumors = append(out.Rumors, packRumor(rm))
	}
	for _, dg := range pk.Digests {
		out.Digests = append(out.Digests, &gossiperpb.Digest{Scope: dg.Scope, Sum: dg.Sum})
	}
	return out
}

// unpackPacket omits malformed members; the Core checks the rest.
func unpackPacket(pb *gossiperpb.Packet) Packet {
	pk := Packet{
		From:   gypsumhoist.Instance(pb.GetFrom()),
		Boot:   Boot(pb.GetBoot()),
		Domain: gypsumhoist.FailureDomain(pb.GetDomain()),
		Deep:   pb.GetDeep(),
		Reply:  pb.GetReply(),
		Seen:   pb.GetSeen(),
	}
	for _, mp := range pb.GetMembers() {
		if mb, ok := unpackMember(mp); ok {
			pk.Members = append(pk.Members, mb)
		}
	}
	for _, rp := range pb.GetRumors() {
		pk.Rumors = append(pk.Rumors, unpackRumor(rp))
	}
	for _, dp := range pb.GetDigests() {
		pk.Digests = append(pk.Digests, Digest{Scope: dp.GetScope(), Sum: dp.GetSum()})
	}
	return pk
}

func packMember(mb *Member) *gossiperpb.Member {
	out := &gossiperpb.Member{
		Instance:    string(mb.Instance),
		Boot:        uint64(mb.Boot),
		Incarnation: mb.Incarnation,
		Settled:     mb.UrgentIncarnation,
		Status:      uint32(mb.Status),
		Domain:      string(mb.Domain),
		Peer:        packAddr(mb.Peer),
		Roles:       uint32(mb.Roles),
		Leaving:     mb.Leaving,
		Bridge:      mb.Bridge,
		Revision:    mb.Revision,
		Watches:     toStrings(mb.Watches),
		CutFrom:     toStrings(mb.UnreachableDomains),
	}
	if up := mb.Upstream; up.Service != "" {
		out.Upstream = &gossiperpb.Upstream{
			Service:      string(up.Service),
			State:        uint32(up.State),
			Slots:        uint32(up.Slots),
			Connections:  uint32(up.Connections),
			LoadPermille: uint32(up.Load),
			CutOff:       int32(up.CutOff),
			StartedMs:    packTime(up.Started),
		}
	}
	return out
}

func unpackMember(mp *gossiperpb.Member) (Member, bool) {
	peer, ok := unpackAddr(mp.GetPeer())
	if !ok || mp.GetStatus() > uint32(StatusLeft) || mp.GetUpstream().GetState() > uint32(UpstreamDraining) {
		return Member{}, false
	}
	mb := Member{
		Instance:           gypsumhoist.Instance(mp.GetInstance()),
		Boot:               Boot(mp.GetBoot()),
		Incarnation:        mp.GetIncarnation(),
		UrgentIncarnation:  mp.GetSettled(),
		Status:             Status(mp.GetStatus()),
		Domain:             gypsumhoist.FailureDomain(mp.GetDomain()),
		Peer:               peer,
		Roles:              Roles(mp.GetRoles()),
		Leaving:            mp.GetLeaving(),
		Bridge:             mp.GetBridge(),
		Revision:           mp.GetRevision(),
		Watches:            fromStrings[gypsumhoist.Service](mp.GetWatches()),
		UnreachableDomains: fromStrings[gypsumhoist.FailureDomain](mp.GetCutFrom()),
	}
	if up := mp.GetUpstream(); up != nil {
		mb.Upstream = Upstream{
			Service:     gypsumhoist.Service(up.GetService()),
			State:       UpstreamState(up.GetState()),
			Slots:       int(up.GetSlots()),
			Connections: int(up.GetConnections()),
			Load:        int(up.GetLoadPermille()),
			CutOff:      gypsumhoist.Importance(up.GetCutOff()),
			Started:     unpackTime(up.GetStartedMs()),
		}
	}
	return mb, true
}

func packRumor(rm Rumor) *gossiperpb.Rumor {
	return &gossiperpb.Rumor{
		Topic:   rm.Topic,
		Key:     rm.Key,
		Version: rm.Version,
		Payload: rm.Payload,
		LifeMs:  uint64(max(rm.TTL, 0) / time.Millisecond),
	}
}

func unpackRumor(rp *gossiperpb.Rumor) Rumor {
	ttlMS := min(rp.GetLifeMs(), uint64(MaxRumorTTL/time.Millisecond))
	return Rumor{
		Topic:   rp.GetTopic(),
		Key:     rp.GetKey(),
		Version: rp.GetVersion(),
		Payload: rp.GetPayload(),
		TTL:     time.Duration(ttlMS) * time.Millisecond,
	}
}

func toStrings[T ~string](in []T) []string {
	var out []string
	for _, val := range in {
		out = append(out, string(val))
	}
	return out
}

func fromStrings[T ~string](in []string) []T {
	var out []T
	for _, val := range in {
		out = append(out, T(val))
	}
	return out
}
