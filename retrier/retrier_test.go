package retrier_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

func ExampleBudget() {
	bg := retrier.NewBudget(3)
	sh := bg.DrawShare()
	fmt.Println(sh.Retries(), bg.Left())
	sh.Return(5) // more than it holds
	fmt.Println(bg.Left())
	// Output:
	// 2 1
	// 3
}

// key is the row in which all attempts of these tests are counted.
var key = retrier.RowKey{Workspace: "school", Route: "/slips"}

// callTree is a tree of nested calls below one call, with a random fault per attempt.
type callTree struct {
	rt       *rapid.T
	retrier  *retrier.Retrier
	attempts map[string]int
	retries  int
}

// call makes one call with retries, as a node does on behalf of its upstream or a caller.
func (ct *callTree) call(path string, depth int, bg *retrier.Budget) {
	for {
		ct.attempts[path]++
		sh := bg.DrawShare()
		failed := ct.attempt(path, depth, &sh)
		if !failed {
			return
		}
		fl := retrier.Failure{
			Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection,
			UpstreamsLeft: 1, Remaining: time.Second,
		}
		if _, ok := ct.retrier.Decide(key, 1_000_000, fl, bg).(retrier.RetryElsewhere); !ok {
			return
		}
		ct.retries++
	}
}

func (ct *callTree) attempt(path string, depth int, sh *retrier.Share) bool {
	switch rapid.SampledFrom([]string{"whole", "whole", "refused", "failed late", "lost"}).Draw(ct.rt, "fault") {
	case "refused":
		sh.Return(sh.Retries())
		return true
	case "failed late":
		sh.Return(ct.callChildren(path, depth, sh.Retries()))
		return true
	case "lost":
		ct.callChildren(path, depth, sh.Retries())
		return true
	}
	sh.Return(ct.callChildren(path, depth, sh.Retries()))
	return false
}

// callChildren makes the nested calls of a call and returns the unspent part of its retry budget.
func (ct *callTree) callChildren(path string, depth, budget int) int {
	// The budget is passed on as a header value.
	budget, err := retrier.ParseBudget(retrier.FormatBudget(budget))
	if err != nil {
		ct.rt.Fatal(err)
	}
	bg := retrier.NewBudget(budget)
	if depth > 0 {
		for at := range rapid.IntRange(0, 2).Draw(ct.rt, "children") {
			ct.call(fmt.Sprint(path, "/", at), depth-1, bg)
		}
	}
	return bg.Left()
}

var _ = Describe("budgets", func() {
	It("bound the retries of a whole call tree and the attempts of each edge, whatever fails", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			budget := rapid.IntRange(0, 6).Draw(rt, "budget")
			ct := &callTree{rt: rt, retrier: retrier.New(), attempts: map[string]int{}}
			ct.retrier.CountFirst(key, 1_000_000)
			bg := retrier.NewBudget(budget)
			ct.call("", 4, bg)
			if ct.retries+bg.Left() > budget {
				rt.Fatalf("%d retries and %d left of %d", ct.retries, bg.Left(), budget)
			}
			for path, count := range ct.attempts {
				if count > 1+budget {
					rt.Fatalf("%d attempts at %q with a budget of %d", count, path, budget)
				}
			}
		})
	})

	It("never hold more than they began with, whatever is returned", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			bg := retrier.NewBudget(6)
			for range 20 {
				sh := bg.Draw(rapid.IntRange(-1, 8).Draw(rt, "drawn"))
				sh.Return(rapid.IntRange(-5, 20).Draw(rt, "returned"))
				sh.Return(20)
				if bg.Left() > 6 {
					rt.Fatalf("%d left of 6", bg.Left())
				}
			}
		})
	})

	It("are never overdrawn by parallel draws", func() {
		bg := retrier.NewBudget(50)
		var mu sync.Mutex
		var group sync.WaitGroup
		drawn := 0
		for range 16 {
			group.Go(func() {
				for range 10 {
					sh := bg.Draw(3)
					mu.Lock()
					drawn += sh.Retries()
					mu.Unlock()
				}
			})
		}
		group.Wait()
		Expect(drawn).To(Equal(50))
		Expect(bg.Left()).To(BeZero())
	})
})

var _ = Describe("the ratio of a row", func() {
	It("grants a retry only while retries stay within their share of the window", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			var ra retrier.Ratio
			percent := rapid.IntRange(0, 50).Draw(rt, "percent")
			now := time.Duration(0)
			var firsts, retries []time.Duration
			for range 400 {
				now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
				if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
					ra.CountFirst(now)
					firsts = append(firsts, now)
					continue
				}
				if ra.Left(now, percent) <= 0 {
					continue
				}
				ra.CountRetry(now)
				retries = append(retries, now)
				// The window moves by whole slices, so it spans between 9 s and 10 s.
				if most := max(retrier.MinRetriesPerWindow, percent*since(firsts, now-10*time.Second)/100); since(retries, now-9*time.Second) > most {
					rt.Fatalf("%d retries, want at most %d", since(retries, now-9*time.Second), most)
				}
			}
		})
	})

	It("doesn't count retries that were given up for another cause", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			re := retrier.New()
			fl := retrier.Failure{Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, UpstreamsLeft: 1, Remaining: time.Second}
			bg := retrier.NewBudget(10)
			countFirsts(re, 10*retrier.MinRetriesPerWindow)
			for range retrier.MinRetriesPerWindow {
				g.Expect(re.Decide(key, 10, fl, bg)).To(Equal(retrier.RetryElsewhere{}))
			}
			g.Expect(re.Decide(key, 10, fl, bg)).To(Equal(retrier.GiveUp{Cause: retrier.CauseRatio}))
			g.Expect(bg.Left()).To(Equal(10 - retrier.MinRetriesPerWindow))
			time.Sleep(11 * time.Second)
			countFirsts(re, 10)
			g.Expect(re.Decide(key, 10, fl, bg)).To(Equal(retrier.RetryElsewhere{}))
			g.Expect(re.Decide(key, 10, fl, nil)).To(Equal(retrier.GiveUp{Cause: retrier.CauseBudget}))
		})
	})
})

var _ = Describe("the credit of a service", func() {
	fl := retrier.Failure{Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, UpstreamsLeft: 1, Remaining: time.Second}
	gaveUp := retrier.GiveUp{Cause: retrier.CauseCredit}

	It("is empty at first, is earned by first attempts and is shared by all rows", func() {
		re := retrier.New()
		bg := retrier.NewBudget(10)
		other := key
		other.Route = "/other"
		Expect(re.Decide(key, 10, fl, bg)).To(Equal(gaveUp))
		countFirsts(re, 10)
		Expect(re.Decide(other, 10, fl, bg)).To(Equal(retrier.RetryElsewhere{}))
		Expect(re.Decide(key, 10, fl, bg)).To(Equal(gaveUp))
		Expect(bg.Left()).To(Equal(9))
	})

	It("expires, but for one retry", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			re := retrier.New()
			countFirsts(re, 100)
			time.Sleep(3 * time.Second)
			bg := retrier.NewBudget(10)
			g.Expect(re.Decide(key, 10, fl, bg)).To(Equal(retrier.RetryElsewhere{}))
			g.Expect(re.Decide(key, 10, fl, bg)).To(Equal(gaveUp))
		})
	})

	It("never pays for more in a window than was earned in it and the two seconds before, and one more", func() {
		rapid.Check(suiteT, func(rt *rapid.T) {
			var ct retrier.Credit
			percent := rapid.IntRange(0, 50).Draw(rt, "percent")
			now := time.Duration(0)
			var firsts, retries []time.Duration
			for range 400 {
				now += time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond
				switch rapid.IntRange(0, 3).Draw(rt, "kind") {
				case 0, 1:
					ct.Earn(now, percent)
					firsts = append(firsts, now)
				case 2:
					if ct.Retries(now) > 0 {
						ct.Spend(now)
						retries = append(retries, now)
					}
				default:
					ct.Retries(now)
				}
				if most := 1 + percent*since(firsts, now-12*time.Second)/100; since(retries, now-10*time.Second) > most {
					rt.Fatalf("%d retries, want at most %d", since(retries, now-10*time.Second), most)
				}
			}
		})
	})
})

// countFirsts counts first attempts of the row, of 10 in 100 retries.
func countFirsts(re *retrier.Retrier, num int) {
	for range num {
		re.CountFirst(key, 10)
	}
}

// since counts the times after from.
func since(times []time.Duration, from time.Duration) int {
	count := 0
	for _, at := range times {
		if at > from {
			count++
		}
	}
	return count
}

var _ = DescribeTable("a failure is classified", func(change func(fl *retrier.Failure), want retrier.Cause) {
	fl := retrier.Failure{
		Verdict: gypsumhoist.VerdictMayHaveRun, Reason: gypsumhoist.ReasonConnection, Idempotent: true,
		UpstreamsLeft: 1, Remaining: time.Second, ExpectedLatency: 100 * time.Millisecond,
	}
	change(&fl)
	Expect(retrier.Classify(fl)).To(Equal(want))
},
	Entry("idempotent and broken", func(*retrier.Failure) {}, retrier.CauseNone),
	Entry("not idempotent, may have run", func(fl *retrier.Failure) { fl.Idempotent = false }, retrier.CauseUncertain),
	Entry("not idempotent, not run", func(fl *retrier.Failure) { fl.Idempotent = false; fl.Verdict = gypsumhoist.VerdictNotRun }, retrier.CauseNone),
	Entry("has run", func(fl *retrier.Failure) { fl.Verdict = gypsumhoist.VerdictRan }, retrier.CauseRan),
	Entry("body consumed", func(fl *retrier.Failure) { fl.BodyConsumed = true }, retrier.CauseBody),
	Entry("one upstream overloaded", func(fl *retrier.Failure) { fl.Reason = gypsumhoist.ReasonOverload }, retrier.CauseNone),
	Entry("service overloaded", func(fl *retrier.Failure) { fl.ServiceOverloaded = true }, retrier.CauseOverload),
	Entry("no other upstream", func(fl *retrier.Failure) { fl.UpstreamsLeft = 0 }, retrier.CauseNoUpstream),
	Entry("no time", func(fl *retrier.Failure) { fl.Remaining = 99 * time.Millisecond }, retrier.CauseDeadline),
	Entry("quarantined", func(fl *retrier.Failure) { fl.Reason = gypsumhoist.ReasonQuarantined }, retrier.CauseFinal),
	Entry("rate", func(fl *retrier.Failure) { fl.Reason = gypsumhoist.ReasonRate }, retrier.CauseFinal),
)

func FuzzParseBudget(f *testing.F) {
	f.Add("3")
	f.Add("1000")
	f.Fuzz(func(t *testing.T, txt string) {
		num, err := retrier.ParseBudget(txt)
		if num < 0 || num > retrier.MaxBudget || err != nil && num != 0 {
			t.Errorf("%q gives %d, %v", txt, num, err)
		}
		if again, _ := retrier.ParseBudget(retrier.FormatBudget(num)); again != num {
			t.Errorf("%d comes back as %d", num, again)
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	bg := retrier.NewBudget(8)
	b.ReportAllocs()
	for b.Loop() {
		sh := bg.DrawShare()
		sh.Return(sh.Retries())
	}
}

func BenchmarkCountFirst(b *testing.B) {
	for _, rows := range []int{8, 1000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			re := retrier.New()
			keys := make([]retrier.RowKey, rows)
			for at := range keys {
				keys[at] = retrier.RowKey{Workspace: gypsumhoist.Workspace(fmt.Sprint(at)), Route: "/"}
			}
			b.ReportAllocs()
			for at := 0; b.Loop(); at++ {
				re.CountFirst(keys[at%rows], 10)
			}
		})
	}
}

func BenchmarkDecide(b *testing.B) {
	re := retrier.New()
	bg := retrier.NewBudget(1)
	re.CountFirst(key, 10)
	fl := retrier.Failure{Verdict: gypsumhoist.VerdictNotRun, Reason: gypsumhoist.ReasonConnection, UpstreamsLeft: 1, Remaining: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		re.Decide(key, 10, fl, bg)
	}
}
