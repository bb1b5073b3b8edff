package limiter

import "time"

// rateMeter measures the rate of spent tokens over a sliding window.
type rateMeter struct {
	windowAt time.Time
	count    float64
	previous float64
}

const rateWindow = 100 * time.Millisecond

func (rm *rateMeter) add(now time.Time) {
	rm.roll(now)
	rm.count++
}

// roll starts a new window when the current one has passed.
func (rm *rateMeter) roll(now time.Time) {
	passed := now.Sub(rm.windowAt)
	switch {
	case passed < rateWindow:
		return
	case passed < 2*rateWindow:
		rm.previous = rm.count
		rm.windowAt = rm.windowAt.Add(rateWindow)
	default:
		rm.previous = 0
		rm.windowAt = now
	}
	rm.count = 0
}

// rate returns the tokens per second over the last window and the current one.
func (rm *rateMeter) rate(now time.Time) float64 {
	rm.roll(now)
	weight := 1 - float64(now.Sub(rm.windowAt))/float64(rateWindow)
	return (rm.previous*weight + rm.count) / rateWindow.Seconds()
}
