package admitter_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/admitter"
)

// busyUpstream is an upstream in constant overload whose work takes longer while nearly all slots are in use.
type busyUpstream struct {
	slots  int
	factor float64 // on the work of a request that starts with 95% of the slots in use
	tail   float64 // on the work of 3 in 100 requests
	paced  bool
	// pauses is the share of the intervals of about 600 ms in which work takes 2.5 times as long.
	pauses float64
}

// run returns how many requests were answered, and the limits that were in force.
func (bu busyUpstream) run(seed uint64, span time.Duration) (answered int, limits map[int]time.Duration) {
	random := rand.New(rand.NewPCG(seed, 3))
	core := admitter.NewCore(bu.slots, random)
	limits = map[int]time.Duration{}
	running, began := events{}, map[admitter.ID]time.Duration{}
	now := time.Duration(0)
	intervalEnd, paused := time.Duration(0), false
	var start func(id admitter.ID)
	start = func(id admitter.ID) {
		work := (0.5 + random.Float64()) * float64(50*time.Millisecond)
		if random.Float64() < 0.03 {
			work *= bu.tail
		}
		if float64(core.Load(now).InFlight) >= 0.95*float64(bu.slots) {
			work *= bu.factor
		}
		for bu.pauses > 0 && intervalEnd < now {
			intervalEnd += time.Duration((0.5 + random.Float64()) * float64(600*time.Millisecond))
			paused = random.Float64() < bu.pauses
		}
		if paused {
			work *= 2.5
		}
		began[id] = now
		heap.Push(&running, event{at: now + time.Duration(work), do: func() {
			answered++
			core.Done(now, now-began[id], "/names", admitter.OutcomeAnswered)
			delete(began, id)
			for _, nt := range append([]admitter.Notice(nil), core.Notices()...) {
				if nt.Decision == (admitter.Started{}) {
					start(nt.ID)
				}
			}
		}})
	}
	for arrival := time.Duration(0); now < span; {
		if len(running) > 0 && running[0].at <= arrival {
			next := heap.Pop(&running).(event)
			limits[core.Load(now).Limit] += next.at - now
			now = next.at
			next.do()
			continue
		}
		limits[core.Load(now).Limit] += arrival - now
		now = arrival
		id, dc := core.Arrive(now, admitter.CoreRequest{
			Workspace: "kingston", Route: "/names", Weight: 1, Importance: 50, Deadline: now + time.Second, LoadReported: bu.paced,
		})
		if dc == (admitter.Started{}) {
			start(id)
		}
		core.Notices()
		arrival += time.Duration(random.ExpFloat64() / (1.5 * float64(bu.slots) / 0.05) * float64(time.Second))
	}
	return answered, limits
}

// Guards against an upstream that stays slower than it could be for as long as an overload lasts.
var _ = Describe("an upstream in constant overload", func() {
	const slots, span = 40, 30 * time.Second
	share := func(limits map[int]time.Duration, limit int) float64 { return limits[limit].Seconds() / span.Seconds() }

	It("keeps some slots free if it does more work then", func() {
		for seed := range uint64(3) {
			before, _ := busyUpstream{slots: slots, factor: 1.3, tail: 7}.run(seed, span)
			answered, limits := busyUpstream{slots: slots, factor: 1.3, tail: 7, paced: true}.run(seed, span)
			GinkgoWriter.Printf("answered %d, before %d, limits %v\n", answered, before, limits)
			Expect(share(limits, 37)).To(BeNumerically(">", 0.7))
			Expect(float64(answered)).To(BeNumerically(">", 1.1*float64(before)))
		}
	})

	It("uses all slots nearly always if it does not", func() {
		for seed := range uint64(3) {
			before, _ := busyUpstream{slots: slots, factor: 1, tail: 7}.run(seed, span)
			answered, limits := busyUpstream{slots: slots, factor: 1, tail: 7, paced: true}.run(seed, span)
			GinkgoWriter.Printf("answered %d, before %d, limits %v\n", answered, before, limits)
			Expect(share(limits, slots)).To(BeNumerically(">", 0.9))
			Expect(float64(answered)).To(BeNumerically(">", 0.98*float64(before)))
		}
	})

	It("is not taken for one that does more work with some slots free if its host slows it from time to time", func() {
		const seeds = 10
		held := 0.0
		for seed := range uint64(seeds) {
			_, limits := busyUpstream{slots: slots, factor: 1, tail: 7, paced: true, pauses: 0.15}.run(seed, 3*span)
			held += share(limits, 37) / seeds / 3
			GinkgoWriter.Printf("37 slots for %.3f of the time\n", share(limits, 37)/3)
		}
		GinkgoWriter.Printf("37 slots for %.3f of the time\n", held)
		Expect(held).To(BeNumerically("<", 0.1))
	})

	It("uses all slots while nothing says that it reports its load", func() {
		_, limits := busyUpstream{slots: slots, factor: 1.3, tail: 7}.run(1, span)
		Expect(limits).To(HaveLen(1))
	})
})
