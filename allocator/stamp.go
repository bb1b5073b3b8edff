package allocator

import (
	"math/rand/v2"
	"time"
)

// Stamp is a time on the clock of the process that issued it, opaque to all others. Zero is no stamp.
type Stamp uint64

// stampClock issues stamps and recognises its own. The zero value is ready for use.
type stampClock struct {
	// base differs between processes, so that a stamp of an earlier process at the same address is not taken for an own one.
	base    uint64
	started time.Time
}

// issue returns the stamp of a time.
func (sc *stampClock) issue(now time.Time) Stamp {
	if sc.started.IsZero() {
		sc.base, sc.started = 1+rand.Uint64()>>1, now
	}
	return Stamp(sc.base + uint64(now.Sub(sc.started)))
}

// issuedAt returns when a stamp was issued, and false if that was not by this clock.
func (sc *stampClock) issuedAt(now time.Time, st Stamp) (time.Time, bool) {
	passed := uint64(st) - sc.base
	if sc.started.IsZero() || passed > uint64(max(now.Sub(sc.started), 0)) {
		return time.Time{}, false
	}
	return sc.started.Add(time.Duration(passed)), true
}
