package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (rc *record) note(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.file, "%7.3f %s\n", time.Since(rc.started).Seconds(), fmt.Sprintf(format, args...))
}
