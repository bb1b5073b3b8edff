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

// station is an upstream behind its node: a few slots, and a short queue whose requests are refused once they have waited too long.
type station struct {
	mu             *sync.Mutex // the fleet's
	slots, running int
	service        time.Duration // mean
	waiting        []chan struct{}
	served         int
}

// patience is how long a request waits for a slot.
const patience = 75 * time.Millisecond

func (st *station) load() *router.Load {
	st.mu.Lock()
	defer st.mu.Unlock()
	return &router.Load{InFlight: st.running + len(st.waiting), Limit: st.slots}
}

// run takes one request that needs a multiple of the mean time, and reports whether it was served.
func (st *station) run(times float64) bool {
	if !st.enter() {
		return false
	}
	time.Sleep(time.Duration(times * float64(st.service)))
	st.leave()
	return true
}

// enter waits for a slot and reports whether it got one.
func (st *station) enter() bool {
	st.mu.Lock()
	if st.running < st.slots {
		st.running++
		st.mu.Unlock()
		return true
	}
	turn := make(chan struct{}, 1)
	st.waiting = append(st.waiting, turn)
	st.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-time.After(patience):
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	at := slices.Index(st.waiting, turn)
	if at < 0 {
		// The turn came at the same moment.
		return true
	}
	st.waiting = slices.Delete(st.waiting, at, at+1)
	return false
}

// leave gives the slot to who waits longest, or frees it.
func (st *station) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.served++
	if len(st.waiting) == 0 {
		st.running--
		return
	}
	st.waiting[0] <- struct{}{}
	st.waiting = st.waiting[1:]
}

// wideFleet is many callers' nodes, each of which makes a small part of the calls to a service.
type wideFleet struct {
	callers  []*router.Router
	stations map[gypsumhoist.Instance]*station
	reroutes int

	mu     sync.Mutex // guards random, the counts and all stations
	random *rand.Rand

	tally tally
}

// tally counts requests and the calls that they make.
type tally struct{ asked, ended, calls, refused int }

func newWideFleet(callers int) *wideFleet {
	wf := &wideFleet{stations: map[gypsumhoist.Instance]*station{}, random: rand.New(rand.NewPCG(1, 2)), reroutes: 2}
	domains := []gypsumhoist.FailureDomain{"a", "b", "c", "d", "e"}
	speeds := []float64{1.4, 1, 0.6}
	var all []router.Upstream
	for _, dm := range domains {
		for _, up := range upstreams(dm, 3, 14) {
			all = append(all, up)
			speed := speeds[len(all)%len(speeds)]
			wf.stations[up.Instance] = &station{mu: &wf.mu, slots: 14, service: time.Duration(float64(58*time.Millisecond) / speed)}
		}
	}
	for at := range callers {
		rt := router.New(domains[at%len(domains)], router.WithRandom(rand.New(rand.NewPCG(uint64(at), 3))))
		for _, dm := range domains {
			rt.SetDelay(dm, time.Millisecond)
		}
		rt.SetUpstreams("orders", all)
		wf.callers = append(wf.callers, rt)
	}
	return wf
}

// capacity is how many calls a second the stations can serve.
func (wf *wideFleet) capacity() float64 {
	sum := 0.0
	for _, st := range wf.stations {
		sum += float64(st.slots) / st.service.Seconds()
	}
	return sum
}

// draw returns a random number from 0 to 1.
func (wf *wideFleet) draw() float64 {
	wf.mu.Lock()
	defer wf.mu.Unlock()
	return wf.random.Float64()
}

// count adds one to a count.
func (wf *wideFleet) count(what *int) {
	wf.mu.Lock()
	defer wf.mu.Unlock()
	*what++
}

// call makes one call of a request; a refused one goes on to another upstream a few times.
func (wf *wideFleet) call(rt *router.Router) bool {
	wf.count(&wf.tally.calls)
	var tried []gypsumhoist.Instance
	for range 1 + wf.reroutes {
		pk, err := rt.Pick("orders", true, tried...)
		if err != nil {
			return false
		}
		tried = append(tried, pk.Upstream.Instance)
		st := wf.stations[pk.Upstream.Instance]
		began := time.Now()
		time.Sleep(time.Millisecond)
		served := st.run(0.5 + wf.draw())
		oc := router.Outcome{Latency: time.Since(began), Load: st.load()}
		if !served {
			oc.Result = router.ResultOverloaded
		}
		pk.Done(oc)
		if served {
			return true
		}
	}
	wf.count(&wf.tally.refused)
	return false
}

// play lets requests arrive at random at a rate, each with some calls, half of them at a time, and counts them.
func (wf *wideFleet) play(rate float64, fanOut int, span time.Duration) tally {
	for began := time.Now(); time.Since(began) < span; {
		time.Sleep(time.Duration(-math.Log(1-wf.draw()) / rate * float64(time.Second)))
		rt := wf.callers[int(wf.draw()*float64(len(wf.callers)))]
		wf.count(&wf.tally.asked)
		go func() {
			for range 2 {
				well := make(chan bool, fanOut)
				for range fanOut / 2 {
					go func() { well <- wf.call(rt) }()
				}
				for range fanOut / 2 {
					if !<-well {
						return
					}
				}
			}
			wf.count(&wf.tally.ended)
		}()
	}
	time.Sleep(5 * time.Second)
	wf.mu.Lock()
	defer wf.mu.Unlock()
	out := wf.tally
	wf.tally = tally{}
	return out
}

var _ = Describe("callers that each make a small part of the calls", func() {
	for _, callers := range []int{5, 100} {
		It(fmt.Sprintf("leave no upstream idle while others refuse, %d of them", callers), func() {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				wf := newWideFleet(callers)
				for _, load := range []float64{0.7, 0.85} {
					ta := wf.play(load*wf.capacity()/8, 8, 12*time.Second)
					GinkgoWriter.Printf("%d callers, load %.2f: %d of %d requests end well, %d of %d calls refused\n",
						callers, load, ta.ended, ta.asked, ta.refused, ta.calls)
					g.Expect(float64(ta.ended)).To(BeNumerically(">", 0.97*float64(ta.asked)))
				}
			})
		})
	}
})
