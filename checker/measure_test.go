package checker_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
)

var (
	limits = []checker.RowLimit{
		{Workspace: "large", Route: "/", Rate: 4, Burst: 1},
		{Workspace: "small", Route: "/", Rate: 2, Burst: 1},
	}
	tenSeconds = checker.Window{From: start, Until: at(10)}
)

// send adds operations of a workspace at regular times from one time until another; the given share of them is done, evenly spread.
func send(hs *checker.History, ws gypsumhoist.Workspace, from, until, rate, done float64) {
	credit := 0.0
	for number := 0; from+float64(number)/rate < until; number++ {
		sent := at(from + float64(number)/rate)
		name := fmt.Sprintf("%s-%v-%d", ws, from, number)
		op := &checker.Operation{Name: name, Workspace: ws, Route: "/", Service: "slips", Class: string(ws), Sent: sent, Ended: sent}
		att := checker.Attempt{Name: name + "/1", Sent: sent, Ended: sent}
		if credit += done; credit >= 0.999 {
			credit--
			op.Done, att.Status, att.Complete, att.Matching = true, http.StatusOK, true, true
			hs.AddRun(checker.Run{Service: "slips", Operation: name, Attempt: att.Name, Method: http.MethodGet, Began: sent})
		} else {
			att.Status, att.Reason = http.StatusServiceUnavailable, gypsumhoist.ReasonOverload
		}
		op.Attempts = []checker.Attempt{att}
		hs.AddOperation(op)
	}
}

var _ = Describe("Measure", func() {
	It("reports full shares when everything is done", func() {
		hs := &checker.History{}
		send(hs, "large", 0, 10, 4, 1)
		send(hs, "small", 0, 10, 2, 1)
		ms := checker.Measure(hs, tenSeconds, 0, limits)
		Expect(ms.Operations).To(Equal(60))
		Expect([]float64{ms.Goodput, ms.GoodputShare, ms.WorstShare, ms.WrongfulShare, ms.RunsPerOperation}).To(HaveExactElements(6.0, 1.0, 1.0, 0.0, 1.0))
		Expect(ms.Refusals).To(BeEmpty())
	})
	It("names the worst-served workspace and counts its refusals within the rate as wrongful", func() {
		hs := &checker.History{}
		send(hs, "large", 0, 10, 4, 1)
		send(hs, "small", 0, 10, 2, 0.5)
		ms := checker.Measure(hs, tenSeconds, 0, limits)
		Expect(ms.WorstWorkspace).To(BeEquivalentTo("small"))
		Expect(ms.WorstShare).To(BeNumerically("~", 0.5, 0.01))
		Expect(ms.WrongfulShare).To(BeNumerically("~", 10.0/60, 0.001))
		Expect(ms.GoodputShare).To(BeNumerically("~", 50.0/60, 0.001))
		Expect(ms.ClassShares).To(HaveKeyWithValue("large", 1.0))
		Expect(ms.Refusals).To(HaveKeyWithValue(gypsumhoist.ReasonOverload, 10))
	})
	It("does not call refusals beyond the rate wrongful", func() {
		hs := &checker.History{}
		send(hs, "large", 0, 10, 16, 0.25)
		ms := checker.Measure(hs, tenSeconds, 0, limits)
		Expect(ms.WrongfulShare).To(BeNumerically("<", 0.03))
		Expect(ms.WorstShare).To(BeNumerically(">", 0.97))
	})
	It("does not call refusals beyond the capacity wrongful", func() {
		hs := &checker.History{}
		send(hs, "large", 0, 10, 4, 0.5)
		send(hs, "small", 0, 10, 2, 0.5)
		ms := checker.Measure(hs, tenSeconds, 3, limits)
		Expect(ms.WrongfulShare).To(BeNumerically("~", 0, 0.001))
		Expect(ms.GoodputShare).To(BeNumerically("~", 1, 0.001))
	})
	It("counts only operations sent within the window", func() {
		hs := &checker.History{}
		send(hs, "large", -5, 0, 4, 0)
		send(hs, "large", 0, 10, 4, 1)
		send(hs, "large", 10, 15, 4, 0)
		ms := checker.Measure(hs, tenSeconds, 0, limits)
		Expect(ms.Operations).To(Equal(40))
		Expect(ms.GoodputShare).To(Equal(1.0))
	})
	It("reports full shares and no goodput for an empty history", func() {
		ms := checker.Measure(&checker.History{}, tenSeconds, 0, limits)
		Expect([]float64{ms.Goodput, ms.WorstShare, ms.WrongfulShare}).To(HaveExactElements(0.0, 1.0, 0.0))
	})
})

var _ = Describe("Recovery", func() {
	before := checker.Window{From: start, Until: at(5)}

	history := func(bad float64) *checker.History {
		hs := &checker.History{}
		send(hs, "large", 0, 5, 4, 1)
		send(hs, "large", 5, 5+bad, 4, 0)
		send(hs, "large", 5+bad, 20, 4, 1)
		return hs
	}
	It("is the time until the first of two consecutive good half-second intervals", func() {
		for _, bad := range []float64{0, 1, 4} {
			took, ok := checker.Recovery(history(bad), before, at(5), at(20), limits)
			Expect(ok).To(BeTrue())
			Expect(took).To(Equal(time.Duration(bad * float64(time.Second))))
		}
	})
	It("is not reached if goodput does not come back before the end", func() {
		took, ok := checker.Recovery(history(15), before, at(5), at(20), limits)
		Expect(ok).To(BeFalse())
		Expect(took).To(Equal(15 * time.Second))
	})
})
