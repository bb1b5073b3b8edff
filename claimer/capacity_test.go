package claimer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
)

// BenchmarkCapacity reports how many claims a machine grants before it is full,
// by the number of workspaces and the length of the answers.
func BenchmarkCapacity(b *testing.B) {
	for _, workspaces := range []int{1, 100} {
		for _, length := range []int{0, 200, 2000} {
			b.Run(fmt.Sprintf("workspaces=%d/answer=%d", workspaces, length), func(b *testing.B) {
				count := 0
				for b.Loop() {
					count = fill(workspaces, length)
				}
				b.ReportMetric(float64(count), "claims")
			})
		}
	}
}

// fill claims and finishes keys until a claim is refused, and returns how many were granted.
func fill(workspaces, length int) int {
	ma := claimer.NewMachine(claimer.DefaultSettings(), 1, start)
	for count := 0; ; count++ {
		now := start.Add(time.Duration(count) * time.Millisecond)
		rq := request(uuidAt(now, uint64(count)), "b")
		rq.Key.Workspace += gypsumhoist.Workspace(fmt.Sprint(count % workspaces))
		tk := claimer.NewToken()
		if refused(claim(ma, rq, tk, now)) != granted {
			return count
		}
		ma.Apply(claimer.FinishCommand(tk, claimer.Answer{Status: 200, Body: make([]byte, length)}), now)
	}
}
