package throttler_test

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/throttler"
)

var key = throttler.Key{Route: "/slips", Importance: 70}

// offerLoad sends perS requests a second for a duration to a service that serves capacity a second,
// and returns how many were admitted, and how many of these were served.
func offerLoad(th *throttler.Throttler, perS, capacity int, duration time.Duration) (admitted, served int) {
	tokens := 0.0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perS)) {
		tokens = min(tokens+float64(capacity)/float64(perS), 4)
		if th.Admit(key, "east") != nil {
			continue
		}
		admitted++
		accepted := tokens >= 1
		if accepted {
			tokens--
			served++
		}
		th.Done(key, accepted)
	}
	return admitted, served
}

func TestAdmitsLittleMoreThanCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(1, 1)))
		offerLoad(th, 200, 80, 4*time.Second)
		admitted, served := offerLoad(th, 200, 80, 10*time.Second)
		t.Logf("admitted %d, served %d of 800", admitted, served)
		gm.Expect(served).To(gomega.BeNumerically(">=", 640))
		gm.Expect(float64(admitted)).To(gomega.BeNumerically("<=", 1.6*float64(served)))
	})
}

func TestRefusesNothingWithoutOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(2, 2)))
		admitted, served := offerLoad(th, 100, 200, 5*time.Second)
		gm.Expect(admitted).To(gomega.Equal(500))
		gm.Expect(served).To(gomega.Equal(500))
	})
}

func TestAdmitsAllWithinTwoSecondsOfRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(3, 3)))
		offerLoad(th, 100, 20, 6*time.Second)
		offerLoad(th, 100, 200, 2*time.Second)
		admitted, _ := offerLoad(th, 100, 200, 2*time.Second)
		gm.Expect(admitted).To(gomega.BeNumerically(">=", 180))
	})
}

func TestAdmitsAllWithinTwoSecondsAfterNearlyAllFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(5, 5)))
		offerLoad(th, 100, 2, 10*time.Second)
		offerLoad(th, 50, 200, 1500*time.Millisecond)
		admitted, _ := offerLoad(th, 50, 200, time.Second)
		t.Logf("admitted %d of 50 after 1.5 s", admitted)
		gm.Expect(admitted).To(gomega.BeNumerically(">=", 45))
	})
}

func TestRefusalHasRetryAfter(t *testing.T) {
	gm := gomega.NewWithT(t)
	th := throttler.New(rand.New(rand.NewPCG(4, 4)))
	for range 200 {
		if rf := th.Admit(key, "east"); rf != nil {
			gm.Expect(rf.RetryAfter).To(gomega.BeNumerically(">=", 250*time.Millisecond))
			return
		}
		th.Done(key, false)
	}
	t.Fatal("nothing was refused though nothing was served")
}

// admittedOfSmall sends the requests of a large workspace and a small one to a service that serves half of them,
// and returns how many of the small one's requests were admitted.
func admittedOfSmall(seed uint64, requests int) int {
	const share = 20
	th := throttler.New(rand.New(rand.NewPCG(seed, 6)))
	admitted, tokens := 0, 0.0
	for number := range requests * share {
		tokens = min(tokens+0.5, 4)
		ws := gypsumhoist.Workspace("large")
		if number%share == 0 {
			ws = "small"
		}
		if th.Admit(key, ws) == nil {
			if ws == "small" {
				admitted++
			}
			accepted := tokens >= 1
			if accepted {
				tokens--
			}
			th.Done(key, accepted)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return admitted
}

func TestAdmitsASteadyShareOfASmallWorkspace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, seeds = 40, 30
		admitted, most, least := 0, 0, requests
		for seed := range uint64(seeds) {
			got := admittedOfSmall(seed, requests)
			admitted, most, least = admitted+got, max(most, got), min(least, got)
		}
		mean := float64(admitted) / seeds
		t.Logf("admitted of %d: %d to %d, %.1f on average", requests, least, most, mean)
		gm := gomega.NewWithT(t)
		gm.Expect(float64(least)).To(gomega.BeNumerically(">=", 0.8*mean))
		gm.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.2*mean))
	})
}
