package connector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

// longWork is how long a request runs whose context does not end.
const longWork = 5 * time.Second

// runs records when requests began and ended.
type runs struct {
	mu    sync.Mutex
	began map[string]time.Time
	ended map[string]time.Time
}

func newRuns() *runs { return &runs{began: map[string]time.Time{}, ended: map[string]time.Time{}} }

// serve runs a request for longWork, or until its context ends. Requests whose context ends at once don't count.
func (rn *runs) serve(_ http.ResponseWriter, req *http.Request) {
	began := time.Now()
	time.Sleep(time.Millisecond)
	if req.Context().Err() != nil {
		return
	}
	rn.mu.Lock()
	rn.began[req.URL.Path] = began
	rn.mu.Unlock()
	select {
	case <-req.Context().Done():
	case <-time.After(longWork):
	}
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.ended[req.URL.Path] = time.Now()
}

// check reports requests that began after the client had left, or went on.
func (rn *runs) check(t *testing.T, left time.Time, want int) {
	t.Helper()
	rn.mu.Lock()
	defer rn.mu.Unlock()
	for path, at := range rn.began {
		if at.After(left) {
			t.Errorf("%s began %v after its client had left", path, at.Sub(left))
		}
		if end, ok := rn.ended[path]; !ok || end.Sub(left) > 100*time.Millisecond {
			t.Errorf("%s went on for %v after its client had left", path, end.Sub(left))
		}
	}
	if len(rn.began) < want {
		t.Errorf("%d requests began, want %d at least", len(rn.began), want)
	}
}

// Guards against requests that go on, or begin, because nobody reads a connection that its client has closed.
func TestClosedConnectionEndsItsRequests(t *testing.T) {
	post := "POST /post HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
	for name, tc := range map[string]struct {
		text string
		runs int // requests that begin before the client leaves
	}{
		"full pipeline":        {manyGets(60), 30},
		"body behind others":   {get("/a") + post + get("/b"), 1},
		"error waits its turn": {get("/a") + get("/b") + "NONSENSE\r\n\r\n", 2},
		"head too long waits":  {get("/a") + "GET /b HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X: y\r\n", 6000), 1},
		"body not read":        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 1},
		"requests behind a body": {
			"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + get("/b") + get("/c"), 1,
		},
		"unusual head first": {"GET /a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 17<<10) + "\r\n\r\n" + get("/b"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			rn := newRuns()
			withPipeline(t, rn.serve, func(_ *connector.Server, pc *pipeClient) {
				pc.send(tc.text)
				time.Sleep(200 * time.Millisecond)
				left := time.Now()
				_ = pc.conn.Close()
				time.Sleep(time.Minute)
				rn.check(t, left, tc.runs)
			})
		})
	}
}

// Guards against requests that wait one behind the other while a server stops, and run although their client has closed the connection.
func TestClosedConnectionEndsItsRequestsDuringDrain(t *testing.T) {
	rn := newRuns()
	withPipeline(t, rn.serve, func(sv *connector.Server, pc *pipeClient) {
		pc.send(get("/a"))
		time.Sleep(10 * time.Millisecond)
		sv.Drain()
		pc.send(manyGets(5))
		time.Sleep(200 * time.Millisecond)
		left := time.Now()
		_ = pc.conn.Close()
		time.Sleep(time.Minute)
		rn.check(t, left, 1)
	})
}

func manyGets(num int) string {
	var sb strings.Builder
	for at := range num {
		sb.WriteString(get(fmt.Sprintf("/get%02d", at)))
	}
	return sb.String()
}

// gateListener accepts connections that deliver nothing until a gate opens, as to a process that is paused.
type gateListener struct {
	net.Listener
	open <-chan struct{}
}

// Accept implements net.Listener.
func (gl *gateListener) Accept() (net.Conn, error) {
	cn, err := gl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gateConn{Conn: cn, open: gl.open}, nil
}

type gateConn struct {
	net.Conn
	open <-chan struct{}
}

// Read implements net.Conn.
func (gc *gateConn) Read(buf []byte) (int, error) {
	<-gc.open
	return gc.Conn.Read(buf)
}

// Guards against requests that begin because they are read, after a pause of the process, before the close that lies behind them.
func TestRequestsReadTogetherWithTheCloseDoNotRun(t *testing.T) {
	for _, num := range []int{1, 4, 12, 60} {
		synctest.Test(t, func(t *testing.T) {
			nw := emulator.New()
			ln, err := nw.Host(serverAddr, "b").Listen(serverPort)
			if err != nil {
				t.Fatal(err)
			}
			rn, open := newRuns(), make(chan struct{})
			sv := connector.NewServer(http.HandlerFunc(rn.serve), connector.WithPipelining())
			go func() { _ = sv.Serve(&gateListener{ln, open}) }()
			for range 10 {
				cn, err := nw.Host(clientAddr, "a").Dial(context.Background(), serverPort)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.WriteString(cn, manyGets(num)); err != nil {
					t.Fatal(err)
				}
				_ = cn.Close()
			}
			left := time.Now()
			time.Sleep(800 * time.Millisecond)
			close(open)
			time.Sleep(time.Minute)
			rn.check(t, left, 0)
			_ = sv.Close()
			time.Sleep(time.Minute)
		})
	}
}
