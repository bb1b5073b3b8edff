package allocator_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// largeFleet runs a test with a fleet of 200 nodes in 5 failure domains, with the members that gossip reports to each of them,
// and 140 rows of 1 to 40 requests per second, most of them small.
func largeFleet(t *testing.T, test func(*gomega.WithT, *fleet, []*registrar.Row)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(5, 40)
		defer fl.stop()
		fl.partialView = true
		fl.updateMembers()
		var rows []*registrar.Row
		for at := range 140 {
			perSecond := 1 + float64(at*at)*39/(139*139)
			rw := registrar.DefaultRow(gypsumhoist.Workspace(fmt.Sprintf("w%d", at)), registrar.AnyRoute)
			rw.Rate, rw.Burst = registrar.Rate(perSecond*float64(registrar.RateOne)), int64(max(perSecond, 4))
			rows = append(rows, &rw)
		}
		fl.setRows(rows...)
		time.Sleep(2 * limitWindow)
		test(gomega.NewWithT(t), fl, rows)
	})
}

// expectLimitsHeld expects that no row admitted more requests in any window than rate and burst allow.
func expectLimitsHeld(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
	for _, rw := range rows {
		gm.Expect(fl.busiestWindow(rw)).To(gomega.BeNumerically("<=", limit(rw)), string(rw.Workspace))
	}
}

func TestLoadOfSmallRowsOverManyNodesIsNotRefused(t *testing.T) {
	for _, burst := range []int{1, 3} {
		largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
			calls, crossDomain := fl.calls, fl.crossDomainCalls
			sent, refused, unavoidable := fl.loadAll(rows, 0.9, burst, 20*time.Second)
			t.Logf("bursts of %d: %d sent, %d refused (%d unavoidable); %.2f calls per request, %.2f of them across domains",
				burst, sent, refused, unavoidable, float64(fl.calls-calls)/float64(sent), float64(fl.crossDomainCalls-crossDomain)/float64(sent))
			gm.Expect(float64(refused - unavoidable)).To(gomega.BeNumerically("<=", 0.001*float64(sent)))
			expectLimitsHeld(gm, fl, rows)
		})
	}
}

func TestOverloadedSmallRowsOverManyNodesGetTheirRate(t *testing.T) {
	for _, share := range []float64{2, 6} {
		largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
			sent, refused, unavoidable := fl.loadAll(rows, share, 1, 10*time.Second)
			t.Logf("%v times the rate: %d sent, %d refused (%d unavoidable)", share, sent, refused, unavoidable)
			gm.Expect(float64(refused - unavoidable)).To(gomega.BeNumerically("<=", 0.01*float64(sent)))
			expectLimitsHeld(gm, fl, rows)
		})
	}
}

func TestCentralizedRowsKeepToTheirLimitInPartition(t *testing.T) {
	largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
		_, _, _ = fl.loadAll(rows, 3, 1, 6*time.Second)
		fl.setPartitioned("d0", true)
		sent, refused, unavoidable := fl.loadAll(rows, 3, 1, 8*time.Second)
		t.Logf("during the partition: %d sent, %d refused (%d unavoidable)", sent, refused, unavoidable)
		fl.setPartitioned("d0", false)
		_, _, _ = fl.loadAll(rows, 3, 1, 8*time.Second)
		expectLimitsHeld(gm, fl, rows)
	})
}
