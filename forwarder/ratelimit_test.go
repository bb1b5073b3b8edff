package forwarder_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Targets for an upstream that names a rate limit.
const (
	limitGrace  = 3 * time.Second // time after the limit was first named
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// arrivals records when requests reach an upstream.
type arrivals struct {
	mu    sync.Mutex
	began time.Time
	times []time.Duration
}

func (ar *arrivals) add() {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	ar.times = append(ar.times, time.Since(ar.began))
}

// most returns the most requests in any window that begins after a time.
func (ar *arrivals) most(after, window time.Duration) int {
	ar.mu.Lock()
	defer ar.mu.Unlock()
	most := 0
	for at, from := range ar.times {
		until, _ := slices.BinarySearch(ar.times, from+window)
		if from >= after {
			most = max(most, until-at)
		}
	}
	return most
}

// press sends requests from a number of callers of each entry for a time, each the next one at once.
func (fl *fleet) press(span time.Duration, callers int, key string, entries ...*node) {
	var wg sync.WaitGroup
	end := time.Now().Add(span)
	for _, entry := range entries {
		for range callers {
			wg.Go(func() {
				for time.Now().Before(end) {
					_, _, err := fl.call(entry, "GET", "/slips", "", gypsumhoist.HeaderKey, key)
					if err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
}

var _ = Describe("an upstream that names a rate limit", func() {
	const perSecond = 6.5
	limited := func(restarts int) func() {
		return withFleet(func(fl *fleet) {
			ar := &arrivals{began: time.Now()}
			nd := fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
				ar.add()
				time.Sleep(400 * time.Millisecond)
				wr.Header().Set(gypsumhoist.HeaderRateLimit, fmt.Sprint(perSecond))
			})
			entries := []*node{fl.add("roster-1", respond("")), fl.add("roster-2", respond("")), fl.add("roster-3", respond(""))}
			fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 2 * time.Second, Retries: 2})
			key := fl.grant("kingston")
			go func() {
				for range restarts {
					time.Sleep(5 * time.Second)
					fl.restart(nd)
				}
			}()
			fl.press(20*time.Second, 12, key, entries...)
			most := ar.most(limitGrace, limitWindow)
			GinkgoWriter.Printf("%d restarts: at most %d requests in %v\n", restarts, most, limitWindow)
			Expect(float64(most)).To(BeNumerically("<=", limitFactor*perSecond*limitWindow.Seconds()+limitSlack))
			Expect(float64(most)).To(BeNumerically(">=", 0.9*perSecond*limitWindow.Seconds()), "the limit is used")
		})
	}
	It("gets no more than that from the whole fleet", limited(0))
	It("gets no more than that from the whole fleet though its node restarts", limited(3))

	It("gets its full share again once it names none", withFleet(func(fl *fleet) {
		ar := &arrivals{began: time.Now()}
		fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			ar.add()
			time.Sleep(100 * time.Millisecond)
			if time.Since(ar.began) < 6*time.Second {
				wr.Header().Set(gypsumhoist.HeaderRateLimit, "0")
			}
		})
		entry := fl.add("roster-1", respond(""))
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 2 * time.Second})
		fl.press(18*time.Second, 20, fl.grant("kingston"), entry)
		Expect(ar.most(limitGrace, time.Second)).To(BeNumerically(">", 100))
	}))
})
