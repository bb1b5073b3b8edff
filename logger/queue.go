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
	queueMaxBytes      = 1 << 20                // of lines that wait to be written
	queueFlushInterval = 100 * time.Millisecond // between writes; a process that is killed loses up to this much of its log
)

var eventDropped = Define(1051, LevelWarn, "log_lines_dropped",
	"Log lines arrived faster than they could be written; count lines were dropped.")

// Queue is a writer that never blocks: it buffers lines in memory, up to a bound, and a goroutine writes them.
// Lines that don't fit are dropped, and their number is logged. It is safe for concurrent use.
// The zero value is not usable; call NewQueue.
type Queue struct {
	tmb     tomb.Tomb
	out     io.Writer
	ready   chan struct{}
	dropped atomic.Int64

	mu      sync.Mutex
	waiting bytes.Buffer
}

// NewQueue returns a started queue that writes to out. Call Stop to end it.
func NewQueue(out io.Writer) *Queue {
	qu := &Queue{out: out, ready: make(chan struct{}, 1)}
	qu.tmb.Go(qu.run)
	return qu
}

// Write implements io.Writer. It buffers the whole line or drops it, and never returns an error.
func (qu *Queue) Write(line []byte) (int, error) {
	qu.mu.Lock()
	fits := qu.waiting.Len()+len(line) <= queueMaxBytes
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

// Stop writes the buffered lines and ends the queue.
func (qu *Queue) Stop() {
	qu.tmb.Kill(nil)
	// run returns no error.
	_ = qu.tmb.Wait()
}

// run writes the buffered lines in batches.
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
		case <-time.After(queueFlushInterval):
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
		// There is nowhere to report a failed write of log lines.
		_, _ = qu.out.Write(lines)
	}
}
