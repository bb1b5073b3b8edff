package emulator_test

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// As with TCP, closing a listener resets the connections that were not accepted.
func TestClosedListenerResetsUnacceptedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw := emulator.New()
		ln, err := nw.Host(far, "b").Listen(port)
		if err != nil {
			t.Fatal(err)
		}
		cn, err := nw.Host(near, "a").Dial(context.Background(), port)
		if err != nil {
			t.Fatal(err)
		}
		_ = ln.Close()
		_ = cn.SetReadDeadline(time.Now().Add(time.Second))
		if n, err := cn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read %d, %v; want a reset", n, err)
		}
	})
}
