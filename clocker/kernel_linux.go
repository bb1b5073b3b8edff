package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

func kernelBoottime() (time.Duration, bool)  { return read(unix.CLOCK_BOOTTIME) }
func kernelMonotonic() (time.Duration, bool) { return read(unix.CLOCK_MONOTONIC) }

func read(clock int32) (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
