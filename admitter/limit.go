package admitter

import (
	"math"
	"time"
)

const (
	minWindow          = 50 * time.Millisecond // shortest measuring window
	maxWindow          = time.Second           // a window that holds any sample ends at this age
	windowSamples      = 8                     // samples that a window needs to end before maxWindow
	windowServiceTimes = 2                     // service times that a window lasts at least, up to maxWindow

	elevatedRatio   = 1.5  // latency above the baseline times this is elevated
	elevatedWindows = 2    // consecutive elevated windows that start a trial
	baselineFall    = 0.3  // share of the difference by which the baseline follows a lower latency in each window
	baselineRise    = 0.01 // the same for a higher latency
	baselineWarmUp  = 10   // windows at the start in which baselineFall applies to both
	growthShare     = 0.25 // growth of the limit per window while latency is near the baseline
	growthRatio     = 1.15 // latency up to the baseline times this is near it
	refusalCut      = 0.8  // factor on the limit when the upstream itself refuses
	refusalFloor    = 0.5  // share of the slots below which such refusals don't lower the limit
	limitMin        = 1.0
)

// limit is the concurrency limit of one upstream: a gradient limit on latency whose reductions are trials.
//
// A latency that rises while the slots are in use may mean that too many requests run at once, or that
// something behind the upstream is slow. Only in the first case does a lower limit help. So a reduction
// is kept only if latency falls with it, and is reverted at once if it doesn't.
type limit struct {
	slots           int
	value           float64
	baseline        time.Duration // latency without congestion
	baselineWindows int           // windows that the baseline has followed
	window          window
	elevated        windowTotals // consecutive saturated windows of elevated latency
	trial           trial
	knee            knee

	refusalCutAt time.Duration
	cause        limitCause // of the last change
}

// limitCause is the cause of the last change of a limit.
type limitCause uint8

const (
	limitSlots         limitCause = iota // the slots that the upstream announced
	limitRefusals                        // refusals of the upstream itself
	limitTrial                           // a trial of a lower limit has begun
	limitTrialKept                       // a trial's limit was kept, as latency fell with it
	limitTrialReverted                   // a trial's limit was reverted
	limitGrowth                          // latency is near the baseline
	limitFreeSlots                       // some slots stay free, to find out whether the upstream does more work then, or as it does
	limitAllSlots                        // all slots are used again
)

var limitCauseNames = [...]string{"slots", "refusals", "trial", "trial_kept", "trial_taken_back", "growth", "free_slots", "all_slots"}

// String returns the cause in snake case.
func (lc limitCause) String() string { return limitCauseNames[lc] }

// window holds the latency samples since its start.
type window struct {
	start            time.Duration
	sum              time.Duration
	samples          int
	saturatedSamples int // samples of requests that ended while the limit was reached
}

func (wd *window) mean() time.Duration { return wd.sum / time.Duration(max(wd.samples, 1)) }

// saturated reports whether the limit was reached for at least half of the samples.
func (wd *window) saturated() bool { return 2*wd.saturatedSamples >= wd.samples }

// complete reports whether the window is to end.
func (wd *window) complete(now time.Duration) bool {
	age := now - wd.start
	if wd.samples == 0 {
		return false
	}
	enough := wd.samples >= windowSamples && age >= max(minWindow, windowServiceTimes*wd.mean())
	return enough || age >= maxWindow
}

func newLimit(slots int) limit {
	return limit{slots: slots, value: float64(slots), trial: trial{cooldown: minCooldown}}
}

// current returns how many requests may run.
func (lm *limit) current() int {
	if lm.slots <= 0 {
		return 0
	}
	return max(int(limitMin), min(int(lm.value), lm.knee.limit(lm.slots)))
}

func (lm *limit) setSlots(slots int) {
	if slots == lm.slots {
		return
	}
	lm.cause = limitSlots
	lm.knee.reset()
	full := lm.value >= float64(lm.slots)
	lm.slots = slots
	if full || lm.value > float64(slots) {
		lm.value = float64(slots)
	}
	lm.trial.limitBefore = math.Min(lm.trial.limitBefore, float64(slots))
}

// sample adds the latency of one request that ended; running is how many ran just before it did.
func (lm *limit) sample(now, took time.Duration, running int) {
	if running >= lm.current() {
		lm.window.saturatedSamples++
	}
	lm.window.sum += took
	lm.window.samples++
	if lm.window.complete(now) {
		lm.closeWindow(now)
		lm.window = window{start: now}
	}
}

// sampleKnee adds the latency of a request of a route to the trials with some slots free; usual is the median latency.
func (lm *limit) sampleKnee(now time.Duration, route string, took time.Duration, running int, usual time.Duration) {
	before := lm.knee.limit(lm.slots)
	lm.knee.sample(now, route, took, running, lm.slots, usual)
	switch after := lm.knee.limit(lm.slots); {
	case after < before:
		lm.cause = limitFreeSlots
	case after > before:
		lm.cause = limitAllSlots
	}
}

// upstreamRefused lowers the limit for a refusal by the upstream itself, but not below refusalFloor: the upstream may
// only pass on the refusal of a service behind it, for which a lower limit here doesn't help.
func (lm *limit) upstreamRefused(now time.Duration) {
	if now-lm.refusalCutAt < max(minWindow, lm.baseline) && lm.refusalCutAt > 0 {
		return
	}
	lm.refusalCutAt = now
	floor := math.Max(limitMin, refusalFloor*float64(lm.slots))
	if lm.value <= floor {
		return
	}
	lm.value = math.Max(floor, lm.value*refusalCut)
	lm.cause = limitRefusals
	lm.trial.phase = phaseIdle
	lm.elevated = windowTotals{}
	lm.window = window{start: now}
}

// closeWindow evaluates a window that has ended.
func (lm *limit) closeWindow(now time.Duration) {
	switch lm.trial.phase {
	case phaseIdle:
		lm.adjust(now)
	case phaseSettle:
		lm.trial.phase = phaseMeasure
	case phaseMeasure:
		lm.evaluateTrial(now)
	}
}

func (lm *limit) adjust(now time.Duration) {
	mean := lm.window.mean()
	lm.updateBaseline(mean)
	elevated := float64(mean) > float64(lm.baseline)*elevatedRatio
	if elevated && lm.window.saturated() {
		lm.elevated.add(now, lm.window)
	} else {
		lm.elevated = windowTotals{}
	}
	if now < lm.trial.cooldownUntil {
		lm.grow(mean)
		return
	}
	if lm.elevated.windows >= elevatedWindows && lm.value > limitMin {
		lm.trial.begin(lm.value, lm.elevated)
		lm.value = math.Max(limitMin, lm.value*trialShare)
		lm.cause = limitTrial
		lm.elevated = windowTotals{}
		return
	}
	if !elevated {
		lm.grow(mean)
	}
}

// evaluateTrial continues a trial or ends it.
func (lm *limit) evaluateTrial(now time.Duration) {
	tr := &lm.trial
	tr.totals.add(now, lm.window)
	switch tr.result(lm.value, lm.window.saturated()) {
	case resultUndecided:
	case resultKeep:
		tr.phase = phaseIdle
		tr.cooldown = minCooldown
		lm.cause = limitTrialKept
	case resultUnsaturated:
		tr.phase = phaseIdle
		lm.value = tr.limitBefore
		lm.cause = limitTrialReverted
	case resultRevert:
		tr.phase = phaseIdle
		lm.value = tr.limitBefore
		lm.cause = limitTrialReverted
		lm.baseline = tr.totals.mean()
		tr.startCooldown(now)
	}
}

// updateBaseline follows a lower latency fast and a higher one slowly.
func (lm *limit) updateBaseline(mean time.Duration) {
	share := baselineFall
	if mean > lm.baseline && lm.baselineWindows >= baselineWarmUp {
		share = baselineRise
	}
	if lm.baselineWindows == 0 {
		share = 1
	}
	lm.baselineWindows++
	lm.baseline += time.Duration(share * float64(mean-lm.baseline))
}

// grow raises the limit if it was reached.
func (lm *limit) grow(mean time.Duration) {
	if lm.window.saturatedSamples == 0 {
		return
	}
	step := 1.0
	if float64(mean) <= float64(lm.baseline)*growthRatio {
		step = math.Max(step, lm.value*growthShare)
	}
	lm.cause = limitGrowth
	lm.value = math.Min(lm.value+step, float64(lm.slots))
}
