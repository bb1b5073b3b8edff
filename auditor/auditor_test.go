package auditor_test

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/auditor"
)

// log holds log lines of a fleet: one request that was served, one refused at its entry, one that failed because a call at depth 2
// was refused, one served late, and one without a record of its entry.
const log = `time=2026-06-12T12:00:00Z instance=e1 event=1011 level=info name=started domain=east peers=10.0.0.1:7000
 0.1 e1 time=2026-06-12T12:00:01Z instance=e1 event=1210 request=aa hop=false depth=0 route=/slips status=200 verdict=ran reason= took=10ms late=false steps="router picked e2; forwarder answered whole"
time=2026-06-12T12:00:01.5Z instance=e1 event=1211 request=bb hop=false depth=0 route=/slips status=429 verdict=not_run reason=rate took=1ms late=false steps="limiter refused spent; forwarder rate spent"
time=2026-06-12T12:00:02.2Z instance=w3 event=1211 request=cc hop=true depth=2 route=/rolls status=0 verdict=not_run reason=overload took=40ms late=false steps="admitter no turn in time"
time=2026-06-12T12:00:02.3Z instance=w2 event=1210 request=cc hop=false depth=2 route=/rolls status=503 verdict=not_run reason=overload took=40ms late=false steps="router picked w3; retrier no retry: ratio"
time=2026-06-12T12:00:02.4Z instance=e1 event=1210 request=cc hop=false depth=0 route=/fees status=500 verdict=ran reason= took=100ms late=false steps="router picked w2; forwarder answered whole"
time=2026-06-12T12:00:03Z instance=w9 event=1210 request=dd hop=false depth=0 route=/fees status=200 verdict=ran reason= took=900ms late=true steps="router picked w2; forwarder answered whole"
time=2026-06-12T12:00:03Z instance=w2 event=1210 request=ee hop=true depth=0 route=/fees status=500 verdict= reason= took=900ms late=false steps="admitter admitted"
torn`

func readReport(from, to time.Time) auditor.Report {
	GinkgoHelper()
	au := auditor.New()
	Expect(au.Read(strings.NewReader(log))).To(Succeed())
	return au.Report(from, to)
}

var _ = Describe("a report", func() {
	It("gives the kind, failure domain and cause of each lost request, and the call of its chain where the loss began", func() {
		rp := readReport(time.Time{}, time.Time{})
		Expect(rp.Requests).To(Equal(4))
		Expect(rp.Losses).To(HaveLen(3))
		bb, cc, dd := rp.Losses[0], rp.Losses[1], rp.Losses[2]
		Expect(bb).To(And(HaveField("Kind", auditor.KindRefused), HaveField("Domain", BeEquivalentTo("east")), HaveField("Cause", "rate (limiter)")))
		Expect(cc).To(And(HaveField("Kind", auditor.KindFailed), HaveField("Route", "/fees"), HaveField("Began", "/rolls"), HaveField("Depth", 2)))
		Expect(cc.Cause).To(Equal("overload (admitter)"))
		Expect(dd).To(And(HaveField("Kind", auditor.KindLate), HaveField("Domain", BeEquivalentTo("unknown"))))
	})
	It("leaves out requests that ended outside the time range", func() {
		from := time.Date(2026, 6, 12, 12, 0, 2, 0, time.UTC)
		rp := readReport(from, from.Add(500*time.Millisecond))
		Expect(rp.Requests).To(Equal(1))
		Expect(rp.Losses).To(HaveLen(1))
		Expect(readReport(from.Add(time.Hour), time.Time{}).Requests).To(BeZero())
	})
	It("is written as a page with a stacked bar for each second", func() {
		var page strings.Builder
		Expect(auditor.WriteHTML(&page, readReport(time.Time{}, time.Time{}))).To(Succeed())
		Expect(strings.Count(page.String(), "<rect")).To(Equal(9))
		Expect(page.String()).To(ContainSubstring("2 deep at /rolls"))
	})
})

func ExampleWriteText() {
	au := auditor.New()
	// Reading from a string returns no error.
	_ = au.Read(strings.NewReader(log))
	_ = auditor.WriteText(os.Stdout, au.Report(time.Time{}, time.Time{}))
	// Output:
	// 3 of 4 requests were not served in time, from 2026-06-12T12:00:01Z to 2026-06-12T12:00:03Z.
	//
	// How and where it began
	// 1  failed, overload (admitter), 2 deep at /rolls
	// 1  late, slow
	// 1  refused, rate (limiter)
	//
	// Route and cause
	// 1  /fees  failed, overload (admitter), 2 deep at /rolls
	// 1  /fees  late, slow
	// 1  /slips  refused, rate (limiter)
	//
	// Failure domain of the entry and cause
	// 1  east  failed, overload (admitter), 2 deep at /rolls
	// 1  east  refused, rate (limiter)
	// 1  unknown  late, slow
	//
	// Second  refused  failed  late  most
	// 0       1        0       0     1 refused, rate (limiter)
	// 1       0        1       0     1 failed, overload (admitter), 2 deep at /rolls
	// 2       0        0       1     1 late, slow
}
