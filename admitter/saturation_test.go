package admitter_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("requests of several calls to a nearly saturated service", func() {
	// A request makes two calls at a time in four rounds, and a refused call is tried up to three times. The upstreams
	// run at half, once and one and a half times the mean speed.
	for _, load := range []float64{0.85, 1, 1.2, 1.5} {
		It(fmt.Sprintf("use most of its capacity while some are refused, at %.2f times its capacity", load), func() {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				fo := newFanOut()
				fo.rounds, fo.attempts, fo.speeds = 4, 3, []float64{0.5, 1, 1, 1.5}
				fo.loadUnknown = true
				fo.run(load*fo.capacity(), 12*time.Second, 8*time.Second)
				achievable := min(1, 1/load)
				share := float64(fo.succeeded) / float64(fo.counted)
				busy := float64(fo.callsRun) / float64(fo.calls) / fo.capacity() / 12
				GinkgoWriter.Printf("load %.2f: %.3f of %d succeed, %.3f achievable; %.2f of the capacity used\n",
					load, share, fo.counted, achievable, busy)
				g.Expect(share).To(BeNumerically(">", 0.8*achievable))
			})
		})
	}

	It("succeed again a second after an overload, while single upstreams are saturated now and then", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			const load = 0.9
			fo := newFanOut()
			fo.rounds, fo.attempts, fo.speeds = 4, 3, []float64{0.5, 1, 1, 1.5}
			fo.loadUnknown, fo.surge, fo.surgeFactor = true, 4*time.Second, 2
			fo.run(load*fo.capacity(), 8*time.Second, 3*time.Second)
			share := float64(fo.succeeded) / float64(fo.counted)
			GinkgoWriter.Printf("%.4f of %d succeed, %d calls refused\n", share, fo.counted, fo.callsRefused)
			g.Expect(share).To(BeNumerically(">=", 0.9))
		})
	})
})
