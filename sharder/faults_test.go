package sharder_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/sharder"
)

// fullyRepaired reports whether every group of domain a has a leader, voters that all respond, and no learners.
func (fl *fleet) fullyRepaired() bool {
	full := 0
	for _, pr := range fl.live {
		for _, gs := range pr.sharder.Status() {
			if gs.Lease.Held && len(gs.Unresponsive) == 0 && len(gs.Learners) == 0 && len(gs.Voters) >= sharder.GroupSize(len(fl.live)) {
				full++
			}
		}
	}
	return full == sharder.ShardCount
}

// injectFault injects one random fault, which loses the state of at most one member: a crash with or without a restart,
// an isolated process, a partition into two halves, or the start of a new process.
func (fl *fleet) injectFault(rnd *rand.Rand, number *int) {
	pr := fl.live[rnd.IntN(len(fl.live))]
	switch rnd.IntN(5) {
	case 0:
		fl.kill(pr)
		if len(fl.live) < 4 {
			fl.advance(time.Duration(rnd.IntN(4000)) * time.Millisecond)
			*number++
			fl.start("a", *number)
		}
	case 1:
		at := int(pr.member.Peer.Addr().As4()[3])
		fl.kill(pr)
		fl.advance(time.Duration(rnd.IntN(8000)) * time.Millisecond)
		fl.start("a", at)
	case 2:
		fl.isolate(pr, true)
		fl.advance(time.Duration(rnd.IntN(12000)) * time.Millisecond)
		fl.isolate(pr, false)
	case 3:
		rnd.Shuffle(len(fl.live), func(ia, ib int) { fl.live[ia], fl.live[ib] = fl.live[ib], fl.live[ia] })
		fl.setPartition(1, fl.live[:len(fl.live)/2]...)
		fl.advance(time.Duration(rnd.IntN(12000)) * time.Millisecond)
		fl.setPartition(0, fl.live...)
	default:
		*number++
		fl.start("a", *number)
		if len(fl.live) > 6 {
			fl.kill(fl.live[rnd.IntN(len(fl.live))])
		}
	}
}

const rounds = 7

var _ = Describe("a domain with faults injected one after another", func() {
	for seed := range uint64(2) {
		It(fmt.Sprintf("applies every answered command once and in order, seed %d", seed), func() {
			inVirtualTime(func(ctx context.Context, gm *WithT) {
				rnd, fl, number := rand.New(rand.NewPCG(seed, 9)), newFleet(), 4
				for at := range 4 {
					fl.start("a", at+1)
				}
				defer func() { fl.stop() }()
				fl.advance(3 * time.Second)
				answered := map[int][]string{}
				for round := range rounds {
					fl.injectFault(rnd, &number)
					for shard := range sharder.ShardCount {
						word := fmt.Sprintf("%d-%d", round, shard)
						pr := fl.live[rnd.IntN(len(fl.live))]
						if _, err := pr.sharder.Propose(ctx, "a", shard, []byte(word)); err == nil {
							answered[shard] = append(answered[shard], word)
						}
					}
					began := time.Now()
					for !fl.fullyRepaired() {
						fl.advance(200 * time.Millisecond)
						gm.Expect(time.Since(began)).To(BeNumerically("<", time.Minute), "round %d: some groups are not fully repaired", round)
					}
				}
				gm.Expect(fl.placements).To(HaveLen(sharder.ShardCount))
				gm.Expect(fl.duplicateLeases).To(BeZero(), "leases held by two processes")
				fl.expectAppliedOnce(ctx, gm, answered)
			})
		})
	}
})

// expectAppliedOnce checks the logs of the leaders: every answered command is there once, in the order of the answers.
func (fl *fleet) expectAppliedOnce(ctx context.Context, gm *WithT, answered map[int][]string) {
	total := 0
	for shard := range sharder.ShardCount {
		key := sharder.Key{Domain: "a", Shard: shard}
		for _, pr := range fl.live {
			if !pr.sharder.Lease(shard).Held {
				continue
			}
			gm.Expect(pr.sharder.Barrier(ctx, shard)).To(Succeed())
			pr.mu.Lock()
			kept := slices.DeleteFunc(slices.Clone(pr.logs[key].All), func(word string) bool {
				return !slices.Contains(answered[shard], word)
			})
			pr.mu.Unlock()
			gm.Expect(kept).To(Equal(answered[shard]), "shard %d", shard)
			total += len(kept)
		}
	}
	gm.Expect(total).To(BeNumerically(">", 30), "too few proposals were answered")
}
