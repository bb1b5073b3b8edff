package allocator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/allocator"
)

// setAlive tells the members, one after the other within a time, whether the nodes of a domain are alive.
func (fl *fleet) setAlive(rnd *rand.Rand, domain gypsumhoist.FailureDomain, alive bool, within time.Duration) {
	var list []allocator.Member
	for _, mb := range fl.members {
		if mb.self.Domain == domain {
			mb.self.Alive = alive
		}
		list = append(list, mb.self)
	}
	for _, at := range rnd.Perm(len(fl.members)) {
		time.Sleep(within / time.Duration(len(fl.members)))
		fl.members[at].al.SetMembers(list)
	}
}

// Guards against two homes of a row that both count the loans of the other domains, as nodes learn of a lost domain one after the other.
func TestLimitHoldsWhileViewsOfDomainsDiffer(t *testing.T) {
	for seed := range uint64(2) {
		rw := row(30, 30)
		withFleet(t, 3, 5, rw, func(gm *gomega.WithT, fl *fleet) {
			go func() {
				rnd := rand.New(rand.NewPCG(seed, 5))
				for round := range 6 {
					domain := fl.members[rnd.IntN(len(fl.members))].self.Domain
					if round%2 == 0 {
						fl.setPartitioned(domain, true)
					}
					time.Sleep(time.Second)
					fl.setAlive(rnd, domain, false, 2*time.Second)
					time.Sleep(time.Second)
					fl.setPartitioned(domain, false)
					fl.setAlive(rnd, domain, true, 2*time.Second)
				}
			}()
			_, _, _ = fl.load(40+seed, rw, 150, 38*time.Second, fl.anyMember)
			t.Logf("seed %d: busiest window %d of %d", seed, fl.busiestWindow(rw), limit(rw))
			gm.Expect(fl.busiestWindow(rw)).To(gomega.BeNumerically("<=", limit(rw)))
		})
	}
}
