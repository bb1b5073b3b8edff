package retrier

import "time"

// Sliding window over which retries are compared with first attempts, and its slices.
const (
	ratioWindow = 10 * time.Second
	ratioSlices = 10
	ratioSlice  = ratioWindow / ratioSlices
)

// MinRetriesPerWindow is the number of retries that a row may make per window however few its first attempts,
// as far as its service has credit, so that a row with little traffic can retry at all.
const MinRetriesPerWindow = 2

// Ratio compares the retries of one row with its first attempts over the last 10 s.
// It is not safe for concurrent use. The zero value is an empty window.
type Ratio struct {
	slices  [ratioSlices]attempts
	current int64
	total   attempts
}

type attempts struct {
	first   int64
	retries int64
}

// CountFirst counts a first attempt. Times count from any fixed start.
func (ra *Ratio) CountFirst(now time.Duration) {
	ra.advance(now)
	ra.currentSlice().first++
	ra.total.first++
}

// Left returns how many more retries the window allows: percent of the first attempts or MinRetriesPerWindow, whichever is greater, less
// the retries made. If percent is zero or less, retries are forbidden.
func (ra *Ratio) Left(now time.Duration, percent int) int64 {
	ra.advance(now)
	if percent <= 0 {
		return 0
	}
	return max(MinRetriesPerWindow, ra.total.first*int64(percent)/100) - ra.total.retries
}

// CountRetry counts a retry without checking the limit.
func (ra *Ratio) CountRetry(now time.Duration) {
	ra.advance(now)
	ra.currentSlice().retries++
	ra.total.retries++
}

func (ra *Ratio) currentSlice() *attempts { return &ra.slices[ra.current%ratioSlices] }

// advance drops the slices that have left the window. A time before the current slice changes nothing.
func (ra *Ratio) advance(now time.Duration) {
	target := int64(now / ratioSlice)
	if target-ra.current >= ratioSlices {
		*ra = Ratio{current: target}
		return
	}
	for ra.current < target {
		ra.current++
		old := ra.currentSlice()
		ra.total.first -= old.first
		ra.total.retries -= old.retries
		*old = attempts{}
	}
}
