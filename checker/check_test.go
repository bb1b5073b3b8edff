package checker_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
)

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// clean returns a history that holds something of every kind and violates no guarantee.
func clean() *checker.History {
	hs := &checker.History{}
	hs.AddOperation(&checker.Operation{
		Name: "keyed", Workspace: "derwent", KeyID: "k1", Route: "/slips", Service: "slips", Method: http.MethodPost, UsesIdempotencyKey: true,
		Sent: at(0), Ended: at(3), Done: true, Attempts: []checker.Attempt{
			{Name: "keyed/1", Sent: at(0), Ended: at(1), Status: 503, Verdict: "may_have_run", Reason: gypsumhoist.ReasonConnection},
			{Name: "keyed/2", Sent: at(2), Ended: at(3), Status: 200, Complete: true, Matching: true},
		},
	})
	hs.AddRun(run("keyed", "keyed/1", 0.5))
	hs.AddOperation(&checker.Operation{
		Name: "refused", Workspace: "derwent", KeyID: "k1", Route: "/slips", Service: "slips", Method: http.MethodPost,
		Sent: at(4), Ended: at(5), Attempts: []checker.Attempt{
			{Name: "refused/1", Sent: at(4), Ended: at(5), Status: 429, Verdict: "not_run", Reason: gypsumhoist.ReasonRate},
		},
	})
	hs.AddOperation(&checker.Operation{
		Name: "free", Workspace: "derwent", KeyID: "k1", Route: "/slips", Service: "slips", Method: http.MethodPost,
		Sent: at(6), Ended: at(7), Done: true, Attempts: []checker.Attempt{
			{Name: "free/1", Sent: at(6), Ended: at(7), Status: 200, Complete: true, Matching: true},
		},
	})
	hs.AddRun(run("free", "free/1", 6.5))
	hs.AddEvent(checker.LimitInForce{Workspace: "derwent", Route: "/slips", Rate: 1, Burst: 1, From: at(0)})
	hs.AddEvent(checker.WithdrawalInForce{KeyID: "k1", At: at(7)})
	hs.AddEvent(checker.DrainStarted{Instance: "n1", At: at(7)})
	for _, ro := range []checker.RevisionObserved{
		{Instance: "n1", Boot: 1, Revision: 1, At: at(0)},
		{Instance: "n1", Boot: 1, Revision: 2, At: at(1)},
		{Instance: "n1", Boot: 2, Revision: 1, At: at(2)}, // a new process may begin with an older table
	} {
		hs.AddEvent(ro)
	}
	hs.AddEvent(checker.EditAccepted{Revision: 2, Text: "rate=1", At: at(1)})
	hs.AddEvent(checker.RowRead{Revision: 2, Text: "rate=1", At: at(2)})
	return hs
}

func run(operation, attempt string, began float64) checker.Run {
	return checker.Run{
		Instance: "n1", Service: "slips", Method: http.MethodPost, Operation: operation, Attempt: attempt, Workspace: "derwent",
		Header: http.Header{"X-Order": {operation}}, Began: at(began), Completed: true,
	}
}

// addOperation adds an operation on the same row with a single attempt.
func addOperation(hs *checker.History, name string, att checker.Attempt) {
	att.Name = name + "/1"
	hs.AddOperation(&checker.Operation{
		Name: name, Workspace: "derwent", Route: "/slips", Service: "slips", Method: http.MethodPost,
		Sent: att.Sent, Ended: att.Ended, Attempts: []checker.Attempt{att},
	})
}

var _ = Describe("Check", func() {
	It("finds nothing in a clean history", func() {
		Expect(checker.Check(clean())).To(BeEmpty())
	})
	DescribeTable("finds an injected violation, and no other",
		func(guarantee string, inject func(hs *checker.History)) {
			hs := clean()
			inject(hs)
			violations := checker.Check(hs)
			Expect(violations).To(HaveLen(1))
			Expect(violations[0].Guarantee).To(Equal(guarantee))
			Expect(violations[0].Detail).NotTo(BeEmpty())
		},
		Entry("an operation with an Idempotency-Key ran for two attempts", checker.GuaranteeAtMostOnce, func(hs *checker.History) {
			hs.AddRun(run("keyed", "keyed/2", 2.5))
		}),
		Entry("an attempt without an Idempotency-Key ran twice", checker.GuaranteeAtMostOnce, func(hs *checker.History) {
			hs.AddRun(run("free", "free/1", 6.6))
		}),
		Entry("an attempt refused as not run had run", checker.GuaranteeNotRun, func(hs *checker.History) {
			hs.AddRun(run("refused", "refused/1", 4.5))
		}),
		Entry("a complete answer was that of another operation", checker.GuaranteeOwnAnswer, func(hs *checker.History) {
			addOperation(hs, "mixed", checker.Attempt{Sent: at(8), Ended: at(9), Status: 200, Complete: true})
		}),
		Entry("an upstream got a key, in whatever header", checker.GuaranteeNoKeyUpstream, func(hs *checker.History) {
			rn := run("other", "other/1", 8)
			rn.Header.Set("Authorization", "Bearer "+gypsumhoist.KeyPrefix+"abc")
			hs.AddRun(rn)
		}),
		Entry("a request ran under a withdrawn key", checker.GuaranteeWithdrawnKey, func(hs *checker.History) {
			rn := run("free", "free/2", 9.5)
			rn.Instance = "n2"
			hs.AddRun(rn)
		}),
		Entry("a row ran more than its rate and burst", checker.GuaranteeRate, func(hs *checker.History) {
			for _, name := range []string{"fast1", "fast2", "fast3"} {
				addOperation(hs, name, checker.Attempt{Sent: at(7.5), Ended: at(8), Status: 200, Complete: true, Matching: true})
				hs.AddRun(run(name, name+"/1", 7.6))
			}
		}),
		Entry("a draining upstream got a new request", checker.GuaranteeDraining, func(hs *checker.History) {
			hs.AddRun(run("other", "other/1", 9.5))
		}),
		Entry("a process went back to an older revision", checker.GuaranteeMonotonicRevision, func(hs *checker.History) {
			hs.AddEvent(checker.RevisionObserved{Instance: "n1", Boot: 2, Revision: 3, At: at(3)})
			hs.AddEvent(checker.RevisionObserved{Instance: "n1", Boot: 2, Revision: 2, At: at(4)})
		}),
		Entry("a read lacks an edit that was accepted before it", checker.GuaranteeDurableEdit, func(hs *checker.History) {
			hs.AddEvent(checker.RowRead{Revision: 1, Text: "rate=9", At: at(3)})
		}),
		Entry("a read differs from the accepted edit at its revision", checker.GuaranteeDurableEdit, func(hs *checker.History) {
			hs.AddEvent(checker.RowRead{Revision: 2, Text: "rate=2", At: at(3)})
		}),
	)
	It("allows runs within the bounds after a withdrawal and the start of a drain", func() {
		hs := clean()
		hs.AddRun(run("free", "free/2", 8.9))
		Expect(checker.Check(hs)).To(BeEmpty())
	})
	It("does not count a second run of an idempotent method as a duplicate", func() {
		hs := clean()
		rn := run("free", "free/1", 6.6)
		rn.Method = http.MethodGet
		hs.AddRun(rn)
		Expect(checker.Check(hs)).To(BeEmpty())
	})
})
