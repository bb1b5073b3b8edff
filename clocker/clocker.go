// Package clocker tells the time by a clock that goes on while the machine is suspended.
//
// The runtime's clock stands still then. An age or a lease that is counted by it looks younger, after the machine
// has come back, than the rest of the fleet takes it to be.
package clocker

import (
	"sync/atomic"
	"time"
)

// jitter is the least difference between the two clocks that counts as a suspension.
// Smaller ones come from the time between their readings.
const jitter = 20 * time.Millisecond

// Clock adds to the runtime's clock the time for which the machine was suspended. It is safe for concurrent use.
// The zero value is not usable; call New.
type Clock struct {
	running  func() (time.Duration, bool)
	steady   func() (time.Duration, bool)
	offset   time.Duration // of the running clock ahead of the steady one, at the start
	valid    bool
	suspense atomic.Int64
}

// New returns a clock that compares two clocks of the kernel: one that goes on while the machine is suspended, and the
// steady one of the runtime. Where one of them can't be read the clock is the runtime's.
func New(running, steady func() (time.Duration, bool)) *Clock {
	ck := &Clock{running: running, steady: steady}
	ck.offset, ck.valid = ck.difference()
	return ck
}

// Now returns the time, with the steady reading of the runtime's clock moved on by all suspensions so far.
func (ck *Clock) Now() time.Time { return time.Now().Add(ck.Suspended()) }

// Since returns the time since a time that Now gave.
func (ck *Clock) Since(at time.Time) time.Duration { return ck.Now().Sub(at) }

// Suspended returns for how long the machine was suspended since New.
func (ck *Clock) Suspended() time.Duration {
	if !ck.valid {
		return 0
	}
	known := ck.suspense.Load()
	now, ok := ck.difference()
	if !ok || now-ck.offset < time.Duration(known)+jitter {
		return time.Duration(known)
	}
	for {
		if ck.suspense.CompareAndSwap(known, int64(now-ck.offset)) {
			return now - ck.offset
		}
		if known = ck.suspense.Load(); int64(now-ck.offset) <= known {
			return time.Duration(known)
		}
	}
}

// difference returns how far the running clock is ahead of the steady one. The steady one is read last, so that
// a pause between the readings makes the difference smaller and is never taken for a suspension.
func (ck *Clock) difference() (time.Duration, bool) {
	running, okr := ck.running()
	steady, oks := ck.steady()
	return running - steady, okr && oks
}

// system is the clock of this process.
var system = New(kernelRunning, kernelSteady)

// Now returns the time by the clock of this process.
func Now() time.Time { return system.Now() }

// Since returns the time since a time that Now gave.
func Since(at time.Time) time.Duration { return system.Since(at) }
