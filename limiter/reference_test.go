package limiter_test

import (
	"fmt"
	"time"

	"github.com/gypsumhoist/gypsumhoist/limiter"
)

// reference is one token bucket for the whole fleet. It checks all windows at once:
// a history stays within burst + rate * window in each window exactly if the bucket never goes below zero.
// While several versions of the row are in use, the highest rate and burst of them apply.
type reference struct {
	rows      []allowedRow
	level     float64
	at        time.Time
	violation string
}

type allowedRow struct {
	revision    uint64
	rate, burst float64
	until       time.Time // zero while the row is in use
}

func (rf *reference) allow(sim *simulation, tb limiter.Table) {
	rf.refill(sim.now)
	al := allowedRow{revision: tb.Revision}
	for _, en := range tb.Rows {
		al.rate, al.burst = float64(en.Row.Rate)/1000, float64(en.Row.Burst)
	}
	if len(rf.rows) == 0 {
		rf.level = al.burst
	}
	rf.rows = append(rf.rows, al)
}

// confirm ends the use of all versions before the newest that is in force everywhere,
// once the tokens that are still outstanding have expired.
func (rf *reference) confirm(sim *simulation, revision uint64) {
	for ix := range rf.rows {
		if rf.rows[ix].revision < revision && rf.rows[ix].until.IsZero() {
			rf.rows[ix].until = sim.now.Add(limiter.MaxTokenHold + 100*time.Millisecond)
		}
	}
}

func (rf *reference) limits(now time.Time) (float64, float64) {
	var rate, burst float64
	for _, al := range rf.rows {
		if al.until.IsZero() || now.Before(al.until) {
			rate, burst = max(rate, al.rate), max(burst, al.burst)
		}
	}
	return rate, burst
}

func (rf *reference) refill(now time.Time) {
	rate, burst := rf.limits(now)
	rf.level = min(rf.level+rate*now.Sub(rf.at).Seconds(), burst)
	rf.at = now
}

func (rf *reference) spend(now time.Time) {
	rf.refill(now)
	rf.level--
	if rf.level < -1e-6 && rf.violation == "" {
		rf.violation = fmt.Sprintf("%.6f tokens too many %v after the beginning", -rf.level, now.Sub(start))
	}
}
