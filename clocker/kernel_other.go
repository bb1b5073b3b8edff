//go:build !linux

package clocker

import "time"

func kernelBoottime() (time.Duration, bool)  { return 0, false }
func kernelMonotonic() (time.Duration, bool) { return 0, false }
