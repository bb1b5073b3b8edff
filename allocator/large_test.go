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

// largeFleet runs a test in a fleet of 200 nodes in 5 failure domains, which know of other domains what gossip tells, with 140
// rows of 1 to 40 requests a second, most of them small.
func largeFleet(t *testing.T, test func(*gomega.WithT, *fleet, []*registrar.Row)) {
	synctest.Test(t, func(t *testing.T) {
		fl := newFleet(5, 40)
		defer fl.stop()
		fl.partial = true
		fl.look()
		var rows []*registrar.Row
		for at := range 140 {
			perS := 1 + float64(at*at)*39/(139*139)
			rw := registrar.DefaultRow(gypsumhoist.Workspace(fmt.Sprintf("w%d", at)), registrar.AnyRoute)
			rw.Rate, rw.Burst = registrar.Rate(perS*float64(registrar.RateOne)), int64(max(perS, 4))
			rows = append(rows, &rw)
		}
		fl.setRows(rows...)
		time.Sleep(2 * span)
		test(gomega.NewWithT(t), fl, rows)
	})
}

// expectNoWindowAbove expects that no row let more start in any window than rate and burst allow.
func expectNoWindowAbove(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
	for _, rw := range rows {
		gm.Expect(fl.busiest(rw)).To(gomega.BeNumerically("<=", limit(rw)), string(rw.Workspace))
	}
}

func TestLoadOfSmallRowsOverManyNodesIsNotRefused(t *testing.T) {
	for _, burst := range []int{1, 3} {
		largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
			asks, across := fl.asks, fl.across
			asked, refused, unavoidable := fl.loadAll(rows, 0.9, burst, 20*time.Second)
			t.Logf("bursts of %d: %d asked, %d refused (%d unavoidable); %.2f calls a request, %.2f of them across domains",
				burst, asked, refused, unavoidable, float64(fl.asks-asks)/float64(asked), float64(fl.across-across)/float64(asked))
			gm.Expect(float64(refused - unavoidable)).To(gomega.BeNumerically("<=", 0.001*float64(asked)))
			expectNoWindowAbove(gm, fl, rows)
		})
	}
}

func TestSmallRowsOverManyNodesAskedForTooMuchGetTheirRate(t *testing.T) {
	for _, share := range []float64{2, 6} {
		largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
			asked, refused, unavoidable := fl.loadAll(rows, share, 1, 10*time.Second)
			t.Logf("%v times the rate: %d asked, %d refused (%d unavoidable)", share, asked, refused, unavoidable)
			gm.Expect(float64(refused - unavoidable)).To(gomega.BeNumerically("<=", 0.01*float64(asked)))
			expectNoWindowAbove(gm, fl, rows)
		})
	}
}

func TestWholeRowsInACutKeepToTheirLimit(t *testing.T) {
	largeFleet(t, func(gm *gomega.WithT, fl *fleet, rows []*registrar.Row) {
		_, _, _ = fl.loadAll(rows, 3, 1, 6*time.Second)
		fl.setCut("d0", true)
		asked, refused, unavoidable := fl.loadAll(rows, 3, 1, 8*time.Second)
		t.Logf("in the cut: %d asked, %d refused (%d unavoidable)", asked, refused, unavoidable)
		fl.setCut("d0", false)
		_, _, _ = fl.loadAll(rows, 3, 1, 8*time.Second)
		expectNoWindowAbove(gm, fl, rows)
	})
}
