package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the seconds since the start of the case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	fl, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: fl, started: time.Now()}, nil
}

// note writes one line, to the standard output too.
func (rc *record) note(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(rc.started).Seconds(), fmt.Sprintf(format, args...))
	for _, wr := range []io.Writer{rc.file, os.Stdout} {
		// A record that can't be written shows nothing; there is nobody to tell.
		_, _ = io.WriteString(wr, line)
	}
}

func (rc *record) close() {
	// The case is over.
	_ = rc.file.Close()
}
