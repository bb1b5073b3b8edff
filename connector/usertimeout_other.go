//go:build !linux

package connector

import "time"

// setUserTimeout does nothing where the system has no TCP_USER_TIMEOUT; keep-alive probes remain.
func setUserTimeout(uintptr, time.Duration) error { return nil }
