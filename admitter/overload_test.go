package admitter_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	slowFrom = 6 * time.Second
	slowTo   = 26 * time.Second
	spanAll  = 34 * time.Second
)

// slowedUpstream is a service at 0.7 of its capacity that slows to a fifth of its speed while demand doubles.
func slowedUpstream(knee int, md mode) *simulation {
	during := func(now time.Duration) bool { return now >= slowFrom && now < slowTo }
	si := &simulation{
		slots: 40, knee: func(time.Duration) int { return knee }, service: 50 * time.Millisecond, deadline: 2 * time.Second, mode: md,
		speed: func(now time.Duration) float64 {
			if during(now) {
				return 0.2
			}
			return 1
		},
		demand: func(now time.Duration) float64 {
			if during(now) {
				return 2
			}
			return 1
		},
	}
	capacity := float64(min(knee, 40)) / si.service.Seconds()
	// Only the most important tenth of the requests is within the capacity of the slowed service.
	for at, share := range []float64{0.3, 0.3, 0.3, 0.1} {
		si.clients = append(si.clients, client{
			workspace:   gypsumhoist.Workspace('a' + rune(at)),
			importance:  []gypsumhoist.Importance{20, 50, 50, 80}[at],
			requestRate: 0.7 * capacity * share,
		})
	}
	return si
}

var _ = Describe("an upstream that slows to a fifth while demand doubles and clients retry without backoff", func() {
	DescribeTable("keeps its goodput and recovers", func(knee int) {
		capacity := float64(min(knee, 40)) / 0.05
		modes := []mode{passThrough, passCancels, limited, limitedWithForecast}
		if knee < 40 {
			modes = modes[2:]
		}
		for _, md := range modes {
			si := slowedUpstream(knee, md)
			si.run(spanAll)
			before := si.rate(2*time.Second, slowFrom)
			// The first two seconds are left out: requests from before still run in them.
			goodput := si.rate(slowFrom+2*time.Second, slowTo) / (0.2 * capacity)
			recovery := si.recovery(slowTo, 0.95*before)
			first := si.clients[3].share()
			GinkgoWriter.Printf("knee %d, %s: goodput %.3f of capacity, recovery %v, most important %.3f, next %.3f, least %.3f\n",
				knee, md, goodput, recovery, first, si.clients[2].share(), si.clients[0].share())
			GinkgoWriter.Printf("  refused %d at the entry, %d at the core\n", si.refusedAtEntry, si.refusedAtCore)
			switch md {
			case passThrough:
				Expect(goodput).To(BeNumerically("<", 0.5), "this baseline no longer degrades")
			case passCancels:
				Expect(first).To(BeNumerically("<", 0.8), "this baseline no longer degrades")
			case limited, limitedWithForecast:
				Expect(goodput).To(BeNumerically(">=", 0.9))
				Expect(recovery).To(BeNumerically("<=", 2*time.Second))
				Expect(first).To(BeNumerically(">=", 0.99))
			}
		}
	},
		Entry("with a capacity of all its slots", 1000),
		Entry("with a capacity of half its slots", 20),
	)
})

var _ = Describe("a workspace at five times its share", func() {
	It("leaves the others their share", func() {
		si := &simulation{
			slots: 40, knee: func(time.Duration) int { return 1000 }, service: 50 * time.Millisecond, deadline: time.Second, mode: limited,
			speed:  func(time.Duration) float64 { return 1 },
			demand: func(time.Duration) float64 { return 1 },
		}
		fair := 800.0 / 8
		for at := range 8 {
			rate := 0.8 * fair
			if at == 0 {
				rate = 5 * fair
			}
			si.clients = append(si.clients, client{workspace: gypsumhoist.Workspace('a' + rune(at)), importance: 50, requestRate: rate})
		}
		si.run(20 * time.Second)
		worst := 1.0
		for _, cl := range si.clients[1:] {
			worst = min(worst, cl.share())
		}
		GinkgoWriter.Printf("worst-served of the others %.3f of its demand, goodput %.3f of capacity\n",
			worst, si.rate(2*time.Second, 20*time.Second)/800)
		Expect(worst).To(BeNumerically(">=", 0.9))
	})
})

var _ = Describe("an upstream at nine tenths of its capacity", func() {
	It("refuses nothing", func() {
		si := slowedUpstream(1000, limitedWithForecast)
		si.speed = func(time.Duration) float64 { return 1 }
		si.demand = func(time.Duration) float64 { return 0.9 / 0.7 }
		si.run(spanAll)
		sent, answered := 0, 0
		for _, cl := range si.clients {
			sent += cl.requests
			answered += cl.succeeded
		}
		GinkgoWriter.Printf("at 0.9 of capacity: %d sent, %d answered, refused %d at the entry, %d at the core\n",
			sent, answered, si.refusedAtEntry, si.refusedAtCore)
		Expect(si.refusedAtEntry + si.refusedAtCore).To(BeZero())
	})
})

var _ = Describe("an upstream whose capacity temporarily falls to an eighth of its slots", func() {
	It("keeps its goodput, and uses all its slots within two seconds of the end", func() {
		si := slowedUpstream(1000, limited)
		si.seed = 1
		si.speed = func(time.Duration) float64 { return 1 }
		si.knee = func(now time.Duration) int {
			if now >= slowFrom && now < slowTo {
				return 5
			}
			return 1000
		}
		si.run(spanAll)
		goodput := si.rate(slowFrom+2*time.Second, slowTo) / 100
		recovery := si.recovery(slowTo, 0.95*si.rate(2*time.Second, slowFrom))
		GinkgoWriter.Printf("temporary congestion: goodput %.3f of capacity, recovery %v\n", goodput, recovery)
		Expect(goodput).To(BeNumerically(">=", 0.9))
		Expect(recovery).To(BeNumerically("<=", 2*time.Second))
	})
})

func (md mode) String() string {
	return [...]string{"pass-through", "pass-through with cancellation", "admitter", "admitter and forecast"}[md]
}

func (cl *client) share() float64 { return float64(cl.succeeded) / float64(cl.requests) }
