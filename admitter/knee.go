package admitter

import (
	"math"
	"time"
)

const (
	kneeShare          = 0.93                   // share of the slots that a trial runs at: less than it costs at most while it lasts
	kneeBusyShare      = 0.95                   // share of the slots in use from which on all of them count as in use
	kneeSlotsMin       = 8                      // with fewer slots a share of kneeShare is no whole number of them
	kneeSamples        = 200                    // samples on each side: they tell latencies apart that differ by 8 in 100
	kneePatience       = 5 * time.Second        // time to collect them; if it takes longer, the slots are not the bottleneck
	kneeDeviations     = 2.0                    // standard deviations by which the gain must exceed the cost
	kneeHold           = 30 * time.Second       // time for which a limit that was kept holds before all slots are tried again
	kneeMinCooldown    = 4 * time.Second        // pause after a trial that brought no gain
	kneeMaxCooldown    = 64 * time.Second       // the pause doubles up to this
	kneeSettleShortest = 100 * time.Millisecond // requests that were admitted with another limit still run for as long at least
	kneeSettleTimes    = 2                      // or as many median latencies
	kneeRoutesMax      = 16                     // routes whose latencies are compared
	reportedFor        = 10 * time.Second       // time for which a call that says that the upstream reports its load enables trials
)

// knee finds out whether an upstream does more work in a time if a few of its slots stay free. It serves an upstream that is in full
// use and slows down only when nearly all slots are in use: by less than what starts a trial of limit, so that it stays slow for as long
// as the overload lasts. It compares the latencies of each route with all slots and with kneeShare of them, and keeps the lower limit if
// they fall by more than the slots. It is not safe for concurrent use. The zero value is idle.
type knee struct {
	phase         kneePhase
	enabledUntil  time.Duration
	from          time.Duration // when measuring begins
	until         time.Duration // when the phase ends
	cooldown      time.Duration // pause after the next trial that brings no gain
	gained        bool          // the trial before brought a gain
	full, reduced routeLatencies
}

type kneePhase uint8

const (
	kneeIdle    kneePhase = iota
	kneeFull              // latencies are measured with all slots
	kneeReduced           // latencies are measured with some slots free
	kneeHeld              // some slots stay free
)

// logLatency sums up logarithms of latencies in seconds, as single ones that take many times as long would dominate a mean.
type logLatency struct{ count, sum, squares float64 }

func (ll *logLatency) add(took time.Duration) {
	val := math.Log(max(took.Seconds(), 1e-6))
	ll.count++
	ll.sum += val
	ll.squares += val * val
}

func (ll *logLatency) mean() float64 { return ll.sum / ll.count }

// variance returns the variance of the mean.
func (ll *logLatency) variance() float64 {
	mean := ll.mean()
	return max(ll.squares/ll.count-mean*mean, 0) / ll.count
}

// limit returns how many of a number of slots may be in use.
func (kn *knee) limit(slots int) int {
	if kn.phase < kneeReduced {
		return slots
	}
	return reducedSlots(slots)
}

func reducedSlots(slots int) int { return int(kneeShare * float64(slots)) }

// enable allows trials for a while.
func (kn *knee) enable(now time.Duration) { kn.enabledUntil = now + reportedFor }

// sample adds the latency of a request of a route; running is how many ran just before it ended, usual the median latency.
func (kn *knee) sample(now time.Duration, route string, took time.Duration, running, slots int, usual time.Duration) {
	if kn.phase == kneeIdle && now >= kn.enabledUntil || slots < kneeSlotsMin {
		return
	}
	allBusy := float64(running) >= kneeBusyShare*float64(slots)
	switch kn.phase {
	case kneeIdle:
		if now >= kn.until && allBusy {
			kn.begin(kneeFull, now, 0)
		}
	case kneeFull:
		if kn.collect(&kn.full, now, allBusy, route, took) {
			kn.begin(kneeReduced, now, usual)
		}
	case kneeReduced:
		if kn.collect(&kn.reduced, now, running >= reducedSlots(slots), route, took) {
			kn.evaluate(now, usual)
		}
	case kneeHeld:
		if now >= kn.until {
			kn.pause(now, 0)
		}
	}
}

// begin begins to measure in a phase. Before that, the requests that were admitted with another limit have to end.
func (kn *knee) begin(phase kneePhase, now, usual time.Duration) {
	kn.phase, kn.from = phase, now
	if usual > 0 {
		kn.from += max(kneeSettleShortest, kneeSettleTimes*usual)
	}
	kn.until = kn.from + kneePatience
	if phase == kneeFull {
		kn.full = routeLatencies{}
		return
	}
	kn.reduced = routeLatencies{}
}

// collect adds a sample to the latencies of the present phase if the slots are in use, and reports whether there are enough. It ends the
// trial if that takes too long.
func (kn *knee) collect(to *routeLatencies, now time.Duration, inUse bool, route string, took time.Duration) bool {
	if now >= kn.until {
		kn.pause(now, 0)
		return false
	}
	if inUse && now >= kn.from {
		to.add(route, took)
	}
	return to.samples >= kneeSamples
}

// evaluate decides about the lower limit. It is kept after two trials in a row, as the work may have become faster or slower by itself
// during one of them.
func (kn *knee) evaluate(now, usual time.Duration) {
	switch {
	case !gains(kn.full, kn.reduced):
		kn.cooldown = min(max(2*kn.cooldown, kneeMinCooldown), kneeMaxCooldown)
		kn.pause(now, kn.cooldown)
	case !kn.gained:
		kn.gained = true
		kn.begin(kneeFull, now, usual)
	default:
		kn.cooldown = 0
		kn.phase, kn.until = kneeHeld, now+kneeHold
	}
}

// pause ends a trial or a limit, and begins no other trial for a while.
func (kn *knee) pause(now, cooldown time.Duration) {
	kn.phase, kn.until, kn.gained = kneeIdle, now+cooldown, false
}

// reset ends a trial, as the slots have changed.
func (kn *knee) reset() { kn.pause(0, 0) }

// routeLatencies are the latencies of a phase by route.
type routeLatencies struct {
	samples int
	byRoute map[string]*logLatency
}

func (rl *routeLatencies) add(route string, took time.Duration) {
	ll := rl.byRoute[route]
	if ll == nil {
		if len(rl.byRoute) >= kneeRoutesMax {
			return
		}
		if rl.byRoute == nil {
			rl.byRoute = map[string]*logLatency{}
		}
		ll = &logLatency{}
		rl.byRoute[route] = ll
	}
	ll.add(took)
	rl.samples++
}

// gains reports whether latencies fell by more than the slots did, beyond what chance explains. Routes are compared one by one,
// so that it doesn't matter if their shares change meanwhile.
func gains(full, reduced routeLatencies) bool {
	change, variance, weights := 0.0, 0.0, 0.0
	for route, after := range reduced.byRoute {
		before := full.byRoute[route]
		if before == nil || before.count < 2 || after.count < 2 {
			continue
		}
		weight := min(before.count, after.count)
		change += weight * (after.mean() - before.mean())
		variance += weight * weight * (after.variance() + before.variance())
		weights += weight
	}
	if weights == 0 {
		return false
	}
	return change/weights+kneeDeviations*math.Sqrt(variance)/weights < math.Log(kneeShare)
}
