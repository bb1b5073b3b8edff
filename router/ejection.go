package router

import "time"

// Constants of ejection.
const (
	ejectInRow     = 5   // failures in a row that eject
	ejectFailing   = 0.6 // share of failures that ejects
	outlierTimes   = 2   // how many times as often as the others one fails that is ejected
	ejectBase      = time.Second
	ejectLongest   = 30 * time.Second
	ejectForget    = time.Minute // after so long without failure the next ejection is short again
	ejectMost      = 0.5         // share of a service's upstreams that may be out
	panicCapacity  = 0.5         // with less than this share of the slots in use, ejections don't count
	probesToReturn = 2           // answered probes in a row that end an ejection
	probePause     = 50 * time.Millisecond
	probeAnyAfter  = 5 * time.Second // so late any request may probe, also one that isn't idempotent
)

// ejection is the state of an upstream that fails.
type ejection struct {
	out      bool
	until    time.Duration
	times    int
	lastTime time.Duration
	probing  bool // a probe is in flight
	answered int  // probes answered in a row
	nextAt   time.Duration
}

// begin ejects, for longer each time.
func (ej *ejection) begin(now time.Duration) {
	if now-ej.lastTime > ejectForget {
		ej.times = 0
	}
	stay := min(ejectBase<<min(ej.times, 10), ejectLongest)
	ej.times++
	ej.out = true
	ej.answered = 0
	ej.until = now + stay
	ej.nextAt = ej.until
	ej.lastTime = now
}

// due reports whether a request may probe the upstream now.
func (ej *ejection) due(now time.Duration, idempotent bool) bool {
	if !ej.out || ej.probing || now < ej.nextAt {
		return false
	}
	return idempotent || now >= ej.until+probeAnyAfter
}

// probed takes the outcome of a probe and reports whether the upstream returns.
func (ej *ejection) probed(now time.Duration, rs Result) bool {
	ej.probing = false
	ej.nextAt = now + probePause
	switch rs {
	case ResultAnswered, ResultOverloaded:
		ej.answered++
	case ResultFailed:
		ej.begin(now)
	case ResultNeutral, ResultLeaving:
	}
	if ej.answered < probesToReturn {
		return false
	}
	ej.out = false
	ej.lastTime = now
	return true
}
