package server

import "syscall"

// descriptorLimit returns how many file descriptors the process may open, or 0 if that is not known.
func descriptorLimit() int {
	var rl syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rl); err != nil || rl.Cur > maxDescriptors {
		return 0
	}
	return int(rl.Cur)
}
