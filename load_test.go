package gypsumhoist_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

func TestLoadReport(t *testing.T) {
	g := NewWithT(t)
	for txt, want := range map[string]gypsumhoist.LoadReport{
		"":                              {},
		"running=1, waiting=2, slots=3": {Running: 1, Waiting: 2, Slots: 3},
		"running=1, waiting=2, slots=3, pace_percent=250": {Running: 1, Waiting: 2, Slots: 3, PacePercent: 250},
	} {
		got, err := gypsumhoist.ParseLoadReport(txt)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want), txt)
		g.Expect(got.String()).To(Equal(txt))
	}
	got, err := gypsumhoist.ParseLoadReport("slots=3,heat=9")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(gypsumhoist.LoadReport{Slots: 3}))
	for _, txt := range []string{"x", "running=1", "slots=0", "slots=-1", "slots=9999999", "slots=3, waiting=1e9", "slots=3,"} {
		_, err := gypsumhoist.ParseLoadReport(txt)
		g.Expect(err).To(HaveOccurred(), txt)
	}
}

func FuzzParseLoadReport(f *testing.F) {
	f.Add("running=12, waiting=3, slots=94, pace_percent=250")
	f.Fuzz(func(t *testing.T, txt string) {
		lr, err := gypsumhoist.ParseLoadReport(txt)
		if err != nil || !lr.Known() {
			return
		}
		if again, err := gypsumhoist.ParseLoadReport(lr.String()); err != nil || again != lr {
			t.Fatalf("%v became %v: %v", lr, again, err)
		}
	})
}
