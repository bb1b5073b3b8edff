package gypsumhoist_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

func TestRateLimit(t *testing.T) {
	g := NewWithT(t)
	for txt, want := range map[string]gypsumhoist.RateLimit{
		"": gypsumhoist.NoRateLimit, "18.3": gypsumhoist.RateLimitOf(18.3), "0": gypsumhoist.RateLimitOf(0), "2e6": gypsumhoist.NoRateLimit,
	} {
		got, err := gypsumhoist.ParseRateLimit(txt)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want), txt)
		g.Expect(gypsumhoist.RateLimitOfMilli(got.Milli())).To(Equal(got), txt)
	}
	for milli := range int64(50_000) {
		g.Expect(*gypsumhoist.RateLimitOfMilli(&milli).Milli()).To(Equal(milli))
	}
	for _, txt := range []string{"x", "-1", "NaN", "Inf", "1e400", "5 "} {
		_, err := gypsumhoist.ParseRateLimit(txt)
		g.Expect(err).To(HaveOccurred(), txt)
	}
	g.Expect(gypsumhoist.RateLimitOfMilli(nil).Known()).To(BeFalse())
	g.Expect(gypsumhoist.RateLimit{}.Milli()).To(BeNil())
	g.Expect(gypsumhoist.RateLimitOf(18.3).String()).To(Equal("18.3"))
}
