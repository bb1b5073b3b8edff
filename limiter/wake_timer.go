package limiter

import "time"

// wakeTimer is a timer that can only be set to an earlier time until it fires,
// so that a stream of other events can't delay it.
type wakeTimer struct {
	timer *time.Timer
	at    time.Time // zero while it is not set
}

func newWakeTimer(wait time.Duration) *wakeTimer {
	return &wakeTimer{timer: time.NewTimer(wait), at: time.Now().Add(wait)}
}

// fireWithin makes the timer fire after the given time at the latest.
func (wt *wakeTimer) fireWithin(wait time.Duration) {
	at := time.Now().Add(wait)
	if !wt.at.IsZero() && !at.Before(wt.at) {
		return
	}
	wt.at = at
	wt.timer.Reset(wait)
}

// fired must be called when the timer has fired.
func (wt *wakeTimer) fired() { wt.at = time.Time{} }
