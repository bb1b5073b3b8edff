package limiter_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/limiter"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// inFleet runs a test with a fleet in virtual time; the fleet's first table is empty.
func inFleet(t *testing.T, domains, nodes int, test func(g *WithT, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(domains, nodes)
		defer fl.stop()
		fl.setTable(1)
		time.Sleep(2 * time.Second)
		test(NewWithT(t), fl)
	})
}

func freshRow(rate registrar.Rate, burst int64) *registrar.Row {
	rw := row(rate, burst)
	rw.Number = 1
	return rw
}

func TestNewRowServesItsWholeBurstAtOnce(t *testing.T) {
	inFleet(t, 3, 2, func(g *WithT, fl *fleet) {
		rw := freshRow(1000, 50)
		fl.setTable(2, rw)
		time.Sleep(100 * time.Millisecond)
		cs := &callers{}
		cs.spend(fl.members[1], rw, 60)
		cs.wg.Wait()
		g.Expect(cs.spent).To(Equal(50))
		g.Expect(cs.reason).To(Equal(map[gypsumhoist.Reason]int{gypsumhoist.ReasonRate: 10}))
	})
}

func TestSteadyLoadInOneDomainIsNotRefused(t *testing.T) {
	inFleet(t, 3, 3, func(g *WithT, fl *fleet) {
		rw := freshRow(500_000, 500)
		fl.setTable(2, rw)
		time.Sleep(2 * time.Second)
		cs := &callers{}
		for step := range 900 {
			cs.spend(fl.members[step%3], rw, 1)
			time.Sleep(2200 * time.Microsecond)
		}
		cs.wg.Wait()
		g.Expect(cs.reason).To(BeEmpty())
		g.Expect(cs.spent).To(Equal(900))
	})
}

func TestCutOffDomainSpendsItsOwnShareOnly(t *testing.T) {
	inFleet(t, 3, 1, func(g *WithT, fl *fleet) {
		rw := freshRow(1000, 30)
		fl.setTable(2, rw)
		time.Sleep(100 * time.Millisecond)
		fl.members[0].down = true
		cut, rest := &callers{}, &callers{}
		cut.spend(fl.members[0], rw, 30)
		rest.spend(fl.members[1], rw, 30)
		cut.wg.Wait()
		rest.wg.Wait()
		g.Expect(cut.spent).To(Equal(10))
		g.Expect(rest.spent).To(Equal(20))
	})
}

func TestNewLeaderServesAfterALossOfTheLeader(t *testing.T) {
	inFleet(t, 1, 3, func(g *WithT, fl *fleet) {
		rw := freshRow(100_000, 100)
		fl.setTable(2, rw)
		time.Sleep(100 * time.Millisecond)
		fl.members[0].down = true
		cs := &callers{}
		cs.spend(fl.members[1], rw, 1)
		cs.wg.Wait()
		g.Expect(cs.reason).To(HaveKeyWithValue(gypsumhoist.ReasonRateUnavailable, 1))
		fl.elect(fl.members[2])
		time.Sleep(2 * time.Second)
		cs.spend(fl.members[1], rw, 40)
		cs.wg.Wait()
		g.Expect(cs.spent).To(Equal(40))
	})
}

// TestBucketSurvivesALeaseGap checks that the bucket of a lease that expires and is regained under the same epoch
// is unchanged and still counts its outstanding tokens.
func TestBucketSurvivesALeaseGap(t *testing.T) {
	inFleet(t, 1, 2, func(g *WithT, fl *fleet) {
		rw := freshRow(1000, 40)
		fl.setTable(2, rw)
		time.Sleep(100 * time.Millisecond)
		cs := &callers{}
		cs.spend(fl.members[1], rw, 10)
		cs.wg.Wait()
		fl.setLeader("d0", nil)
		time.Sleep(200 * time.Millisecond)
		cs.spend(fl.members[1], rw, 1)
		time.Sleep(200 * time.Millisecond)
		fl.setLeader("d0", fl.members[0])
		cs.wg.Wait()
		cs.spend(fl.members[1], rw, 40)
		cs.wg.Wait()
		g.Expect(cs.spent).To(Equal(40))
		g.Expect(cs.reason).To(Equal(map[gypsumhoist.Reason]int{gypsumhoist.ReasonRate: 11}))
	})
}

func TestRequestWaitsForALeaderThatLearnsOfTheRowLater(t *testing.T) {
	inFleet(t, 2, 2, func(g *WithT, fl *fleet) {
		rw, unknown := freshRow(1000, 10), freshRow(1000, 10)
		unknown.Route = "/elsewhere"
		cs := &callers{}
		cs.spend(fl.members[1], rw, 2)
		cs.spend(fl.members[1], unknown, 1)
		time.Sleep(100 * time.Millisecond)
		fl.setTable(2, rw)
		cs.wg.Wait()
		g.Expect(cs.spent).To(Equal(2))
		g.Expect(cs.reason).To(Equal(map[gypsumhoist.Reason]int{gypsumhoist.ReasonRateUnavailable: 1}))
	})
}

func TestRefusals(t *testing.T) {
	inFleet(t, 1, 1, func(g *WithT, fl *fleet) {
		lm, ctx := fl.members[0].lm, context.Background()
		rw := freshRow(2000, 1)
		fl.setTable(2, rw)
		time.Sleep(100 * time.Millisecond)
		g.Expect(lm.Spend(ctx, nil, 1)).To(MatchError(ContainSubstring("internal")))
		g.Expect(lm.Spend(ctx, row(0, 5), 1)).To(MatchError(ContainSubstring("not_run (rate)")))
		g.Expect(lm.Spend(ctx, rw, 1)).To(Succeed())
		rf, ok := lm.Spend(ctx, rw, 1).(*gypsumhoist.Refusal)
		g.Expect(ok).To(BeTrue())
		g.Expect(rf.Reason).To(Equal(gypsumhoist.ReasonRate))
		g.Expect(rf.Verdict).To(Equal(gypsumhoist.VerdictNotRun))
		g.Expect(rf.RetryAfter).To(BeNumerically("~", 500*time.Millisecond, 100*time.Millisecond))
		short, cancel := context.WithTimeout(ctx, 5*time.Millisecond)
		defer cancel()
		g.Expect(lm.Spend(short, rw, 1)).To(MatchError(ContainSubstring("deadline")))
	})
}

func TestStopRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lm := limiter.New()
		lm.Start()
		cs := &callers{}
		cs.spend(&member{lm: lm}, freshRow(1000, 1), 3)
		synctest.Wait()
		lm.Stop()
		cs.wg.Wait()
		NewWithT(t).Expect(cs.reason).To(HaveKeyWithValue(gypsumhoist.ReasonRateUnavailable, 3))
	})
}

func TestMoreImportantRequestsAreServedFirst(t *testing.T) {
	nb := limiter.NewNodeBucket("n", rowKey)
	for id, imp := range []gypsumhoist.Importance{1, 9, 5} {
		nb.Wait(start, uint64(id), imp, 9)
	}
	req, _ := nb.NextRequest(start, 7)
	g := NewWithT(t)
	g.Expect(req.Waiting).To(Equal(int64(3)))
	g.Expect(req.Importance).To(Equal(gypsumhoist.Importance(9)))
	releases := nb.Granted(start, 1, limiter.Grant{Key: rowKey, ID: 7, Amount: 2, Empty: true})
	g.Expect(releases).To(Equal([]limiter.Release{{ID: 1, Granted: true}, {ID: 2, Granted: true}, {ID: 0}}))
}

// TestNodeBucketDropsExpiredTokens checks that tokens that expire don't reduce the tokens granted later.
func TestNodeBucketDropsExpiredTokens(t *testing.T) {
	g := NewWithT(t)
	nb := limiter.NewNodeBucket("n", rowKey)
	take := func(now time.Time, id uint64) []limiter.Release {
		nb.Wait(now, id, 1, 9)
		req, ok := nb.NextRequest(now, id)
		g.Expect(ok).To(BeTrue())
		return nb.Granted(now, 1, limiter.Grant{Key: rowKey, ID: req.ID, Amount: 5})
	}
	g.Expect(take(start, 1)).To(HaveLen(1))
	late := start.Add(time.Second)
	g.Expect(nb.Spend(late)).To(BeFalse())
	nb.Tick(late)
	g.Expect(take(late, 2)).To(Equal([]limiter.Release{{ID: 2, Granted: true}}))
	for range 4 {
		g.Expect(nb.Spend(late)).To(BeTrue())
	}
	g.Expect(nb.Spend(late)).To(BeFalse())
}
