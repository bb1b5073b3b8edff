package replicator

import "time"

// WithClock sets the clock that the group's goroutine reads.
func WithClock(now func() time.Time) GroupOption { return func(gp *Group) { gp.now = now } }
