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

// closeRounds is how often a pool is closed right after a call of it was given up, as it depends on
// the order of goroutines what the transport still holds to be in use.
const closeRounds = 200

// A pool that is closed leaves no connection behind, also right after its calls were given up and though the other
// end never says a word.
func TestClosedPeerPoolLeavesNothing(t *testing.T) {
	for range closeRounds {
		synctest.Test(t, leaveCall)
	}
}

func leaveCall(t *testing.T) {
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
			t.Error("an answer came from nobody")
		}
	}()
	time.Sleep(time.Millisecond)
	cancel()
	<-ended
	pool.Close()
}
