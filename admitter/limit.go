package admitter

import (
	"math"
	"time"
)

// Constants of the concurrency limit.
const (
	windowShortest = 50 * time.Millisecond // shortest measuring window
	windowLongest  = time.Second           // a window ends here if it holds any sample
	windowSamples  = 8                     // samples that a window needs before windowLongest
	windowTimes    = 2                     // a window lasts at least this many service times

	latencyRise  = 1.5  // a latency above base times this is looked into
	risenWindows = 2    // windows in a row that begin a trial
	baseFall     = 0.3  // share by which the base follows a lower latency in each window
	baseDrift    = 0.01 // share by which it follows a higher one
	baseStart    = 10   // windows over which it follows either by baseFall
	growthFast   = 0.25 // growth of the limit per window while latency is near its base
	growthNear   = 1.15 // what counts as near
	overloadCut  = 0.8  // factor on the limit when the upstream itself refuses
	overloadMost = 0.5  // share of the slots below which such refusals alone don't cut
	minLimit     = 1.0
)

// limit is the concurrency limit of one upstream: a gradient on latency whose cuts are trials.
//
// A latency that rises while the slots are in use may mean that too much runs at once, or that
// something behind the upstream is slow. Only in the first case does running less help. So a cut
// is kept only if latency falls with it, and is taken back at once if it doesn't.
type limit struct {
	slots  int
	value  float64
	base   time.Duration // latency of an upstream that isn't crowded
	based  int           // windows that the base has followed
	window window
	risen  span // windows in a row with a risen latency
	trial  trial

	lastCut time.Duration
	cause   limitCause // of the last change
}

// limitCause says what last moved a limit.
type limitCause uint8

const (
	limitSlots    limitCause = iota // the slots that the upstream announced
	limitRefusals                   // refusals of the upstream itself
	limitTrial                      // a trial of a lower limit began
	limitKept                       // a trial was kept, as latency fell with it
	limitBack                       // a trial was taken back
	limitGrowth                     // latency is near its base
)

var limitCauseNames = [...]string{"slots", "refusals", "trial", "trial_kept", "trial_taken_back", "growth"}

// String returns the cause in snake case.
func (lc limitCause) String() string { return limitCauseNames[lc] }

// window is what was measured since it began.
type window struct {
	began     time.Duration
	sum       time.Duration
	samples   int
	saturated int // samples that ended while the limit was reached
}

func (wd *window) mean() time.Duration { return wd.sum / time.Duration(max(wd.samples, 1)) }

// crowded reports whether the limit was reached most of the time.
func (wd *window) crowded() bool { return 2*wd.saturated >= wd.samples }

// over reports whether the window is long enough.
func (wd *window) over(now time.Duration) bool {
	age := now - wd.began
	if wd.samples == 0 {
		return false
	}
	enough := wd.samples >= windowSamples && age >= max(windowShortest, windowTimes*wd.mean())
	return enough || age >= windowLongest
}

func newLimit(slots int) limit {
	return limit{slots: slots, value: float64(slots), trial: trial{hold: holdShortest}}
}

// now returns how many requests may run.
func (lm *limit) now() int {
	if lm.slots <= 0 {
		return 0
	}
	return max(int(minLimit), min(int(lm.value), lm.slots))
}

func (lm *limit) setSlots(slots int) {
	if slots == lm.slots {
		return
	}
	lm.cause = limitSlots
	full := lm.value >= float64(lm.slots)
	lm.slots = slots
	if full || lm.value > float64(slots) {
		lm.value = float64(slots)
	}
	lm.trial.before = math.Min(lm.trial.before, float64(slots))
}

// sample counts the latency of one request that ended, with how many ran just before it did.
func (lm *limit) sample(now, took time.Duration, running int) {
	if running >= lm.now() {
		lm.window.saturated++
	}
	lm.window.sum += took
	lm.window.samples++
	if lm.window.over(now) {
		lm.turn(now)
		lm.window = window{began: now}
	}
}

// overloaded takes the upstream's own refusal as a sign to run less, but not much less: it may
// only pass on the refusal of a service behind it, which running less here can't mend.
func (lm *limit) overloaded(now time.Duration) {
	if now-lm.lastCut < max(windowShortest, lm.base) && lm.lastCut > 0 {
		return
	}
	lm.lastCut = now
	floor := math.Max(minLimit, overloadMost*float64(lm.slots))
	if lm.value <= floor {
		return
	}
	lm.value = math.Max(floor, lm.value*overloadCut)
	lm.cause = limitRefusals
	lm.trial.phase = phaseNone
	lm.risen = span{}
	lm.window = window{began: now}
}

// turn acts on a window that is over.
func (lm *limit) turn(now time.Duration) {
	switch lm.trial.phase {
	case phaseNone:
		lm.steady(now)
	case phaseSettle:
		lm.trial.phase = phaseMeasure
	case phaseMeasure:
		lm.judge(now)
	}
}

func (lm *limit) steady(now time.Duration) {
	mean := lm.window.mean()
	lm.follow(mean)
	risen := float64(mean) > float64(lm.base)*latencyRise
	if risen && lm.window.crowded() {
		lm.risen.add(now, lm.window)
	} else {
		lm.risen = span{}
	}
	if now < lm.trial.holdUntil {
		lm.grow(mean)
		return
	}
	if lm.risen.windows >= risenWindows && lm.value > minLimit {
		lm.trial.begin(lm.value, lm.risen)
		lm.value = math.Max(minLimit, lm.value*trialShare)
		lm.cause = limitTrial
		lm.risen = span{}
		return
	}
	if !risen {
		lm.grow(mean)
	}
}

// judge goes on with a trial, or ends it.
func (lm *limit) judge(now time.Duration) {
	tr := &lm.trial
	tr.during.add(now, lm.window)
	switch tr.result(lm.value, lm.window.crowded()) {
	case resultOpen:
	case resultKeep:
		tr.phase = phaseNone
		tr.hold = holdShortest
		lm.cause = limitKept
	case resultIdle:
		tr.phase = phaseNone
		lm.value = tr.before
		lm.cause = limitBack
	case resultBack:
		tr.phase = phaseNone
		lm.value = tr.before
		lm.cause = limitBack
		lm.base = tr.during.mean()
		tr.pause(now)
	}
}

// follow moves the base down fast and up slowly.
func (lm *limit) follow(mean time.Duration) {
	share := baseFall
	if mean > lm.base && lm.based >= baseStart {
		share = baseDrift
	}
	if lm.based == 0 {
		share = 1
	}
	lm.based++
	lm.base += time.Duration(share * float64(mean-lm.base))
}

// grow raises the limit if it was reached.
func (lm *limit) grow(mean time.Duration) {
	if lm.window.saturated == 0 {
		return
	}
	step := 1.0
	if float64(mean) <= float64(lm.base)*growthNear {
		step = math.Max(step, lm.value*growthFast)
	}
	lm.cause = limitGrowth
	lm.value = math.Min(lm.value+step, float64(lm.slots))
}
