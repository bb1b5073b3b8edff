package admitter

import (
	"math"
	"time"
)

const (
	jointWindow      = 100 * time.Millisecond // between two adjustments of the level
	jointDecay       = 0.9                    // factor on the counts of arrivals per window
	jointGain        = 1.0                    // arrivals to refuse for each call that was shed
	jointRiseMax     = 0.25                   // largest share of the arrivals above the level that one adjustment refuses
	jointReopenMin   = 0.02                   // share that is admitted again after a window in which no call was shed
	jointReopenFree  = 0.3                    // added to it, times the share of the arrivals that found a free slot
	jointReopenAll   = 1.0                    // the share if all arrivals found a free slot
	jointIdleWindows = 20                     // windows without arrivals after which none is refused
)

// jointRefusal decides which calls with siblings are refused on arrival while the upstream can't serve all. As a request fails
// with the first of its calls that is refused, all calls of some requests are refused, rather than some calls of all: those whose
// priority is below a level. The level rises while calls above it are shed, and falls while none is. It is not safe for
// concurrent use. The zero value refuses none.
type jointRefusal struct {
	level       priority
	windowStart time.Duration
	shedCalls   int // calls of the window that were shed
	// arrivedCalls counts the calls of the window, noSlotCalls those of them that found no free slot.
	arrivedCalls, noSlotCalls int
	// arrivals and passed are the decayed counts of arrivals by rank: of all, and of those above the level.
	arrivals, passed [rankCount]float64
	shares           shares
}

// arrive counts a call and reports whether it is below the level. Committed calls never are, and the level doesn't move by them: it
// decides which requests begin.
func (jr *jointRefusal) arrive(now time.Duration, rq CoreRequest, free bool) bool {
	jr.advance(now)
	rk := rankOf(rq.Importance, rq.Depth)
	jr.arrivedCalls++
	if !free {
		jr.noSlotCalls++
	}
	if rq.Committed {
		return false
	}
	jr.arrivals[rk]++
	excess := jr.shares.excess(rq.Workspace, float64(clipWeight(rq.Weight)))
	if jr.level > 0 && priorityIn(rk, rq.Precedence, excess) < jr.level {
		return true
	}
	jr.passed[rk]++
	return false
}

// levelAt returns the level at a time; it is zero after jointIdleWindows without an arrival.
func (jr *jointRefusal) levelAt(now time.Duration) priority {
	if now-jr.windowStart > jointIdleWindows*jointWindow {
		return 0
	}
	return jr.level
}

// countShed counts a call that was not below the level and was shed nevertheless.
func (jr *jointRefusal) countShed() { jr.shedCalls++ }

// advance ends the windows that are over.
func (jr *jointRefusal) advance(now time.Duration) {
	windows := int((now - jr.windowStart) / jointWindow)
	if windows <= 0 {
		return
	}
	jr.windowStart += time.Duration(windows) * jointWindow
	if windows > jointIdleWindows {
		*jr = jointRefusal{windowStart: jr.windowStart}
		return
	}
	jr.adjust()
	for range windows {
		jr.decay()
	}
	jr.shedCalls, jr.arrivedCalls, jr.noSlotCalls = 0, 0, 0
}

// adjust moves the level by the counts of the window.
func (jr *jointRefusal) adjust() {
	perWindow := 1 - jointDecay
	passedPerWindow := 0.0
	for _, count := range jr.passed {
		passedPerWindow += count * perWindow
	}
	switch {
	case jr.shedCalls > 0:
		jr.raise(math.Min(jointGain*float64(jr.shedCalls), jointRiseMax*passedPerWindow) / perWindow)
	case jr.level == 0:
	case jr.noSlotCalls > 0:
		free := 1 - float64(jr.noSlotCalls)/float64(jr.arrivedCalls)
		jr.lower((jointReopenMin + jointReopenFree*free) * passedPerWindow / perWindow)
	default:
		jr.lower(math.Max(jointReopenAll*passedPerWindow, 1) / perWindow)
	}
}

// raise moves the level up past a number of recent arrivals.
func (jr *jointRefusal) raise(count float64) {
	for rk := int(jr.level); rk < rankCount; rk++ {
		fraction := float64(jr.level) - float64(rk)
		if jr.passed[rk] > count {
			jr.level = priority(float64(rk) + fraction + (1-fraction)*count/jr.passed[rk])
			return
		}
		count -= jr.passed[rk]
		if rk+1 < rankCount {
			jr.level = priority(rk + 1)
		}
	}
}

// lower moves the level down past a number of recent arrivals. Those below the level may no longer come, so that their density
// is taken to be that of the arrivals above it in the same rank.
func (jr *jointRefusal) lower(count float64) {
	rk := int(jr.level)
	if fraction := float64(jr.level) - float64(rk); fraction > 0 {
		const minAbove = 0.05
		density := math.Max(jr.passed[rk]/math.Max(1-fraction, minAbove), 1)
		if fraction*density > count {
			jr.level -= priority(count / density)
			return
		}
		count -= fraction * density
	}
	for rk--; rk >= 0; rk-- {
		density := jr.arrivals[rk]
		if density > count {
			jr.level = priority(float64(rk) + 1 - count/density)
			return
		}
		count -= density
	}
	jr.level = 0
}

func (jr *jointRefusal) decay() {
	for rk := range jr.arrivals {
		jr.arrivals[rk] *= jointDecay
		jr.passed[rk] *= jointDecay
	}
	jr.shares.decay()
}
