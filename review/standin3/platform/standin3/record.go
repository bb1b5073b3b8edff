//go:build standin3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	fl, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: fl, start: time.Now()}, nil
}

// note writes one line with the time since the start.
func (rc *record) note(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	// A record that can't be written does not change the result of the case.
	_, _ = fmt.Fprintf(rc.file, "%9.3f s  %s\n", time.Since(rc.start).Seconds(), fmt.Sprintf(format, args...))
}

func (rc *record) close() { _ = rc.file.Close() }
