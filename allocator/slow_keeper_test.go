package allocator_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// handle runs a call at the member. While the member is slow the call runs later, also when its caller has given up by then.
func (mb *member) handle(rq *http.Request, serve func() *http.Response) (*http.Response, error) {
	mb.fl.mu.Lock()
	delay := mb.slow
	mb.fl.mu.Unlock()
	if delay == 0 {
		return serve(), nil
	}
	done := make(chan *http.Response, 1)
	go func() {
		time.Sleep(delay)
		done <- serve()
	}()
	select {
	case rs := <-done:
		return rs, nil
	case <-rq.Context().Done():
		return nil, context.Cause(rq.Context())
	}
}

// slowDown makes random members slow for a while, again and again, until the test ends.
func (fl *fleet) slowDown(seed uint64, members int, duration time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		var slow []*member
		fl.mu.Lock()
		for range members {
			mb := fl.members[rnd.IntN(len(fl.members))]
			mb.slow = 50*time.Millisecond + time.Duration(rnd.Int64N(int64(600*time.Millisecond)))
			slow = append(slow, mb)
		}
		fl.mu.Unlock()
		time.Sleep(200*time.Millisecond + time.Duration(rnd.Int64N(int64(time.Second))))
		fl.mu.Lock()
		for _, mb := range slow {
			mb.slow = 0
		}
		fl.mu.Unlock()
	}
}

// Guards against two keepers that both fill their buckets for a node that has gone over from one to the other.
func TestLimitHoldsWhileKeepersAreSlow(t *testing.T) {
	for _, perSecond := range []float64{20, 100, 400} {
		for seed := range uint64(5) {
			rw := row(perSecond, int64(perSecond))
			withFleet(t, 3, 5, rw, func(gm *gomega.WithT, fl *fleet) {
				go fl.slowDown(seed, 4, 30*time.Second)
				sent, refused, unavoidable := fl.load(20+seed, rw, 5*perSecond, 30*time.Second, fl.anyMember)
				time.Sleep(2 * time.Second)
				t.Logf("rate %v, seed %d: %d sent, %d refused (%d unavoidable), busiest window %d of %d",
					perSecond, seed, sent, refused, unavoidable, fl.busiestWindow(rw), limit(rw))
				gm.Expect(fl.busiestWindow(rw)).To(gomega.BeNumerically("<=", limit(rw)))
			})
		}
	}
}
