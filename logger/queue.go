package logger

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"
)

// Bounds of a Queue.
const (
	queueBytes = 1 << 20                // that wait to be written
	queuePause = 100 * time.Millisecond // between two writes; a process that is killed loses as much
)

var eventDropped = Define(1051, LevelWarn, "log_lines_dropped",
	"Log lines came faster than they could be written; so many were left out.")

// Queue is a writer that never blocks: lines wait in memory, up to a bound, and are written by its own goroutine.
// What does not fit is dropped and counted in a line of its own. It is safe for concurrent use.
// The zero value is not usable; call NewQueue.
type Queue struct {
	tmb     tomb.Tomb
	out     io.Writer
	ready   chan struct{}
	dropped atomic.Int64

	mu      sync.Mutex
	waiting bytes.Buffer
}

// NewQueue returns a queue in front of a writer, and starts it. Stop ends it.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{out: out, ready: make(chan struct{}, 1)}
	qu.tmb.Go(qu.run)
	return qu
}

// Write implements io.Writer. It takes a whole line or drops it, and never returns an error.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.mu.Lock()
	fits := qu.waiting.Len()+len(line) <= queueBytes
	if fits {
		qu.waiting.Write(line)
	}
	qu.mu.Unlock()
	if !fits {
		qu.dropped.Add(1)
	}
	select {
	case qu.ready <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Stop writes what waits and ends the queue.
func (qu *Queue) Stop() {
	qu.tmb.Kill(nil)
	// A writer that fails has nowhere to say so.
	_ = qu.tmb.Wait()
}

// run writes what waits, many lines at a time.
func (qu *Queue) run() error {
	for {
		select {
		case <-qu.tmb.Dying():
			qu.flush()
			return nil
		case <-qu.ready:
		}
		qu.flush()
		select {
		case <-qu.tmb.Dying():
		case <-time.After(queuePause):
		}
	}
}

func (qu *Queue) flush() {
	qu.mu.Lock()
	lines := slices.Clone(qu.waiting.Bytes())
	qu.waiting.Reset()
	qu.mu.Unlock()
	if count := qu.dropped.Swap(0); count > 0 {
		lines = fmt.Appendf(lines, "event=%d level=%s name=%s count=%d\n", eventDropped.Number, eventDropped.Level, eventDropped.Name, count)
	}
	if len(lines) > 0 {
		// A log line that can't be written has no better place to go.
		_, _ = qu.out.Write(lines)
	}
}
