package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// fakeUpstream is an upstream behind its node: a few slots, and a queue whose requests are refused after queueTimeout.
type fakeUpstream struct {
	mu             *sync.Mutex // the fleet's
	slots, running int
	service        time.Duration // mean service time
	waiting        []chan struct{}
	served         int
}

// queueTimeout is how long a request waits for a slot at most.
const queueTimeout = 75 * time.Millisecond

func (fu *fakeUpstream) load() *router.Load {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	return &router.Load{InFlight: fu.running + len(fu.waiting), Limit: fu.slots}
}

// run runs one request that needs a multiple of the mean service time, and reports whether it was served.
func (fu *fakeUpstream) run(multiple float64) bool {
	if !fu.acquire() {
		return false
	}
	time.Sleep(time.Duration(multiple * float64(fu.service)))
	fu.release()
	return true
}

// acquire waits for a slot and reports whether it got one.
func (fu *fakeUpstream) acquire() bool {
	fu.mu.Lock()
	if fu.running < fu.slots {
		fu.running++
		fu.mu.Unlock()
		return true
	}
	turn := make(chan struct{}, 1)
	fu.waiting = append(fu.waiting, turn)
	fu.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-time.After(queueTimeout):
	}
	fu.mu.Lock()
	defer fu.mu.Unlock()
	at := slices.Index(fu.waiting, turn)
	if at < 0 {
		// The slot was handed over at the moment of the timeout.
		return true
	}
	fu.waiting = slices.Delete(fu.waiting, at, at+1)
	return false
}

// release hands the slot to the request that has waited longest, or frees it.
func (fu *fakeUpstream) release() {
	fu.mu.Lock()
	defer fu.mu.Unlock()
	fu.served++
	if len(fu.waiting) == 0 {
		fu.running--
		return
	}
	fu.waiting[0] <- struct{}{}
	fu.waiting = fu.waiting[1:]
}

// fleet simulates many nodes of callers, each of which makes a small part of the calls to a service.
type fleet struct {
	callers   []*router.Router
	upstreams map[gypsumhoist.Instance]*fakeUpstream
	reroutes  int

	mu     sync.Mutex // guards random, the counts and all upstreams
	random *rand.Rand

	counts counts
}

// counts holds the numbers of requests and of the calls that they make.
type counts struct{ requests, succeeded, calls, refused int }

func newFleet(callers int) *fleet {
	fl := &fleet{upstreams: map[gypsumhoist.Instance]*fakeUpstream{}, random: rand.New(rand.NewPCG(1, 2)), reroutes: 2}
	domains := []gypsumhoist.FailureDomain{"a", "b", "c", "d", "e"}
	speeds := []float64{1.4, 1, 0.6}
	var all []router.Upstream
	for _, dm := range domains {
		for _, up := range upstreams(dm, 3, 14) {
			all = append(all, up)
			speed := speeds[len(all)%len(speeds)]
			fl.upstreams[up.Instance] = &fakeUpstream{mu: &fl.mu, slots: 14, service: time.Duration(float64(58*time.Millisecond) / speed)}
		}
	}
	for at := range callers {
		rt := router.New(domains[at%len(domains)], router.WithRandom(rand.New(rand.NewPCG(uint64(at), 3))))
		for _, dm := range domains {
			rt.SetDelay(dm, time.Millisecond)
		}
		rt.SetUpstreams("orders", all)
		fl.callers = append(fl.callers, rt)
	}
	return fl
}

// capacity returns how many calls per second the upstreams can serve.
func (fl *fleet) capacity() float64 {
	sum := 0.0
	for _, fu := range fl.upstreams {
		sum += float64(fu.slots) / fu.service.Seconds()
	}
	return sum
}

// randomFloat returns a random number in [0, 1).
func (fl *fleet) randomFloat() float64 {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.random.Float64()
}

// inc increments a counter under the lock.
func (fl *fleet) inc(counter *int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	*counter++
}

// call makes one call of a request and reports whether it was served; a refused call is rerouted a few times.
func (fl *fleet) call(rt *router.Router) bool {
	fl.inc(&fl.counts.calls)
	var tried []gypsumhoist.Instance
	for range 1 + fl.reroutes {
		pk, err := rt.Pick("orders", true, tried...)
		if err != nil {
			return false
		}
		tried = append(tried, pk.Upstream.Instance)
		fu := fl.upstreams[pk.Upstream.Instance]
		began := time.Now()
		time.Sleep(time.Millisecond)
		served := fu.run(0.5 + fl.randomFloat())
		oc := router.Outcome{Latency: time.Since(began), Load: fu.load()}
		if !served {
			oc.Result = router.ResultOverloaded
		}
		pk.Done(oc)
		if served {
			return true
		}
	}
	fl.inc(&fl.counts.refused)
	return false
}

// run simulates Poisson arrivals of requests at a rate per second and returns the counts. Each request makes fanOut calls in two
// parallel batches, and fails with its first failed call.
func (fl *fleet) run(rate float64, fanOut int, span time.Duration) counts {
	for began := time.Now(); time.Since(began) < span; {
		time.Sleep(time.Duration(-math.Log(1-fl.randomFloat()) / rate * float64(time.Second)))
		rt := fl.callers[int(fl.randomFloat()*float64(len(fl.callers)))]
		fl.inc(&fl.counts.requests)
		go func() {
			for range 2 {
				served := make(chan bool, fanOut)
				for range fanOut / 2 {
					go func() { served <- fl.call(rt) }()
				}
				for range fanOut / 2 {
					if !<-served {
						return
					}
				}
			}
			fl.inc(&fl.counts.succeeded)
		}()
	}
	time.Sleep(5 * time.Second)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := fl.counts
	fl.counts = counts{}
	return out
}

var _ = Describe("callers that each make a small share of the calls", func() {
	for _, callers := range []int{5, 100} {
		It(fmt.Sprintf("leave no upstream idle while others refuse, with %d callers", callers), func() {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				fl := newFleet(callers)
				for _, load := range []float64{0.7, 0.85} {
					ct := fl.run(load*fl.capacity()/8, 8, 12*time.Second)
					GinkgoWriter.Printf("%d callers, load %.2f: %d of %d requests succeeded, %d of %d calls refused\n",
						callers, load, ct.succeeded, ct.requests, ct.refused, ct.calls)
					g.Expect(float64(ct.succeeded)).To(BeNumerically(">", 0.97*float64(ct.requests)))
				}
			})
		})
	}
})
