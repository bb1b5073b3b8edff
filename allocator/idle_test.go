package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

// Guards against homes that lose loans now and then because nodes that spend no tokens of their own report seldom.
func TestHomeKeepsTheWholeRateOfIdleNodes(t *testing.T) {
	for seed := range uint64(4) {
		rw := row(30, 20)
		withFleet(t, 4, 5, rw, func(gm *gomega.WithT, fl *fleet) {
			// Processes are not in step, and their calls are late now and then.
			rnd := rand.New(rand.NewPCG(seed, 1))
			for _, mb := range fl.members {
				mb.al.Stop()
				time.Sleep(time.Duration(rnd.IntN(240)) * time.Millisecond)
				mb.start()
			}
			fl.updateMembers()
			fl.setRows(rw)
			time.Sleep(limitWindow)
			for range 200 {
				time.Sleep(time.Duration(5+rnd.IntN(60)) * time.Millisecond)
				mb := fl.anyMember(rnd)
				fl.mu.Lock()
				mb.slow = time.Duration(rnd.IntN(60)) * time.Millisecond
				fl.mu.Unlock()
				shares := map[gypsumhoist.FailureDomain]float64{}
				for _, mb := range fl.members {
					shares[mb.self.Domain] = max(shares[mb.self.Domain], mb.al.HomeShare())
				}
				for domain, share := range shares {
					gm.Expect(share).To(gomega.BeNumerically("~", 1, 1e-9), "seed %d, home %s", seed, domain)
				}
			}
		})
	}
}
