package estimator_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/estimator"
)

func TestEstimator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "estimator")
}

var limits = estimator.Limits{Min: 100 * time.Millisecond, Max: 2 * time.Second, Initial: 500 * time.Millisecond}

var _ = Describe("a round-trip estimate", func() {
	It("gives a timeout just above the measured times, and follows their changes", func() {
		var rt estimator.RoundTrip
		for _, took := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond} {
			for range 40 {
				rt.Observe(took)
			}
			Expect(rt.Timeout(limits)).To(BeNumerically("~", took, took/5))
			Expect(rt.Timeout(limits)).To(BeNumerically(">=", took-time.Millisecond))
		}
	})
	It("allows for variance", func() {
		var rt estimator.RoundTrip
		for no := range 100 {
			rt.Observe(time.Duration(100+200*(no%2)) * time.Millisecond)
		}
		Expect(rt.Timeout(limits)).To(BeNumerically(">", 400*time.Millisecond))
	})
	It("stays within its limits", func() {
		var rt estimator.RoundTrip
		rt.Observe(time.Microsecond)
		Expect(rt.Timeout(limits)).To(Equal(limits.Min))
		rt.Observe(time.Hour)
		Expect(rt.Timeout(limits)).To(Equal(limits.Max))
	})
})

func ExampleRoundTrip() {
	var rt estimator.RoundTrip
	fmt.Println(rt.Timeout(limits))
	rt.Observe(200 * time.Millisecond)
	fmt.Println(rt.Timeout(limits))
	// Output:
	// 500ms
	// 600ms
}
