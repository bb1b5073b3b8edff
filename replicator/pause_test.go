package replicator_test

import (
	"context"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/clocker"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// pausingClock is a clock whose caller is suspended right after it has read the time, once after each pauseNext.
type pausingClock struct{ pause atomic.Int64 }

func (pc *pausingClock) pauseNext(length time.Duration) { pc.pause.Store(int64(length)) }

func (pc *pausingClock) now() time.Time {
	at := clocker.Now()
	time.Sleep(time.Duration(pc.pause.Swap(0)))
	return at
}

var _ = Describe("a leader that is suspended between two steps", func() {
	It("does not answer reads by a lease that has ended meanwhile", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			var prs []*process
			var initial []rp.Member
			clocks := map[*process]*pausingClock{}
			for number := 1; number <= 3; number++ {
				pr := nw.process(number, "1")
				prs, initial, clocks[pr] = append(prs, pr), append(initial, pr.member), &pausingClock{}
			}
			for _, pr := range prs {
				gm.Expect(pr.open(rp.WithInitialMembers(initial...), rp.WithClock(clocks[pr].now))).To(Succeed())
			}
			defer stopAll(prs...)
			old, _ := waitForLeader(prs)
			time.Sleep(time.Second)
			nw.isolate(old.member.Peer.String(), true, true)
			clocks[old].pauseNext(3 * time.Second)
			next, _ := waitForLeader(without(prs, old))
			_, err := next.group.Propose(ctx, []byte("after"))
			gm.Expect(err).To(Succeed())
			gm.Expect(old.group.Barrier(within(ctx, 10*time.Second))).NotTo(Succeed(), "the others have elected a leader")
		})
	})
})
