package crowd_test

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/emulator"
)

// Guards against requests that a process sends on after a pause, although their clients have closed their connections meanwhile.
func TestRequestsOfClosedConnectionsDoNotRunAfterPause(t *testing.T) {
	const clients, pause = 24, 800 * time.Millisecond
	for _, pipelined := range []int{1, 8, 40} {
		var runs atomic.Int64
		ps := launch(t, settings{})
		ps.startUpstream(emulator.WithServiceTime(200*time.Millisecond, 0), emulator.WithObserver(func(checker.Run) { runs.Add(1) }))
		ps.prepareTable(ampleRate, ampleRate)
		ps.mustServe()
		runs.Store(0)
		if err := ps.command.Process.Signal(syscall.SIGSTOP); err != nil {
			t.Fatal(err)
		}
		for range clients {
			cn, err := net.Dial("tcp", ps.callers.String())
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(cn, strings.Repeat(ps.requestFor(10), pipelined)); err != nil {
				t.Fatal(err)
			}
			if err := cn.Close(); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(pause)
		if err := ps.command.Process.Signal(syscall.SIGCONT); err != nil {
			t.Fatal(err)
		}
		time.Sleep(holdTime)
		t.Logf("%d of %d requests ran, %d on each connection", runs.Load(), clients*pipelined, pipelined)
		// A few may be sent in the moment before the close behind them is read.
		if runs.Load() > 3 {
			t.Errorf("%d requests ran %v after their clients had left", runs.Load(), pause)
		}
	}
}
