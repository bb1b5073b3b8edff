//go:build !linux

package server

// descriptorLimit returns 0, as the number of descriptors that the process may open is not known here.
func descriptorLimit() int { return 0 }
