package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// slowWriter takes a second for each write.
type slowWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (sw *slowWriter) Write(data []byte) (int, error) {
	time.Sleep(time.Second)
	sw.mu.Lock()
	defer sw.mu.Unlock()
	return sw.buf.Write(data)
}

func TestQueueNeverBlocksAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sw := &slowWriter{}
		qu := logger.NewQueue(sw)
		began := time.Now()
		line := []byte(strings.Repeat("x", 1023) + "\n")
		for range 5000 {
			if _, err := qu.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(began); took != 0 {
			t.Errorf("writing took %s", took)
		}
		qu.Stop()
		if !strings.Contains(sw.buf.String(), "name=log_lines_dropped count=") {
			t.Error("the number of dropped lines was not logged")
		}
		if sw.buf.Len() > 3<<20 {
			t.Errorf("%d bytes were buffered", sw.buf.Len())
		}
	})
}

func TestQueueWritesBufferedLinesOnStop(t *testing.T) {
	var buf bytes.Buffer
	qu := logger.NewQueue(&buf)
	_, _ = qu.Write([]byte("last words\n"))
	qu.Stop()
	if buf.String() != "last words\n" {
		t.Errorf("wrote %q", buf.String())
	}
}
