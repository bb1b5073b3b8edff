package admitter

import (
	"math"
	"time"
)

const (
	trialShare       = 0.7  // share of the limit that a trial runs at
	trialKeepRatio   = 0.78 // a ratio of latencies up to this keeps the lower limit at once
	trialRevertRatio = 0.9  // a ratio of at least this reverts it at once
	trialFinalRatio  = 0.83 // after trialWindowsMax a ratio up to this keeps it
	trialWindowsMax  = 4
	minCooldown      = 4 * time.Second  // pause after a trial that didn't lower latency
	maxCooldown      = 16 * time.Second // the pause doubles up to this
)

// phase is the state of a trial.
type phase uint8

const (
	phaseIdle    phase = iota
	phaseSettle        // requests admitted before the trial still run
	phaseMeasure       // the effect is measured
)

// result is the outcome of a trial.
type result uint8

const (
	resultUndecided   result = iota // not known yet
	resultKeep                      // latency fell with the limit
	resultRevert                    // latency didn't fall
	resultUnsaturated               // the limit is no longer reached
)

// windowTotals sums up consecutive windows.
type windowTotals struct {
	windows  int
	sum      time.Duration
	samples  int
	duration time.Duration
}

func (wt *windowTotals) add(now time.Duration, wd window) {
	wt.windows++
	wt.sum += wd.sum
	wt.samples += wd.samples
	wt.duration += now - wd.start
}

func (wt *windowTotals) mean() time.Duration { return wt.sum / time.Duration(max(wt.samples, 1)) }

// rate returns answers per second.
func (wt *windowTotals) rate() float64 { return float64(wt.samples) / max(wt.duration.Seconds(), 1e-9) }

// trial is a reduction of the limit that isn't decided yet.
type trial struct {
	phase         phase
	limitBefore   float64      // limit before the trial
	totalsBefore  windowTotals // windows before the trial
	totals        windowTotals
	cooldown      time.Duration // pause after the next trial that doesn't lower latency
	cooldownUntil time.Duration
}

func (tr *trial) begin(limit float64, totals windowTotals) {
	tr.phase = phaseSettle
	tr.limitBefore = limit
	tr.totalsBefore = totals
	tr.totals = windowTotals{}
}

func (tr *trial) startCooldown(now time.Duration) {
	tr.cooldownUntil = now + tr.cooldown
	tr.cooldown = min(2*tr.cooldown, maxCooldown)
}

// result evaluates a trial of a limit. The ratio of the latencies with and without the trial is the geometric mean of two
// estimates, as each is noisy: the measured latency of requests, and concurrency by throughput (Little's law).
func (tr *trial) result(limit float64, saturated bool) result {
	if !saturated {
		return resultUnsaturated
	}
	byRequest := float64(tr.totals.mean()) / float64(max(tr.totalsBefore.mean(), 1))
	byThroughput := limit / tr.limitBefore * tr.totalsBefore.rate() / max(tr.totals.rate(), 1e-9)
	ratio := math.Sqrt(byRequest * byThroughput)
	switch {
	case tr.totals.windows < 2:
		return resultUndecided
	case ratio <= trialKeepRatio, tr.totals.windows >= trialWindowsMax && ratio <= trialFinalRatio:
		return resultKeep
	case ratio >= trialRevertRatio, tr.totals.windows >= trialWindowsMax:
		return resultRevert
	}
	return resultUndecided
}
