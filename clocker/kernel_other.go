//go:build !linux

package clocker

import "time"

func kernelRunning() (time.Duration, bool) { return 0, false }
func kernelSteady() (time.Duration, bool)  { return 0, false }
