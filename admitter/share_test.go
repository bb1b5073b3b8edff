package admitter_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

// servedShares sends requests at 1.3 times capacity to an upstream with 15 slots and a service time of one second, from
// workspaces in proportion to their weights. It returns what each workspace was served as a fraction of its fair share.
func servedShares(seed uint64, weights []int, duration time.Duration) []float64 {
	const slots, step, load = 15, 10 * time.Millisecond, 1.3
	rd := rand.New(rand.NewPCG(seed, 7))
	co := admitter.NewCore(slots, rd)
	owner, ends := map[admitter.ID]int{}, map[admitter.ID]time.Duration{}
	served, sum := make([]float64, len(weights)), 0
	for _, weight := range weights {
		sum += weight
	}
	start := func(now time.Duration, id admitter.ID) {
		ends[id] = now + 800*time.Millisecond + time.Duration(rd.Int64N(int64(400*time.Millisecond)))
		served[owner[id]]++
	}
	applyNotices := func(now time.Duration) {
		for _, nt := range co.Notices() {
			if _, ok := nt.Decision.(admitter.Started); ok {
				start(now, nt.ID)
			}
		}
	}
	for now := time.Duration(0); now < duration; now += step {
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if ends[id] <= now {
				delete(ends, id)
				co.Done(now, time.Second, "", admitter.OutcomeAnswered)
				applyNotices(now)
			}
		}
		for at, weight := range weights {
			if rd.Float64() >= load*slots*step.Seconds()*float64(weight)/float64(sum) {
				continue
			}
			id, dc := co.Arrive(now, admitter.CoreRequest{
				Workspace: gypsumhoist.Workspace('a' + rune(at)), Weight: weight, Importance: 90, Deadline: now + 5*time.Second,
			})
			owner[id] = at
			if _, ok := dc.(admitter.Started); ok {
				start(now, id)
			}
			applyNotices(now)
		}
	}
	for at, weight := range weights {
		served[at] /= slots * duration.Seconds() * float64(weight) / float64(sum)
	}
	return served
}

var _ = Describe("a full queue of one importance", func() {
	It("serves small workspaces their share, though they mostly have a single request waiting", func() {
		weights := []int{35, 25, 10, 8, 7, 6, 5, 4}
		mean := make([]float64, len(weights))
		const seeds = 10
		for seed := range uint64(seeds) {
			for at, share := range servedShares(seed, weights, 60*time.Second) {
				mean[at] += share / seeds
			}
		}
		for at, weight := range weights {
			Expect(mean[at]).To(BeNumerically(">=", 0.9), "weight %d of %v", weight, mean)
		}
	})
})
