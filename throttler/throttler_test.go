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

// play sends requests at a pace for a time to a service that serves so many a second,
// and returns how many were let in, and how many of these were served.
func play(th *throttler.Throttler, perS, capacity int, lasts time.Duration) (letIn, served int) {
	room := 0.0
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perS)) {
		room = min(room+float64(capacity)/float64(perS), 4)
		if th.Admit(key, "east") != nil {
			continue
		}
		letIn++
		well := room >= 1
		if well {
			room--
			served++
		}
		th.Done(key, well)
	}
	return letIn, served
}

func TestLetsInLittleMoreThanCanBeServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(1, 1)))
		play(th, 200, 80, 4*time.Second)
		letIn, served := play(th, 200, 80, 10*time.Second)
		t.Logf("let in %d, served %d of 800", letIn, served)
		gm.Expect(served).To(gomega.BeNumerically(">=", 640))
		gm.Expect(float64(letIn)).To(gomega.BeNumerically("<=", 1.6*float64(served)))
	})
}

func TestRefusesNothingWhileAllGoesWell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(2, 2)))
		letIn, served := play(th, 100, 200, 5*time.Second)
		gm.Expect(letIn).To(gomega.Equal(500))
		gm.Expect(served).To(gomega.Equal(500))
	})
}

func TestOpensWithinTwoSecondsOfTheCausesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(3, 3)))
		play(th, 100, 20, 6*time.Second)
		play(th, 100, 200, 2*time.Second)
		letIn, _ := play(th, 100, 200, 2*time.Second)
		gm.Expect(letIn).To(gomega.BeNumerically(">=", 180))
	})
}

func TestOpensWithinTwoSecondsWhenNextToNothingWasServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		th := throttler.New(rand.New(rand.NewPCG(5, 5)))
		play(th, 100, 2, 10*time.Second)
		play(th, 50, 200, 1500*time.Millisecond)
		letIn, _ := play(th, 50, 200, time.Second)
		t.Logf("let in %d of 50 after 1.5 s", letIn)
		gm.Expect(letIn).To(gomega.BeNumerically(">=", 45))
	})
}

func TestARefusalSaysWhenToComeBack(t *testing.T) {
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

// ofSmall plays a crowd of one large workspace and a small one to a service that serves half of what they ask,
// and returns how many of the small one's requests were let in.
func ofSmall(seed uint64, requests int) int {
	const share = 20
	th := throttler.New(rand.New(rand.NewPCG(seed, 6)))
	letIn, room := 0, 0.0
	for number := range requests * share {
		room = min(room+0.5, 4)
		ws := gypsumhoist.Workspace("large")
		if number%share == 0 {
			ws = "small"
		}
		if th.Admit(key, ws) == nil {
			if ws == "small" {
				letIn++
			}
			well := room >= 1
			if well {
				room--
			}
			th.Done(key, well)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return letIn
}

func TestEachWorkspaceHasItsShareLetIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, seeds = 40, 30
		letIn, most, least := 0, 0, requests
		for seed := range uint64(seeds) {
			got := ofSmall(seed, requests)
			letIn, most, least = letIn+got, max(most, got), min(least, got)
		}
		mean := float64(letIn) / seeds
		t.Logf("let in of %d: %d to %d, %.1f on average", requests, least, most, mean)
		gm := gomega.NewWithT(t)
		gm.Expect(float64(least)).To(gomega.BeNumerically(">=", 0.8*mean))
		gm.Expect(float64(most)).To(gomega.BeNumerically("<=", 1.2*mean))
	})
}
