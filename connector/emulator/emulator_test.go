package emulator_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

var (
	near = netip.MustParseAddr("10.0.0.1")
	far  = netip.MustParseAddr("10.0.0.2")
	port = netip.AddrPortFrom(far, 80)
)

// newPair returns a network and both ends of a connection with a one-way delay of 3 ms.
func newPair(t *testing.T) (nw *emulator.Network, here, there net.Conn) {
	nw = emulator.New()
	nw.SetDelay("a", "b", 3*time.Millisecond)
	ln, err := nw.Host(far, "b").Listen(port)
	if err != nil {
		t.Fatal(err)
	}
	from := time.Now()
	here, err = nw.Host(near, "a").Dial(context.Background(), port)
	if err != nil || time.Since(from) != 6*time.Millisecond {
		t.Fatalf("dial gave %v after %v", err, time.Since(from))
	}
	there, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return nw, here, there
}

// wantRead reads the given text from a connection and returns how long that took.
func wantRead(t *testing.T, cn net.Conn, text string) time.Duration {
	t.Helper()
	from := time.Now()
	buf := make([]byte, len(text))
	if _, err := io.ReadFull(cn, buf); err != nil || string(buf) != text {
		t.Fatalf("read %q, %v; want %q", buf, err, text)
	}
	return time.Since(from)
}

// wantSilence reads for a second and fails if a byte or an error other than the deadline arrives.
func wantSilence(t *testing.T, cn net.Conn) {
	t.Helper()
	_ = cn.SetReadDeadline(time.Now().Add(time.Second))
	if n, err := cn.Read(make([]byte, 1)); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read %d, %v; want silence", n, err)
	}
	_ = cn.SetReadDeadline(time.Time{})
}

func TestDelayAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, here, there := newPair(t)
		_, _ = here.Write([]byte("roster"))
		if took := wantRead(t, there, "roster"); took != 3*time.Millisecond {
			t.Fatalf("took %v", took)
		}
		_ = here.Close()
		if _, err := there.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("got %v", err)
		}
	})
}

func TestCutHoldsBytesAndDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, here, there := newPair(t)
		nw.Cut([]netip.Addr{near}, []netip.Addr{far})
		_, _ = here.Write([]byte("held"))
		_, _ = there.Write([]byte("passes"))
		wantRead(t, here, "passes")
		wantSilence(t, there)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := nw.Host(near, "a").Dial(ctx, port); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("dial gave %v", err)
		}
		nw.Heal([]netip.Addr{near}, []netip.Addr{far})
		wantRead(t, there, "held")
	})
}

func TestFreezeSparesNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, here, there := newPair(t)
		nw.Freeze([]netip.Addr{near}, []netip.Addr{far})
		_, _ = here.Write([]byte("lost"))
		wantSilence(t, there)
		if _, err := nw.Host(near, "a").Dial(context.Background(), port); err != nil {
			t.Fatal(err)
		}
	})
}

func TestCrashResetsAndRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nw, here, _ := newPair(t)
		nw.Crash(far)
		if _, err := here.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read gave %v", err)
		}
		if _, err := nw.Host(near, "a").Dial(context.Background(), port); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("dial gave %v", err)
		}
	})
}
