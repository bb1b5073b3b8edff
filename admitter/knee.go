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
	kneeSettleShortest = 100 * time.Millisecond // requests that were admitted before a trial still run for as long at least
	kneeRoutesMax      = 16                     // routes whose latencies are compared
	pacedFor           = 10 * time.Second       // time for which a call that says that the upstream reports its pace enables trials
)

// knee finds out whether an upstream does more work in a time if a few of its slots stay free. It serves an upstream that is in full
// use and slows down only when nearly all slots are in use: by less than what starts a trial of limit, so that it stays slow for as long
// as the overload lasts. It compares the latencies of each route with all slots and with kneeShare of them, and keeps the lower limit if
// they fall by more than the slots. It is not safe for concurrent use. The zero value is idle.
type knee struct {
	phase         kneePhase
	enabledUntil  time.Duration
	until         time.Duration // when the phase ends
	cooldown      time.Duration // pause after the next trial that brings no gain
	samples       int
	full, reduced map[string]*logLatency // by route
}

type kneePhase uint8

const (
	kneeIdle     kneePhase = iota
	kneeFull               // latencies are measured with all slots
	kneeSettling           // requests that were admitted with all slots still run
	kneeReduced            // latencies are measured with some slots free
	kneeHeld               // some slots stay free
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
	if kn.phase < kneeSettling {
		return slots
	}
	return reducedSlots(slots)
}

func reducedSlots(slots int) int { return int(kneeShare * float64(slots)) }

// enable allows trials for a while.
func (kn *knee) enable(now time.Duration) { kn.enabledUntil = now + pacedFor }

// sample adds the latency of a request of a route; running is how many ran just before it ended, usual the median latency.
func (kn *knee) sample(now time.Duration, route string, took time.Duration, running, slots int, usual time.Duration) {
	if kn.phase == kneeIdle && now >= kn.enabledUntil || slots < kneeSlotsMin {
		return
	}
	switch kn.phase {
	case kneeIdle:
		if now >= kn.until && float64(running) >= kneeBusyShare*float64(slots) {
			kn.begin(kneeFull, now+kneePatience)
			kn.full, kn.reduced = map[string]*logLatency{}, map[string]*logLatency{}
		}
	case kneeFull:
		if float64(running) >= kneeBusyShare*float64(slots) {
			kn.add(kn.full, route, took)
		}
		switch {
		case kn.samples >= kneeSamples:
			kn.begin(kneeSettling, now+max(kneeSettleShortest, 2*usual))
		case now >= kn.until:
			kn.begin(kneeIdle, now)
		}
	case kneeSettling:
		if now >= kn.until {
			kn.begin(kneeReduced, now+kneePatience)
		}
	case kneeReduced:
		if running >= reducedSlots(slots) {
			kn.add(kn.reduced, route, took)
		}
		switch {
		case kn.samples >= kneeSamples && kn.gains():
			kn.cooldown = 0
			kn.begin(kneeHeld, now+kneeHold)
		case kn.samples >= kneeSamples:
			kn.cooldown = min(max(2*kn.cooldown, kneeMinCooldown), kneeMaxCooldown)
			kn.begin(kneeIdle, now+kn.cooldown)
		case now >= kn.until:
			kn.begin(kneeIdle, now)
		}
	case kneeHeld:
		if now >= kn.until {
			kn.begin(kneeIdle, now)
		}
	}
}

// reset ends a trial, as the slots have changed.
func (kn *knee) reset() { kn.begin(kneeIdle, 0) }

func (kn *knee) begin(phase kneePhase, until time.Duration) {
	kn.phase, kn.until, kn.samples = phase, until, 0
}

func (kn *knee) add(to map[string]*logLatency, route string, took time.Duration) {
	ll := to[route]
	if ll == nil {
		if len(to) >= kneeRoutesMax {
			return
		}
		ll = &logLatency{}
		to[route] = ll
	}
	ll.add(took)
	kn.samples++
}

// gains reports whether latencies fell by more than the slots did, beyond what chance explains. Routes are compared one by one,
// so that it doesn't matter if their shares change meanwhile.
func (kn *knee) gains() bool {
	change, variance, weights := 0.0, 0.0, 0.0
	for route, after := range kn.reduced {
		before := kn.full[route]
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
