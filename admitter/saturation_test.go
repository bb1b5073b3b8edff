package admitter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("requests of several calls to a service that is nearly full", func() {
	// Calls of a request come two at a time, four times in a row, and a refused one goes on to two other upstreams,
	// which are as quick as half, once and one and a half times the mean.
	for _, load := range []float64{0.85, 1, 1.2, 1.5} {
		It(fmt.Sprintf("leave few of its slots empty while some are refused, at %.2f times its capacity", load), func() {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				fo := newFanOut()
				fo.rounds, fo.tries, fo.speeds = 4, 3, []float64{0.5, 1, 1, 1.5}
				fo.blind = true
				fo.play(load*fo.capacity(), 12*time.Second, 8*time.Second)
				could := min(1, 1/load)
				share := float64(fo.ended) / float64(fo.asked)
				busy := float64(fo.ran) / float64(fo.calls) / fo.capacity() / 12
				GinkgoWriter.Printf("load %.2f: %.3f of %d end well, %.3f could; %.2f of the capacity used\n", load, share, fo.asked, could, busy)
				g.Expect(share).To(BeNumerically(">", 0.8*could))
			})
		})
	}

	It("end well again a second after an overload, while single upstreams are full now and then", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			const load = 0.9
			fo := newFanOut()
			fo.rounds, fo.tries, fo.speeds = 4, 3, []float64{0.5, 1, 1, 1.5}
			fo.blind, fo.surge, fo.surgeTimes = true, 4*time.Second, 2
			fo.play(load*fo.capacity(), 8*time.Second, 3*time.Second)
			share := float64(fo.ended) / float64(fo.asked)
			GinkgoWriter.Printf("%.4f of %d end well, %d calls refused\n", share, fo.asked, fo.refused)
			g.Expect(share).To(BeNumerically(">=", 0.9))
		})
	})
})
