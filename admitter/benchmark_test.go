package admitter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

func BenchmarkAdmit(b *testing.B) {
	ad := admitter.New()
	ad.SetSlots(64)
	ctx := context.Background()
	rq := admitter.Request{Workspace: "school", Weight: 1, Importance: 50, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		tk, err := ad.Admit(ctx, rq)
		if err != nil {
			b.Fatal(err)
		}
		tk.Done(admitter.OutcomeAnswered)
	}
}

// BenchmarkQueue measures one arrival into a full queue with its eviction, and one start from it.
func BenchmarkQueue(b *testing.B) {
	for _, slots := range []int{16, 256, 1024} {
		for _, workspaces := range []int{8, 1000} {
			b.Run(fmt.Sprintf("waiting=%d/workspaces=%d", 4*slots, workspaces), func(b *testing.B) {
				core := admitter.NewCore(slots, rand.New(rand.NewPCG(1, 1)))
				names := make([]gypsumhoist.Workspace, workspaces)
				for at := range names {
					names[at] = gypsumhoist.Workspace(fmt.Sprintf("workspace-%d", at))
				}
				now := time.Duration(0)
				arrive := func(at int) {
					core.Arrive(now, admitter.CoreRequest{
						Workspace: names[at%workspaces], Weight: 1 + at%7, Importance: gypsumhoist.Importance(at % 5 * 20),
					})
				}
				for at := range 6 * slots {
					arrive(at)
				}
				b.ReportAllocs()
				for at := 0; b.Loop(); at++ {
					now += time.Microsecond
					arrive(at)
					arrive(at + 3)
					core.Done(now, time.Millisecond, "", admitter.OutcomeAnswered)
					core.Notices()
				}
			})
		}
	}
}

func BenchmarkForecast(b *testing.B) {
	fc := admitter.NewForecaster()
	tg := admitter.Target{Service: "orders"}
	for at := range 200 {
		fc.Observe(tg, gypsumhoist.Instance(fmt.Sprint(at)), 50)
	}
	b.ReportAllocs()
	for b.Loop() {
		fc.Refuse(tg, 60, 200)
	}
}
