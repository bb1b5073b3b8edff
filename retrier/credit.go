package retrier

import "time"

// creditPerRetry is the price of one retry in units of credit; a first attempt earns its row's RetryPercent units.
const creditPerRetry = 100

// Window within which earned credit must be spent, and its slices.
const (
	creditWindow = 2 * time.Second
	creditSlices = 8
	creditSlice  = creditWindow / creditSlices
)

// Credit holds the retries that first attempts to one service have earned at this node.
//
// It is not shared between nodes and begins empty. The retries of a fleet in any period are therefore bounded by what its requests
// earned in that period and creditWindow before it, and by one retry for each node, however often nodes restart and however
// many rows there are.
//
// It is not safe for concurrent use. The zero value is empty.
type Credit struct {
	units   int64
	earned  int64 // sum of slices
	slices  [creditSlices]int64
	current int64
}

// Earn adds what a first attempt earns. Times count from any fixed start.
func (ct *Credit) Earn(now time.Duration, percent int) {
	ct.advance(now)
	units := int64(max(percent, 0))
	ct.units += units
	ct.earned += units
	ct.slices[ct.current%creditSlices] += units
}

// Retries returns how many retries can be paid for.
func (ct *Credit) Retries(now time.Duration) int64 {
	ct.advance(now)
	return max(ct.units, 0) / creditPerRetry
}

// PerSecond returns how many retries the first attempts of the last creditWindow earn in a second, rounded down.
func (ct *Credit) PerSecond(now time.Duration) int64 {
	ct.advance(now)
	return ct.earned * int64(time.Second) / int64(creditWindow) / creditPerRetry
}

// Spend takes one retry. The balance may become negative, but by no more than it could be positive.
func (ct *Credit) Spend(now time.Duration) {
	ct.advance(now)
	ct.units = max(ct.units-creditPerRetry, -ct.most())
}

// most returns the highest balance: what the last creditWindow has earned, and one retry at least.
func (ct *Credit) most() int64 { return max(ct.earned, creditPerRetry) }

// advance drops the slices that have left the window, and the credit that expires with them. A time before the current slice changes
// nothing.
func (ct *Credit) advance(now time.Duration) {
	target := int64(now / creditSlice)
	for steps := 0; ct.current < target && steps < creditSlices; steps++ {
		ct.current++
		ct.earned -= ct.slices[ct.current%creditSlices]
		ct.slices[ct.current%creditSlices] = 0
	}
	ct.current = max(ct.current, target)
	ct.units = min(ct.units, ct.most())
}
