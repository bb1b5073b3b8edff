package server_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// room is the control instances of a fleet as its leader sees them.
type room struct {
	seats  replicator.Seats
	gossip map[gypsumhoist.Instance]gossiper.Member
}

func newRoom() *room { return &room{gossip: map[gypsumhoist.Instance]gossiper.Member{}} }

func (rm *room) meet(name gypsumhoist.Instance, domain gypsumhoist.FailureDomain) replicator.Member {
	rm.gossip[name] = gossiper.Member{Instance: name, Domain: domain, Status: gossiper.StatusAlive}
	return replicator.Member{Instance: name, Boot: "boot-" + string(name)}
}

func (rm *room) seat(mb replicator.Member, voter bool) {
	rm.seats = append(rm.seats, replicator.Seat{Member: mb, Voter: voter})
}

func (rm *room) mark(name gypsumhoist.Instance, st gossiper.Status) {
	mb := rm.gossip[name]
	mb.Status = st
	rm.gossip[name] = mb
}

func (rm *room) find(in gypsumhoist.Instance) (gossiper.Member, bool) {
	mb, known := rm.gossip[in]
	return mb, known
}

func (rm *room) next(mb replicator.Member, waited time.Duration) (any, replicator.Member) {
	return server.NextSeat(rm.seats, mb, rm.find, waited)
}

// A control instance is removed for good and another one starts in its place within a second, before gossip has found the first one lost.
// It must end with the seat of the first, not with one more beside it: then the loss of one more disk would stop the log for good.
func TestANewcomerTakesTheSeatOfOneThatIsFoundLostLater(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1"} {
		rm.seat(rm.meet(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	newcomer := rm.meet("b-2", "b")
	step, _ := rm.next(newcomer, 0)
	gm.Expect(step).To(gomega.Equal(server.SeatAdd))
	rm.seat(newcomer, false)
	step, _ = rm.next(newcomer, time.Second)
	gm.Expect(step).To(gomega.Equal(server.SeatNone))
	rm.mark("b-1", gossiper.StatusUnreachable)
	step, old := rm.next(newcomer, 2*time.Second)
	gm.Expect(step).To(gomega.Equal(server.SeatReplace))
	gm.Expect(old.Instance).To(gomega.Equal(gypsumhoist.Instance("b-1")))
}

func TestANewcomerVotesBesideALivingNeighbourInTheEnd(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	rm.seat(rm.meet("b-1", "b"), true)
	newcomer := rm.meet("b-2", "b")
	rm.seat(newcomer, false)
	step, _ := rm.next(newcomer, 5*time.Second)
	gm.Expect(step).To(gomega.Equal(server.SeatPromote))
}

func TestANewcomerOfAnotherDomainVotesAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	rm.seat(rm.meet("a-1", "a"), true)
	newcomer := rm.meet("d-1", "d")
	rm.seat(newcomer, false)
	step, _ := rm.next(newcomer, 0)
	gm.Expect(step).To(gomega.Equal(server.SeatPromote))
}

func TestALostDiskGetsItsInstancesSeatBack(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	rm.seat(rm.meet("a-1", "a"), true)
	again := replicator.Member{Instance: "a-1", Boot: "later"}
	step, old := rm.next(again, 0)
	gm.Expect(step).To(gomega.Equal(server.SeatReplace))
	gm.Expect(old.Boot).To(gomega.Equal("boot-a-1"))
}

func TestANewcomerTakesTheSeatOfOneThatSaidFarewell(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1"} {
		rm.seat(rm.meet(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	rm.mark("b-1", gossiper.StatusLeft)
	newcomer := rm.meet("b-2", "b")
	rm.seat(newcomer, false)
	step, _ := rm.next(newcomer, time.Second)
	gm.Expect(step).To(gomega.Equal(server.SeatNone))
	step, old := rm.next(newcomer, 4*time.Second)
	gm.Expect(step).To(gomega.Equal(server.SeatReplace))
	gm.Expect(old.Instance).To(gomega.Equal(gypsumhoist.Instance("b-1")))
}

// A planned replacement: the successor votes already when the one before it says farewell.
func TestASeatThatSaidFarewellGoesOnceItsSuccessorVotes(t *testing.T) {
	gm := gomega.NewWithT(t)
	rm := newRoom()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1", "b-2"} {
		rm.seat(rm.meet(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	gone, start := server.Farewells{}, time.Now()
	over := func(after time.Duration) (gypsumhoist.Instance, bool) {
		mb, ok := server.Over(gone, rm.seats, rm.find, start.Add(after))
		return mb.Instance, ok
	}
	_, ok := over(0)
	gm.Expect(ok).To(gomega.BeFalse())
	rm.mark("b-1", gossiper.StatusLeft)
	rm.mark("c-1", gossiper.StatusLeft)
	_, ok = over(time.Second)
	gm.Expect(ok).To(gomega.BeFalse())
	rm.mark("b-1", gossiper.StatusAlive)
	_, ok = over(5 * time.Second)
	gm.Expect(ok).To(gomega.BeFalse(), "it was restarted")
	rm.mark("b-1", gossiper.StatusLeft)
	_, ok = over(6 * time.Second)
	gm.Expect(ok).To(gomega.BeFalse())
	name, ok := over(12 * time.Second)
	gm.Expect(ok).To(gomega.BeTrue())
	gm.Expect(name).To(gomega.Equal(gypsumhoist.Instance("b-1")), "c-1 has nobody in its place")
}
