package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

func ExampleMember_AcceptsWork() {
	mb := gossiper.Member{Upstream: gossiper.Upstream{Service: "rosters", State: gossiper.UpstreamReady}}
	fmt.Println(mb.AcceptsWork())
	mb.Leaving = true
	fmt.Println(mb.AcceptsWork())
	// Output:
	// true
	// false
}

func ExampleCore() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	self := gossiper.Member{Instance: "n1", Boot: 1, Domain: "hobart", Peer: addrOf(1)}
	cr := gossiper.NewCore(self, nil, rand.New(rand.NewPCG(1, 1)), now)
	joins := gossiper.Member{Instance: "n2", Boot: 2, Incarnation: 2, Domain: "hobart", Peer: addrOf(2)}
	cr.Handle(now, gossiper.Received{Packet: gossiper.Packet{From: "n2", Boot: 2, Members: []gossiper.Member{joins}}})
	for _, mb := range cr.View().Members() {
		fmt.Println(mb.Instance, mb.Status)
	}
	// Output:
	// n1 alive
	// n2 alive
}

// fullPacket returns a packet that uses every field.
func fullPacket() gossiper.Packet {
	return gossiper.Packet{
		From: "n1", Boot: 7, Domain: "hobart", Deep: true, Reply: 3, Seen: 4,
		Members: []gossiper.Member{{
			Instance: "n2", Boot: 9, Incarnation: 12, UrgentIncarnation: 11, Status: gossiper.StatusSuspect,
			Domain: "hobart", Peer: addrOf(2), Roles: gossiper.RoleNode, Leaving: true, Bridge: true, Revision: 5,
			Upstream: gossiper.Upstream{
				Service: "rosters", State: gossiper.UpstreamReady, Slots: 20, Connections: 300, Load: 500, CutOff: -1,
			},
			Watches:            []gypsumhoist.Service{"slips"},
			UnreachableDomains: []gypsumhoist.FailureDomain{"huon"},
		}},
		Rumors:  []gossiper.Rumor{{Topic: "t", Key: "k", Version: 2, Payload: []byte("x"), TTL: time.Minute}},
		Digests: []gossiper.Digest{{Scope: "part:1", Sum: 99}},
	}
}

func TestPacketSurvivesTheWire(t *testing.T) {
	want := fullPacket()
	buf, err := gossiper.EncodePacket(&want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := gossiper.DecodePacket(buf)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v; want %+v", got, err, want)
	}
}

// FuzzReceive feeds arbitrary bytes to a core, which must neither panic nor lose its own record.
func FuzzReceive(f *testing.F) {
	full := fullPacket()
	buf, err := gossiper.EncodePacket(&full)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(buf)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, buf []byte) {
		pk, err := gossiper.DecodePacket(buf)
		if err != nil {
			return
		}
		now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		self := gossiper.Member{Instance: "n2", Boot: 1, Domain: "hobart", Peer: addrOf(9)}
		cr := gossiper.NewCore(self, nil, rand.New(rand.NewPCG(1, 1)), now)
		for range 50 {
			cr.Handle(now, gossiper.Received{Packet: pk})
			cr.Handle(now, gossiper.Ticked{})
			now = now.Add(time.Second)
		}
		if mb, ok := cr.View().Member("n2"); !ok || mb.Boot != 1 || mb.Status != gossiper.StatusAlive {
			t.Fatalf("own record is %+v, %v", mb, ok)
		}
	})
}

// newFullCore returns the core of a node, or of a bridge, in a fleet of 24 domains.
func newFullCore(size int, bridge bool) (*gossiper.Core, time.Time) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	var members []gossiper.Member
	for ix := range size {
		members = append(members, gossiper.Member{
			Instance: gypsumhoist.Instance(fmt.Sprintf("instance-%05d", ix)), Boot: gossiper.Boot(ix + 1),
			Incarnation: uint64(ix + 1), Domain: domainName(ix % 24), Peer: addrOf(ix), Bridge: ix < 72,
			Upstream: gossiper.Upstream{Service: gypsumhoist.Service(fmt.Sprintf("service-%d", ix%410)), State: gossiper.UpstreamReady},
			Watches:  []gypsumhoist.Service{gypsumhoist.Service(fmt.Sprintf("service-%d", ix%401))},
		})
	}
	cr := gossiper.NewCore(members[0], nil, rand.New(rand.NewPCG(1, 1)), now)
	for _, mb := range members[1:] {
		if bridge || mb.Domain == "d0" || mb.Bridge {
			cr.Handle(now, gossiper.Received{Packet: gossiper.Packet{From: "peer", Members: []gossiper.Member{mb}}})
		}
	}
	cr.View()
	return cr, now
}

func BenchmarkCore(b *testing.B) {
	for _, size := range []int{120, 1200, 5100} {
		cr, now := newFullCore(size, true)
		from := gossiper.Packet{From: "instance-00024"}
		b.Run(fmt.Sprintf("tick/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				cr.Handle(now, gossiper.Ticked{})
			}
		})
		b.Run(fmt.Sprintf("receive/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				cr.Handle(now, gossiper.Received{Packet: from})
			}
		})
		b.Run(fmt.Sprintf("view/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				cr.View()
			}
		})
	}
}
