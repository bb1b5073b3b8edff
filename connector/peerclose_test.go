package connector_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// closeRounds is the number of repetitions, as the order of goroutines decides which connections the transport
// regards as in use when the pool is closed.
const closeRounds = 200

// A closed pool leaves no connection open, even right after a call was cancelled and if the other end
// never sends a byte.
func TestClosedPeerPoolLeavesNoConnection(t *testing.T) {
	for range closeRounds {
		synctest.Test(t, closeAfterCancelledCall)
	}
}

func closeAfterCancelledCall(t *testing.T) {
	nw := emulator.New()
	ln, err := nw.Host(serverAddr, "b").Listen(serverPort)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	pool := connector.NewPeerPool(connector.WithNetwork(nw.Host(clientAddr, "a")))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, pool.URL(serverPort), http.NoBody)
		if err != nil {
			t.Error(err)
			return
		}
		if rs, err := pool.RoundTrip(req); err == nil {
			_ = rs.Body.Close()
			t.Error("got a response although nobody serves")
		}
	}()
	time.Sleep(time.Millisecond)
	cancel()
	<-ended
	pool.Close()
}
