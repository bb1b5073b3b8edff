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

var limits = estimator.Limits{Least: 100 * time.Millisecond, Most: 2 * time.Second, Unknown: 500 * time.Millisecond}

var _ = Describe("a round-trip estimate", func() {
	It("gives a timeout just above the measured times, and follows their changes", func() {
		var rt estimator.RoundTrip
		for _, took := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond} {
			for range 40 {
				rt.Learn(took)
			}
			Expect(rt.Bound(limits)).To(BeNumerically("~", took, took/5))
			Expect(rt.Bound(limits)).To(BeNumerically(">=", took-time.Millisecond))
		}
	})
	It("allows for variance", func() {
		var rt estimator.RoundTrip
		for no := range 100 {
			rt.Learn(time.Duration(100+200*(no%2)) * time.Millisecond)
		}
		Expect(rt.Bound(limits)).To(BeNumerically(">", 400*time.Millisecond))
	})
	It("stays within its limits", func() {
		var rt estimator.RoundTrip
		rt.Learn(time.Microsecond)
		Expect(rt.Bound(limits)).To(Equal(limits.Least))
		rt.Learn(time.Hour)
		Expect(rt.Bound(limits)).To(Equal(limits.Most))
	})
})

func ExampleRoundTrip() {
	var rt estimator.RoundTrip
	fmt.Println(rt.Bound(limits))
	rt.Learn(200 * time.Millisecond)
	fmt.Println(rt.Bound(limits))
	// Output:
	// 500ms
	// 600ms
}
