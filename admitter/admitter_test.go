package admitter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

func ExampleAdmitter() {
	ad := admitter.New()
	ad.SetSlots(1)
	tk, err := ad.Admit(context.Background(), admitter.Request{Workspace: "school", Weight: 1, Importance: 50})
	fmt.Println(err, ad.Load().InFlight)
	tk.Done(admitter.OutcomeAnswered)
	fmt.Println(ad.Load().InFlight)
	// Output:
	// <nil> 1
	// 0
}

// admitAsync calls Admit in a goroutine and returns the channel of its error.
func admitAsync(ctx context.Context, ad *admitter.Admitter, rq admitter.Request) chan error {
	result := make(chan error, 1)
	go func() {
		tk, err := ad.Admit(ctx, rq)
		if err == nil {
			time.Sleep(10 * time.Millisecond)
			tk.Done(admitter.OutcomeAnswered)
		}
		result <- err
	}()
	synctest.Wait()
	return result
}

var _ = Describe("an admitter", func() {
	bubble := func(test func(g *WithT, ad *admitter.Admitter)) {
		synctest.Test(suiteT, func(t *testing.T) {
			ad := admitter.New()
			ad.SetSlots(1)
			test(NewWithT(t), ad)
		})
	}
	ctx := context.Background()

	It("refuses an evicted request at once", func() {
		bubble(func(g *WithT, ad *admitter.Admitter) {
			tk, _ := ad.Admit(ctx, admitter.Request{Importance: 50})
			low := admitAsync(ctx, ad, admitter.Request{Importance: 10})
			for range 64 {
				admitAsync(ctx, ad, admitter.Request{Importance: 60})
			}
			var refusal *gypsumhoist.Refusal
			g.Expect(low).To(Receive(BeAssignableToTypeOf(refusal)))
			g.Expect(ad.Load().Waiting).To(Equal(64))
			tk.Done(admitter.OutcomeAnswered)
			time.Sleep(time.Second)
			g.Expect(ad.Load().Waiting).To(BeZero())
		})
	})

	It("refuses a waiting request as soon as its deadline can't be met", func() {
		bubble(func(g *WithT, ad *admitter.Admitter) {
			tk, _ := ad.Admit(ctx, admitter.Request{})
			time.Sleep(100 * time.Millisecond)
			tk.Done(admitter.OutcomeAnswered)
			_, _ = ad.Admit(ctx, admitter.Request{})
			began := time.Now()
			_, err := ad.Admit(ctx, admitter.Request{Deadline: time.Now().Add(300 * time.Millisecond)})
			g.Expect(err).To(HaveField("Reason", gypsumhoist.ReasonDeadline))
			g.Expect(err).To(HaveField("Verdict", gypsumhoist.VerdictNotRun))
			g.Expect(time.Since(began)).To(Equal(200 * time.Millisecond))
		})
	})

	It("removes a canceled request from the queue and releases a slot that was assigned to it meanwhile", func() {
		bubble(func(g *WithT, ad *admitter.Admitter) {
			tk, _ := ad.Admit(ctx, admitter.Request{})
			canceled, cancel := context.WithCancel(ctx)
			result := admitAsync(canceled, ad, admitter.Request{})
			cancel()
			tk.Done(admitter.OutcomeAnswered)
			tk.Done(admitter.OutcomeAnswered)
			synctest.Wait()
			time.Sleep(time.Second)
			g.Expect(result).To(Receive())
			g.Expect(ad.Load()).To(And(HaveField("InFlight", 0), HaveField("Waiting", 0)))
		})
	})

	It("measures service time until the response headers, and halves the limit at most for refusals by the upstream", func() {
		bubble(func(g *WithT, ad *admitter.Admitter) {
			ad.SetSlots(10)
			tk, _ := ad.Admit(ctx, admitter.Request{})
			time.Sleep(50 * time.Millisecond)
			tk.Answered()
			time.Sleep(time.Hour)
			tk.Done(admitter.OutcomeAnswered)
			g.Expect(ad.Load().ServiceTime).To(Equal(50 * time.Millisecond))
			for range 100 {
				tk, _ = ad.Admit(ctx, admitter.Request{})
				time.Sleep(time.Second)
				tk.Done(admitter.OutcomeOverloaded)
			}
			g.Expect(ad.Load().Limit).To(Equal(5))
		})
	})

	It("refuses all waiting requests once its upstream is gone", func() {
		bubble(func(g *WithT, ad *admitter.Admitter) {
			_, _ = ad.Admit(ctx, admitter.Request{})
			result := admitAsync(ctx, ad, admitter.Request{})
			ad.SetSlots(0)
			synctest.Wait()
			g.Expect(result).To(Receive(HaveField("Reason", gypsumhoist.ReasonNoUpstream)))
		})
	})
})

var _ = Describe("a forecaster", func() {
	tg := admitter.Target{Service: "orders"}

	It("refuses only what nearly all upstreams refuse, lets probes through, and expires cut-offs within a second", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			fc := admitter.NewForecaster()
			for at := range 9 {
				fc.Observe(tg, gypsumhoist.Instance(fmt.Sprint(at)), 50)
			}
			g.Expect(fc.Refuse(tg, 49, 11)).To(BeNil())
			g.Expect(fc.Refuse(tg, 50, 10)).To(BeNil())
			g.Expect(fc.CutOff(tg, 10)).To(Equal(gypsumhoist.Importance(50)))
			cut, age := fc.CutOffAge(tg, 10)
			g.Expect(cut).To(Equal(gypsumhoist.Importance(50)))
			g.Expect(age).To(BeZero())
			old := admitter.Target{Service: "passed-on"}
			fc.ObserveAged(old, "0", 50, 400*time.Millisecond)
			g.Expect(fc.CutOff(old, 1)).To(Equal(gypsumhoist.Importance(50)))
			time.Sleep(200 * time.Millisecond)
			g.Expect(fc.CutOff(old, 1)).To(BeZero())
			refused := 0
			for range 100 {
				if fc.Refuse(tg, 49, 10) != nil {
					refused++
				}
			}
			g.Expect(refused).To(Equal(95))
			fc.Observe(tg, "0", 0)
			time.Sleep(20 * time.Millisecond)
			g.Expect(fc.Refuse(tg, 49, 10)).To(BeNil())
			fc.Observe(tg, "0", 50)
			time.Sleep(20 * time.Millisecond)
			g.Expect(fc.Overloaded(tg, 49, 0, 10)).To(BeTrue())
			g.Expect(fc.Overloaded(tg, 48, 1, 10)).To(BeTrue())
			g.Expect(fc.Overloaded(tg, 49, 1, 10)).To(BeFalse())
			time.Sleep(1100 * time.Millisecond)
			g.Expect(fc.Overloaded(tg, 49, 0, 10)).To(BeFalse())
		})
	})
})

func FuzzParseCutOff(f *testing.F) {
	f.Add("50")
	f.Add("-1")
	f.Fuzz(func(t *testing.T, txt string) {
		im, err := admitter.ParseCutOff(txt)
		if again, _ := admitter.ParseCutOff(admitter.FormatCutOff(im)); again != im || err != nil && im != 0 {
			t.Errorf("cut-off %q parses as %d, and formatted again as %d", txt, im, again)
		}
	})
}
