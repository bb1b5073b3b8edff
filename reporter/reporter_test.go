package reporter_test

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/reporter"
)

var (
	start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	slips = &registrar.Row{Workspace: "derwent", Route: "/slips", Objective: 99_900, Number: 1}
)

// observe counts a number of requests at even intervals over a span that ends at a time.
func observe(re *reporter.Reporter, until time.Time, span time.Duration, number int, oc reporter.Outcome) {
	for ix := range number {
		re.Observe(until.Add(-span*time.Duration(number-1-ix)/time.Duration(number)), slips, oc)
	}
}

func burnOf(at time.Time, res ...*reporter.Reporter) reporter.RowBurn {
	var counts []reporter.InstanceCounts
	for _, re := range res {
		counts = append(counts, re.Counts(at, "a", true))
	}
	rp := reporter.Merge(at, counts, nil)
	Expect(rp.Rows).To(HaveLen(1))
	return rp.Rows[0]
}

var _ = Describe("a burn rate", func() {
	It("is the share of failures over the share allowed, in all windows, if failures are steady", func() {
		re := reporter.New()
		for before := 72 * time.Hour; before >= 0; before -= time.Minute {
			observe(re, start.Add(-before-time.Second), 50*time.Second, 99, reporter.OutcomeGood)
			observe(re, start.Add(-before-time.Second), 0, 1, reporter.OutcomeBad)
		}
		for _, burn := range burnOf(start, re).BurnRates {
			Expect(burn).To(BeNumerically("~", 10, 0.5))
		}
	})
	It("leaves out refusals that are the caller's own fault, even if they are most of the requests", func() {
		re := reporter.New()
		observe(re, start, time.Hour, 1000, reporter.OutcomeLeftOut)
		observe(re, start, time.Hour, 10, reporter.OutcomeGood)
		rb := burnOf(start, re)
		Expect(rb.BurnRates[reporter.Window1h]).To(BeZero())
		Expect(rb.Windows[reporter.Window1h].LeftOut).To(BeNumerically("~", 1000, 20))
	})
	It("raises a page during a burst of failures, and stops soon after the burst ends", func() {
		re := reporter.New()
		observe(re, start, 6*time.Hour, 36_000, reporter.OutcomeGood)
		observe(re, start, 10*time.Minute, 400, reporter.OutcomeBad)
		Expect(burnOf(start, re).Level).To(Equal(reporter.LevelPage))
		later := start.Add(40 * time.Minute)
		observe(re, later, 39*time.Minute, 3900, reporter.OutcomeGood)
		Expect(burnOf(later, re).Level).NotTo(Equal(reporter.LevelPage))
	})
	It("raises no page for one failure of a row with little traffic", func() {
		re := reporter.New()
		observe(re, start, time.Hour, 4, reporter.OutcomeGood)
		re.Observe(start, slips, reporter.OutcomeBad)
		Expect(burnOf(start, re).Level).To(Equal(reporter.LevelFine))
	})
	It("goes on counting when the clock is set back by days", func() {
		re := reporter.New()
		re.Observe(start.Add(240*time.Hour), slips, reporter.OutcomeBad)
		re.Observe(start, slips, reporter.OutcomeGood)
		Expect(burnOf(start, re).Windows[reporter.Window3d]).To(Equal(reporter.Counts{Good: 1}))
	})
	It("of several instances equals that of one instance with the same requests", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			all, halves := reporter.New(), []*reporter.Reporter{reporter.New(), reporter.New()}
			befores := rapid.SliceOfN(rapid.Int64Range(0, int64(80*time.Hour)), 1, 60).Draw(rt, "before")
			slices.Sort(befores)
			for _, before := range slices.Backward(befores) {
				at := start.Add(-time.Duration(before))
				oc := rapid.SampledFrom([]reporter.Outcome{reporter.OutcomeGood, reporter.OutcomeBad, reporter.OutcomeLeftOut}).Draw(rt, "outcome")
				all.Observe(at, slips, oc)
				halves[rapid.IntRange(0, 1).Draw(rt, "half")].Observe(at, slips, oc)
			}
			one := reporter.Merge(start, []reporter.InstanceCounts{all.Counts(start, "a", true)}, nil)
			both := reporter.Merge(start, []reporter.InstanceCounts{halves[0].Counts(start, "a", true), halves[1].Counts(start, "b", true)}, nil)
			both.Answered = one.Answered
			if fmt.Sprint(one) != fmt.Sprint(both) {
				rt.Fatalf("report of one instance: %v, of two: %v", one, both)
			}
		})
	})
	It("counts each request in every window that contains it, and in no window shorter than its age by over an hour", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			before := time.Duration(rapid.Int64Range(0, int64(80*time.Hour)).Draw(rt, "before"))
			re := reporter.New()
			re.Observe(start.Add(-before), slips, reporter.OutcomeBad)
			counts := re.Counts(start, "a", false)
			for wn := range reporter.WindowCount {
				counted := len(counts.Rows) == 1 && counts.Rows[0].Windows[wn].Bad == 1
				if before < wn.Length() && !counted || before > wn.Length()+time.Hour && counted {
					rt.Fatalf("request %v before the end of window %v: counted is %v", before, wn, counted)
				}
			}
		})
	})
})

var _ = Describe("a reporter", func() {
	It("removes idle rows and reports the number of requests that it could not count", func() {
		re := reporter.New()
		for ix := range reporter.RowsMax + 5 {
			re.Observe(start, &registrar.Row{Workspace: "w", Route: fmt.Sprint("/", ix)}, reporter.OutcomeGood)
		}
		counts := re.Counts(start, "a", false)
		Expect(counts.Rows).To(HaveLen(reporter.RowsMax))
		Expect(counts.Uncounted).To(BeNumerically("==", 5))
		Expect(re.Counts(start.Add(80*time.Hour), "a", false).Rows).To(BeEmpty())
	})
	It("keeps 1,000 rows in less than 8 MB", func() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		re := thousandRows()
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(after.HeapAlloc - before.HeapAlloc).To(BeNumerically("<", 8<<20))
		runtime.KeepAlive(re)
	})
	It("writes the same figures as text and as a well-formed, self-contained page", func() {
		re := reporter.New()
		observe(re, start, time.Hour, 97, reporter.OutcomeGood)
		observe(re, start, time.Hour, 3, reporter.OutcomeBad)
		rp := reporter.Merge(start, []reporter.InstanceCounts{re.Counts(start, "a", true)}, []gypsumhoist.Instance{"<b>"})
		var text, page bytes.Buffer
		Expect(reporter.WriteText(&text, rp)).To(Succeed())
		Expect(reporter.WriteHTML(&page, rp)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("No answer from <b>"))
		for _, want := range []string{"derwent", "/slips", "99.9%", "30.00", "page"} {
			Expect(text.String()).To(ContainSubstring(want))
			Expect(page.String()).To(ContainSubstring(want))
		}
		Expect(page.String()).NotTo(MatchRegexp(`<b>|<script|https?://|src=|href=`))
		Expect(wellFormed(page.String())).To(Succeed())
	})
})

// wellFormed checks that a page closes every element, except those that HTML allows to stay open.
func wellFormed(txt string) error {
	dec := xml.NewDecoder(bytes.NewBufferString(txt))
	dec.Strict = false
	dec.AutoClose = xml.HTMLAutoClose
	for {
		if _, err := dec.Token(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}

func thousandRows() *reporter.Reporter {
	re := reporter.New()
	for ix := range 1000 {
		re.Observe(start, &registrar.Row{Workspace: "w", Route: fmt.Sprint("/", ix)}, reporter.OutcomeGood)
	}
	return re
}

func BenchmarkObserve(b *testing.B) {
	re := thousandRows()
	rows := make([]*registrar.Row, 1000)
	for ix := range rows {
		rows[ix] = &registrar.Row{Workspace: "w", Route: fmt.Sprint("/", ix)}
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for ix := 0; pb.Next(); ix++ {
			re.Observe(start, rows[ix%len(rows)], reporter.OutcomeGood)
		}
	})
}

func BenchmarkCounts(b *testing.B) {
	re := thousandRows()
	b.ReportAllocs()
	for b.Loop() {
		re.Counts(start, "a", true)
	}
}

func ExampleBurnRate() {
	// One request in 100 fails, one in 1000 is allowed to.
	fmt.Printf("%.0f\n", reporter.BurnRate(reporter.Counts{Good: 99, Bad: 1}, 99_900))
	// Output: 10
}
