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

// decisions returns the decisions of a throttler with a fixed seed over an overload and a pause, and calls peek before each of them.
func decisions(peek func(th *throttler.Throttler, ws gypsumhoist.Workspace) throttler.Outlook) (waits []time.Duration, wrong int) {
	random := rand.New(rand.NewPCG(5, 6))
	th := throttler.New(rand.New(rand.NewPCG(7, 8)))
	for at := range 3000 {
		time.Sleep(time.Duration(random.IntN(10)) * time.Millisecond)
		if at == 2000 {
			time.Sleep(5 * time.Second)
		}
		ws := gypsumhoist.Workspace(rune('a' + random.IntN(20)))
		ol := peek(th, ws)
		rf := th.Admit(key, ws)
		wait := time.Duration(0)
		if rf != nil {
			wait = rf.RetryAfter
		} else {
			th.Done(key, random.IntN(3) == 0)
		}
		if ol.Chance == 1 && rf != nil || ol.Chance == 0 && rf == nil ||
			rf != nil && (wait < ol.RetryAfterMin || wait > ol.RetryAfterMax) {
			wrong++
		}
		waits = append(waits, wait)
	}
	return waits, wrong
}

// Guards against a Peek that draws a random number, counts a request or makes a class, and against one that foretells another decision
// than Admit makes.
func TestPeekForetellsAdmitAndChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gm := gomega.NewWithT(t)
		without, _ := decisions(func(*throttler.Throttler, gypsumhoist.Workspace) throttler.Outlook {
			return throttler.Outlook{Chance: 0.5, RetryAfterMax: time.Hour}
		})
		with, wrong := decisions(func(th *throttler.Throttler, ws gypsumhoist.Workspace) throttler.Outlook {
			th.Peek(throttler.Key{Route: "/unknown"}, ws)
			th.Peek(key, "unknown")
			return th.Peek(key, ws)
		})
		gm.Expect(with).To(gomega.Equal(without))
		gm.Expect(wrong).To(gomega.BeZero())
		refused := 0
		for _, wait := range with {
			if wait > 0 {
				refused++
			}
		}
		gm.Expect(refused).To(gomega.BeNumerically(">", 500))
	})
}
