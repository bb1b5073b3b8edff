package retrier

import "time"

// Window over which retries are compared with first attempts, and the slices it moves by.
const (
	ratioWindow = 10 * time.Second
	ratioSlices = 10
	ratioSlice  = ratioWindow / ratioSlices
)

// RatioFloor is how many retries per window a row has whatever its first attempts were,
// so that a row with little traffic can retry at all.
const RatioFloor = 2

// Ratio compares the retries of one row with its first attempts over the last 10 s.
// It is for one goroutine. The zero value is an empty window.
type Ratio struct {
	slices  [ratioSlices]attempts
	current int64
	total   attempts
}

type attempts struct {
	first   int64
	retries int64
}

// First counts a first attempt at a time since any fixed start.
func (ra *Ratio) First(now time.Duration) {
	ra.advance(now)
	ra.slot().first++
	ra.total.first++
}

// Left returns how many retries the window still holds.
func (ra *Ratio) Left(now time.Duration, percent int) int64 {
	ra.advance(now)
	if percent <= 0 {
		return 0
	}
	return max(RatioFloor, ra.total.first*int64(percent)/100) - ra.total.retries
}

// Charge counts a retry that was made in any case.
func (ra *Ratio) Charge(now time.Duration) {
	ra.advance(now)
	ra.slot().retries++
	ra.total.retries++
}

// Retry counts a retry if the window's retries with it stay within percent of the first attempts or within RatioFloor,
// and reports whether it does. A percent below zero counts as zero; zero forbids retries.
func (ra *Ratio) Retry(now time.Duration, percent int) bool {
	if ra.Left(now, percent) <= 0 {
		return false
	}
	ra.Charge(now)
	return true
}

func (ra *Ratio) slot() *attempts { return &ra.slices[ra.current%ratioSlices] }

// advance drops the slices that have left the window; time that goes back counts as standing still.
func (ra *Ratio) advance(now time.Duration) {
	target := int64(now / ratioSlice)
	if target-ra.current >= ratioSlices {
		*ra = Ratio{current: target}
		return
	}
	for ra.current < target {
		ra.current++
		old := ra.slot()
		ra.total.first -= old.first
		ra.total.retries -= old.retries
		*old = attempts{}
	}
}
