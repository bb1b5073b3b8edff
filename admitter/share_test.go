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

// shares offers an upstream of 15 slots and a second a request more than it serves, from workspaces whose demand
// goes by their weights, for a time. It returns the share of its fair part that each workspace got.
func shares(seed uint64, weights []int, lasts time.Duration) []float64 {
	const slots, step, load = 15, 10 * time.Millisecond, 1.3
	rd := rand.New(rand.NewPCG(seed, 7))
	co := admitter.NewCore(slots, rd)
	owner, ends := map[admitter.ID]int{}, map[admitter.ID]time.Duration{}
	got, sum := make([]float64, len(weights)), 0
	for _, weight := range weights {
		sum += weight
	}
	start := func(now time.Duration, id admitter.ID) {
		ends[id] = now + 800*time.Millisecond + time.Duration(rd.Int64N(int64(400*time.Millisecond)))
		got[owner[id]]++
	}
	take := func(now time.Duration) {
		for _, nt := range co.Notices() {
			if _, ok := nt.Decision.(admitter.Started); ok {
				start(now, nt.ID)
			}
		}
	}
	for now := time.Duration(0); now < lasts; now += step {
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if ends[id] <= now {
				delete(ends, id)
				co.Done(now, time.Second, "", admitter.OutcomeAnswered)
				take(now)
			}
		}
		for at, weight := range weights {
			if rd.Float64() >= load*slots*step.Seconds()*float64(weight)/float64(sum) {
				continue
			}
			id, dc := co.Arrive(now, admitter.Request{
				Workspace: gypsumhoist.Workspace('a' + rune(at)), Weight: weight, Importance: 90, Deadline: now + 5*time.Second,
			})
			owner[id] = at
			if _, ok := dc.(admitter.Started); ok {
				start(now, id)
			}
			take(now)
		}
	}
	for at, weight := range weights {
		got[at] /= slots * lasts.Seconds() * float64(weight) / float64(sum)
	}
	return got
}

var _ = Describe("a queue that is full of one importance", func() {
	It("gives small workspaces their share, though they have one request in it at most times", func() {
		weights := []int{35, 25, 10, 8, 7, 6, 5, 4}
		mean := make([]float64, len(weights))
		const seeds = 10
		for seed := range uint64(seeds) {
			for at, share := range shares(seed, weights, 60*time.Second) {
				mean[at] += share / seeds
			}
		}
		for at, weight := range weights {
			Expect(mean[at]).To(BeNumerically(">=", 0.9), "weight %d of %v", weight, mean)
		}
	})
})
