package explainer_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// savedLog holds log lines of three requests at two nodes, as a log collector may store them. Some lines are malformed.
const savedLog = `   1.7482 east-2 time=2026-06-12T12:58:59.748Z instance=east-2 event=1211 level=info name=request_refused request=aa hop=false workspace=fairs route=/slips service=slips importance=88 row=1 revision=8 table_age=461.9ms status=429 verdict=not_run reason=rate took=35ms steps="limiter refused the workspace has spent the row's rate and burst; forwarder rate the workspace has spent the row's rate and burst"
time=2026-06-12T12:58:59.9Z instance=east-2 event=1210 level=info name=request_answered request=bb hop=false workspace=fairs route=/slips service=slips importance=88 row=1 revision=8 table_age= status=502 verdict=may_have_run reason=connection took=120ms steps="router picked west-1; forwarder attempt 1 failed: connection reset"
time=2026-06-12T12:58:59.89Z instance=west-1 event=1211 level=info name=request_refused request=bb hop=true workspace=fairs route=/slips service= importance=88 row=0 revision=0 table_age= status=0 verdict=may_have_run reason=connection took=100ms steps="admitter admitted; connector failed reset"
time=not-a-time instance=east-2 event=1210 request=bb took=1ms
time=2026-06-12T12:58:59.9Z instance=east-2 event=2000 name=member_seen request=bb
"torn
time=2026-06-12T12:59:00Z instance=east-2 event=1211 level=info name=request_refused request=bbb hop=false status=503 verdict=not_run reason=table_stale took=1ms table_age=6.2s steps="registrar table_stale this failure domain is cut off from the table"`

var _ = Describe("a saved log", func() {
	It("yields the records of a request in the order in which the nodes received it", func() {
		rcs, err := explainer.ReadLog(strings.NewReader(savedLog), "bb")
		Expect(err).NotTo(HaveOccurred())
		Expect(rcs).To(HaveLen(2))
		Expect(rcs[0].Hop).To(BeFalse())
		Expect(rcs[0].Took).To(Equal(120 * time.Millisecond))
		Expect(rcs[0].Steps[1]).To(Equal(explainer.Step{Component: "forwarder", Decision: "attempt 1 failed: connection reset"}))
		Expect(rcs[1].Instance).To(Equal(gypsumhoist.Instance("west-1")))
		Expect(rcs[1].Reason).To(Equal(gypsumhoist.ReasonConnection))
	})
	It("yields the inputs of a refusal: the age of the table, the row and its revision", func() {
		rcs, err := explainer.ReadLog(strings.NewReader(savedLog), "aa")
		Expect(err).NotTo(HaveOccurred())
		var out strings.Builder
		Expect(explainer.WriteText(&out, explainer.Explanation{Request: "aa", Records: rcs})).To(Succeed())
		Expect(out.String()).To(ContainSubstring("row fairs /slips number 1, revision 8, service slips, importance 88"))
		Expect(out.String()).To(MatchRegexp(`registrar +table_age 461.9ms`))
		Expect(out.String()).To(MatchRegexp(`limiter +refused the workspace has spent the row's rate and burst`))
		Expect(out.String()).To(MatchRegexp(`end +not_run 429 +rate`))
	})
	It("yields no record of a request that has no lines", func() {
		Expect(explainer.ReadLog(strings.NewReader(savedLog), "b")).To(BeEmpty())
	})
})

func FuzzReadLog(f *testing.F) {
	for line := range strings.Lines(savedLog) {
		f.Add(line, "bb")
	}
	f.Fuzz(func(t *testing.T, text, id string) {
		rcs, err := explainer.ReadLog(strings.NewReader(text), gypsumhoist.RequestID(id))
		if err != nil {
			t.Fatal(err)
		}
		for _, rc := range rcs {
			if string(rc.Request) != id {
				t.Fatalf("got a record of request %q, want only those of %q", rc.Request, id)
			}
		}
	})
}
