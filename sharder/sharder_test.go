package sharder_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/sharder"
)

func inVirtualTime(body func(ctx context.Context, gm *WithT)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		body(ctx, NewWithT(t))
	})
}

// proposeAll proposes five commands in every shard of domain a and returns those that were answered, by shard.
func proposeAll(ctx context.Context, gm *WithT, pr *process, prefix string) map[sharder.Key][]string {
	answered := map[sharder.Key][]string{}
	for turn := range 5 {
		for shard := range sharder.ShardCount {
			word := fmt.Sprintf("%s-%d-%d", prefix, shard, turn)
			_, err := pr.sharder.Propose(ctx, "a", shard, []byte(word))
			gm.ExpectWithOffset(1, err).To(Succeed())
			key := sharder.Key{Domain: "a", Shard: shard}
			answered[key] = append(answered[key], word)
		}
	}
	return answered
}

// expectApplied checks that the leader of each shard of domain a has applied all answered commands, in order.
func expectApplied(ctx context.Context, gm *WithT, fl *fleet, answered ...map[sharder.Key][]string) {
	for shard := range sharder.ShardCount {
		key, found := sharder.Key{Domain: "a", Shard: shard}, false
		for _, pr := range fl.live {
			if pr.domain != "a" || !pr.sharder.Lease(shard).Held {
				continue
			}
			found = true
			gm.ExpectWithOffset(1, pr.sharder.Barrier(ctx, shard)).To(Succeed())
			var want []string
			for _, an := range answered {
				want = append(want, an[key]...)
			}
			pr.mu.Lock()
			gm.ExpectWithOffset(1, pr.logs[key].All).To(Equal(want))
			pr.mu.Unlock()
		}
		gm.ExpectWithOffset(1, found).To(BeTrue(), "shard %d has no leader", shard)
	}
}

var _ = Describe("Sharder", func() {
	It("accepts proposals from any domain, and repairs its groups after successive failures", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			var prs []*process
			for number := range 5 {
				prs = append(prs, fl.start("a", number))
			}
			far := fl.start("b", 1)
			defer fl.stop()
			fl.advance(3 * time.Second)
			one := proposeAll(ctx, gm, far, "one")
			fl.kill(prs[0])
			fl.advance(10 * time.Second)
			two := proposeAll(ctx, gm, far, "two")
			fl.kill(prs[1])
			fl.advance(10 * time.Second)
			three := proposeAll(ctx, gm, far, "three")
			expectApplied(ctx, gm, fl, one, two, three)
			for _, gs := range prs[2].sharder.Status() {
				gm.Expect(gs.Voters).To(HaveLen(3))
			}
		})
	})

	It("loses nothing when a second voter fails right after the first was replaced", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			var prs []*process
			for number := range 4 {
				prs = append(prs, fl.start("a", number))
			}
			defer fl.stop()
			fl.advance(3 * time.Second)
			one := proposeAll(ctx, gm, prs[0], "one")
			fl.kill(prs[1])
			began := time.Now()
			for voters := 0; voters < sharder.ShardCount; fl.advance(50 * time.Millisecond) {
				voters = 0
				for _, pr := range fl.live {
					for _, gs := range pr.sharder.Status() {
						if gs.Role == replicator.RoleLeader && len(gs.Voters) == 3 && len(gs.Unresponsive) == 0 {
							voters++
						}
					}
				}
				gm.Expect(time.Since(began)).To(BeNumerically("<", time.Minute))
			}
			GinkgoWriter.Printf("8 groups fully repaired %s after a crash\n", time.Since(began))
			fl.kill(prs[2])
			fl.advance(3 * time.Second)
			two := proposeAll(ctx, gm, prs[0], "two")
			expectApplied(ctx, gm, fl, one, two)
		})
	})

	It("adds a restarted process as a new member, throughout a rolling restart of the domain", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			var prs []*process
			for number := range 3 {
				prs = append(prs, fl.start("a", number))
			}
			defer fl.stop()
			fl.advance(3 * time.Second)
			one := proposeAll(ctx, gm, prs[0], "one")
			for number, pr := range prs {
				fl.kill(pr)
				fl.advance(time.Second)
				prs[number] = fl.start("a", number)
				fl.advance(4 * time.Second)
			}
			expectApplied(ctx, gm, fl, one)
			gm.Expect(fl.placements).To(HaveLen(sharder.ShardCount), "no new generation was needed")
		})
	})

	It("is replaced in all groups before it leaves", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			for number := range 4 {
				fl.start("a", number)
			}
			defer fl.stop()
			fl.advance(3 * time.Second)
			one := proposeAll(ctx, gm, fl.live[0], "one")
			leaver := fl.live[1]
			leaver.state = sharder.StateLeaving
			fl.propagate()
			once, cancel := context.WithTimeout(ctx, 10*time.Second)
			defer cancel()
			began := time.Now()
			gm.Expect(leaver.sharder.Leave(once)).To(Succeed())
			GinkgoWriter.Printf("left after %s\n", time.Since(began))
			fl.kill(leaver)
			fl.advance(2 * time.Second)
			expectApplied(ctx, gm, fl, one)
		})
	})

	It("begins a new generation only once the end of a majority is proven", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			prs := []*process{fl.start("a", 0), fl.start("a", 1), fl.start("a", 2)}
			defer fl.stop()
			fl.advance(3 * time.Second)
			proposeAll(ctx, gm, prs[0], "one")
			fl.kill(prs[1])
			fl.kill(prs[2])
			fl.advance(20 * time.Second)
			gm.Expect(fl.placements).To(HaveLen(sharder.ShardCount), "suspicion is no proof")
			_, err := prs[0].sharder.Propose(ctx, "a", 0, []byte("lost"))
			var none *replicator.ErrNoLeader
			gm.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
			fl.start("a", 1)
			fl.start("a", 2)
			fl.advance(20 * time.Second)
			gm.Expect(fl.placements).To(HaveLen(2 * sharder.ShardCount))
			expectApplied(ctx, gm, fl, proposeAll(ctx, gm, prs[0], "new"))
		})
	})

	It("continues without an isolated member, which loses its lease", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			fl := newFleet()
			prs := []*process{fl.start("a", 0), fl.start("a", 1), fl.start("a", 2)}
			defer fl.stop()
			fl.advance(3 * time.Second)
			one := proposeAll(ctx, gm, prs[0], "one")
			fl.isolate(prs[2], true)
			time.Sleep(3 * time.Second)
			for shard := range sharder.ShardCount {
				gm.Expect(prs[2].sharder.Lease(shard).Held).To(BeFalse())
			}
			fl.advance(15 * time.Second)
			two := proposeAll(ctx, gm, prs[0], "two")
			fl.isolate(prs[2], false)
			fl.advance(5 * time.Second)
			expectApplied(ctx, gm, fl, one, two)
		})
	})
})

var _ = Describe("idle traffic", func() {
	It("is measured with 5 processes and 8 groups", func() {
		inVirtualTime(func(_ context.Context, _ *WithT) {
			fl := newFleet()
			for number := range 5 {
				fl.start("a", number)
			}
			defer fl.stop()
			fl.advance(5 * time.Second)
			fl.nw.mu.Lock()
			bytes, requests := fl.nw.bytes, fl.nw.requests
			fl.nw.mu.Unlock()
			began := processorTime()
			fl.advance(5 * time.Second)
			fl.nw.mu.Lock()
			defer fl.nw.mu.Unlock()
			GinkgoWriter.Printf("idle, 5 processes, 8 groups of 5: %d B/s, %d requests/s and %s/s of processor time a process\n",
				(fl.nw.bytes-bytes)/25, (fl.nw.requests-requests)/50, (processorTime()-began)/25)
		})
	})
})

// processorTime returns the processor time that this test process has used.
func processorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
