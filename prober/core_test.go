package prober_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
)

const ms = time.Millisecond

// members returns three members in each named domain.
func members(names ...gypsumhoist.FailureDomain) []prober.Member {
	var out []prober.Member
	for dm, name := range names {
		for no := range 3 {
			addr := netip.AddrFrom4([4]byte{10, byte(dm), 0, byte(no)})
			out = append(out, prober.Member{Peer: netip.AddrPortFrom(addr, 7000), Domain: name})
		}
	}
	return out
}

var _ = Describe("reachability", func() {
	var cr *prober.Core
	all := members("a", "b", "c")
	BeforeEach(func() {
		cr = prober.NewCore("a")
		cr.SetMembers(all)
	})
	grade := func(no int) prober.Grade { return cr.Reachability().GradeOf(all[no]) }

	It("loses one instance after a connection timeout, and the domain after two", func() {
		cr.TimedOut(200*ms, all[3].Peer, 100*ms)
		cr.Tick(250 * ms)
		Expect(grade(3)).To(Equal(prober.GradeUnreachable))
		Expect(grade(4)).To(Equal(prober.GradeReachable))
		cr.Silent(300*ms, all[4].Peer, 100*ms)
		cr.Tick(300 * ms)
		Expect(grade(5)).To(Equal(prober.GradeUnreachable))
		Expect(grade(6)).To(Equal(prober.GradeReachable))
	})
	It("keeps a domain from which anything was received since", func() {
		cr.TimedOut(200*ms, all[3].Peer, 100*ms)
		cr.Heard(220*ms, all[5].Peer)
		cr.TimedOut(250*ms, all[4].Peer, 150*ms)
		cr.Tick(400 * ms)
		Expect(grade(5)).To(Equal(prober.GradeReachable))
	})
	It("marks a domain unreachable only after a delay, as bytes may be in flight", func() {
		cr.Silent(100*ms, all[3].Peer, 90*ms)
		cr.Silent(100*ms, all[4].Peer, 90*ms)
		cr.Tick(110 * ms)
		Expect(grade(5)).To(Equal(prober.GradeReachable))
		cr.Heard(111*ms, all[5].Peer)
		cr.Tick(500 * ms)
		Expect(grade(5)).To(Equal(prober.GradeReachable))
		Expect(grade(4)).To(Equal(prober.GradeSilent))
	})
	It("never marks the local domain unreachable, nor one whose machines refuse connections", func() {
		for _, no := range []int{0, 1, 2} {
			cr.TimedOut(200*ms, all[no].Peer, 100*ms)
			cr.Refused(200*ms, all[no+3].Peer)
		}
		cr.Tick(time.Second)
		re := cr.Reachability()
		Expect(re.GradeOf(prober.Member{Domain: "a"})).To(Equal(prober.GradeReachable))
		Expect(re.GradeOf(prober.Member{Domain: "b"})).To(Equal(prober.GradeReachable))
		Expect(grade(3)).To(Equal(prober.GradeUnreachable))
	})
	It("is restored for the whole domain by the first answered probe", func() {
		cr.TimedOut(200*ms, all[3].Peer, 100*ms)
		cr.TimedOut(200*ms, all[4].Peer, 100*ms)
		cr.Tick(300 * ms)
		Expect(grade(5)).To(Equal(prober.GradeUnreachable))
		cr.Probed(900*ms, all[3].Peer, true)
		Expect(grade(3)).To(Equal(prober.GradeReachable))
		Expect(grade(5)).To(Equal(prober.GradeReachable))
		Expect(grade(4)).To(Equal(prober.GradeUnreachable), "its own connection failed")
	})
	It("forgets the state of an instance whose address another instance has taken", func() {
		cr.TimedOut(200*ms, all[3].Peer, 100*ms)
		cr.SetMembers(all)
		Expect(grade(3)).To(Equal(prober.GradeUnreachable))
		moved := append([]prober.Member(nil), all...)
		moved[3].Domain = "c"
		cr.SetMembers(moved)
		Expect(cr.Reachability().GradeOf(moved[3])).To(Equal(prober.GradeReachable))
	})
	It("is probed with limited concurrency and with backoff", func() {
		many := members("a", "b", "c", "d", "e", "f", "g")
		cr.SetMembers(many)
		for no := range many {
			cr.Refused(0, many[no].Peer)
		}
		Expect(len(cr.DueProbes(time.Second))).To(Equal(8))
		cr = prober.NewCore("a")
		cr.SetMembers(all)
		for _, no := range []int{3, 4} {
			cr.TimedOut(0, all[no].Peer, 0)
		}
		cr.Tick(100 * ms)
		sent := 0
		for now := 100 * ms; now < 20*time.Second; now += 50 * ms {
			due := cr.DueProbes(now)
			Expect(len(due)).To(BeNumerically("<=", 2))
			for _, to := range due {
				sent++
				cr.Probed(now, to, false)
			}
		}
		Expect(sent).To(And(BeNumerically(">", 30), BeNumerically("<", 80)))
	})
	It("bounds the time to connect by the times measured on others, at any distance", func() {
		for _, took := range []time.Duration{ms, 40 * ms, 300 * ms} {
			cr := prober.NewCore("a")
			cr.SetMembers(all)
			Expect(cr.ConnectBound(all[3].Peer)).To(Equal(500 * ms))
			for range 20 {
				cr.Connected(0, all[4].Peer, took)
			}
			Expect(cr.ConnectBound(all[3].Peer)).To(And(BeNumerically(">=", took), BeNumerically("<=", max(100*ms, 2*took))))
		}
	})
})

var _ = Describe("any evidence", func() {
	It("leaves an instance that answered last reachable, and probes every other until it is reachable", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			cr := prober.NewCore("a")
			all := members("a", "b")
			cr.SetMembers(all)
			answered := map[netip.AddrPort]bool{}
			now := time.Duration(0)
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				now += time.Duration(rapid.IntRange(0, 200).Draw(rt, "pause")) * ms
				mb := all[rapid.IntRange(0, len(all)-1).Draw(rt, "who")]
				answered[mb.Peer] = false
				switch rapid.IntRange(0, 5).Draw(rt, "what") {
				case 0:
					cr.TimedOut(now, mb.Peer, max(now-100*ms, 0))
				case 1:
					cr.Silent(now, mb.Peer, max(now-300*ms, 0))
				case 2:
					cr.Refused(now, mb.Peer)
				case 3:
					cr.Connected(now, mb.Peer, ms)
					answered[mb.Peer] = true
				case 4:
					cr.Probed(now, mb.Peer, true)
					answered[mb.Peer] = true
				case 5:
					cr.Tick(now)
				}
				for _, at := range all {
					if answered[at.Peer] && cr.Reachability().GradeOf(at) != prober.GradeReachable {
						// An instance that answered last is unreachable only if its whole domain was marked later.
						answered[at.Peer] = cr.Reachability().GradeOf(prober.Member{Domain: at.Domain}) != prober.GradeReachable
						if !answered[at.Peer] {
							rt.Fatalf("%v answered last but is %v", at, cr.Reachability().GradeOf(at))
						}
					}
				}
			}
			probed := map[netip.AddrPort]bool{}
			for later := range 100 {
				for _, to := range cr.DueProbes(now + time.Duration(later)*100*ms) {
					probed[to] = true
					cr.Probed(now+time.Duration(later)*100*ms, to, true)
				}
			}
			if !cr.Reachability().AllReachable() {
				rt.Fatalf("still unreachable after probes were answered")
			}
		})
	})
})

func ExampleCore() {
	cr := prober.NewCore("hobart-a")
	near := prober.Member{Peer: netip.MustParseAddrPort("10.1.0.1:7000"), Domain: "hobart-b"}
	cr.SetMembers([]prober.Member{near})
	cr.TimedOut(time.Second, near.Peer, 900*time.Millisecond)
	fmt.Println(cr.Reachability().GradeOf(near))
	cr.Probed(2*time.Second, near.Peer, true)
	fmt.Println(cr.Reachability().GradeOf(near))
	// Output:
	// unreachable
	// reachable
}
