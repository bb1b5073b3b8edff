// Package clocker provides a clock that keeps advancing while the machine is suspended.
//
// The runtime's monotonic clock stops during suspension. After a resume, an age or a lease measured by it appears younger
// than it is for the rest of the fleet.
package clocker

import (
	"sync/atomic"
	"time"
)

// minSuspension is the smallest change of the difference between the two clocks that counts as a suspension.
// Smaller changes come from the time between their readings.
const minSuspension = 20 * time.Millisecond

// Clock is the runtime's clock plus the time for which the machine was suspended. It is safe for concurrent use.
// The zero value is not usable; call New.
type Clock struct {
	boottime  func() (time.Duration, bool)
	monotonic func() (time.Duration, bool)
	offset    time.Duration // boot time minus monotonic time at New
	valid     bool
	suspended atomic.Int64
}

// New returns a clock that compares two kernel clocks: the boot time clock, which advances while the machine is suspended, and
// the monotonic clock, which the runtime uses. If either cannot be read, the clock equals the runtime's.
func New(boottime, monotonic func() (time.Duration, bool)) *Clock {
	ck := &Clock{boottime: boottime, monotonic: monotonic}
	ck.offset, ck.valid = ck.difference()
	return ck
}

// Now returns the current time, its monotonic reading advanced by all suspensions so far.
func (ck *Clock) Now() time.Time { return time.Now().Add(ck.Suspended()) }

// Since returns the time elapsed since a time returned by Now.
func (ck *Clock) Since(at time.Time) time.Duration { return ck.Now().Sub(at) }

// Suspended returns the total time for which the machine was suspended since New.
func (ck *Clock) Suspended() time.Duration {
	if !ck.valid {
		return 0
	}
	known := ck.suspended.Load()
	now, ok := ck.difference()
	if !ok || now-ck.offset < time.Duration(known)+minSuspension {
		return time.Duration(known)
	}
	for {
		if ck.suspended.CompareAndSwap(known, int64(now-ck.offset)) {
			return now - ck.offset
		}
		if known = ck.suspended.Load(); int64(now-ck.offset) <= known {
			return time.Duration(known)
		}
	}
}

// difference returns the boot time minus the monotonic time. The monotonic clock is read last, so that a pause between
// the readings makes the difference smaller and is never mistaken for a suspension.
func (ck *Clock) difference() (time.Duration, bool) {
	boottime, okb := ck.boottime()
	monotonic, okm := ck.monotonic()
	return boottime - monotonic, okb && okm
}

// system is the process-wide clock.
var system = New(kernelBoottime, kernelMonotonic)

// Now returns the current time of the process-wide clock.
func Now() time.Time { return system.Now() }

// Since returns the time elapsed since a time returned by Now of this package.
func Since(at time.Time) time.Duration { return system.Since(at) }
