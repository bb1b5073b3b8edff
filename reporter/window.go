package reporter

import "time"

// Window is a span of time up to now over which a burn rate is computed.
type Window uint8

// Windows.
const (
	Window5m Window = iota
	Window30m
	Window1h
	Window6h
	Window3d
	// WindowCount is the number of windows.
	WindowCount
)

// resolution selects a ring of a row by the width of its steps.
type resolution uint8

const (
	resolutionMinute resolution = iota
	resolutionTenMinutes
	resolutionHour
	resolutionCount
)

// resolutions are the widths of each ring's steps, and the numbers of steps kept: those of the longest window read from the ring,
// and the step in progress.
var resolutions = [resolutionCount]struct {
	width time.Duration
	steps int64
}{
	resolutionMinute:     {time.Minute, 61},
	resolutionTenMinutes: {10 * time.Minute, 37},
	resolutionHour:       {time.Hour, 73},
}

// windows are the names and lengths of the windows, and the rings that they are read from.
var windows = [WindowCount]struct {
	name   string
	length time.Duration
	from   resolution
}{
	Window5m:  {"5m", 5 * time.Minute, resolutionMinute},
	Window30m: {"30m", 30 * time.Minute, resolutionMinute},
	Window1h:  {"1h", time.Hour, resolutionMinute},
	Window6h:  {"6h", 6 * time.Hour, resolutionTenMinutes},
	Window3d:  {"3d", 72 * time.Hour, resolutionHour},
}

// String returns the length of the window: 5m, 30m, 1h, 6h or 3d.
func (wn Window) String() string {
	if wn >= WindowCount {
		return "unknown"
	}
	return windows[wn].name
}

// Length returns the nominal length of the window. Its counts cover this time and up to one step more.
func (wn Window) Length() time.Duration { return windows[wn].length }
