package connector_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

func ExampleVerdictOf() {
	err := fmt.Errorf("call: %w", &connector.Failure{Verdict: gypsumhoist.VerdictNotRun, Err: errors.New("refused")})
	fmt.Println(connector.VerdictOf(err))
	fmt.Println(connector.VerdictOf(errors.New("broken pipe")))
	// Output:
	// not_run
	// may_have_run
}

// pools returns one pool of each kind that dials from the client's address.
func pools(nw *emulator.Network, opts ...connector.Option) map[string]http.RoundTripper {
	opts = append(opts, connector.WithNetwork(nw.Host(clientAddr, "d")))
	return map[string]http.RoundTripper{
		"upstream": connector.NewUpstreamPool(serverPort, opts...),
		"peer":     connector.NewPeerPool(opts...),
	}
}

// brokenWrites is a network whose connections fail all writes after a number of them.
type brokenWrites struct {
	connector.Network
	after int64
}

type brokenConn struct {
	net.Conn
	writesLeft atomic.Int64
}

func (bw *brokenWrites) Dial(ctx context.Context, ap netip.AddrPort) (net.Conn, error) {
	cn, err := bw.Network.Dial(ctx, ap)
	if err != nil {
		return nil, err
	}
	bc := &brokenConn{Conn: cn}
	bc.writesLeft.Store(bw.after)
	return bc, nil
}

func (bc *brokenConn) Write(buf []byte) (int, error) {
	if bc.writesLeft.Add(-1) < 0 {
		return 0, io.ErrClosedPipe
	}
	return bc.Conn.Write(buf)
}

var _ = Describe("A Failure", func() {
	It("says not run when the dial is refused", bubble(func(g Gomega) {
		for kind, rt := range pools(emulator.New()) {
			_, err := rt.RoundTrip(newRequest("POST", true, ""))
			g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictNotRun), kind)
		}
	}))

	It("says not run and names the deadline if it expires while dialling", bubble(func(g Gomega) {
		nw := emulator.New()
		nw.Cut([]netip.Addr{clientAddr}, []netip.Addr{serverAddr})
		for kind, rt := range pools(nw) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := rt.RoundTrip(newRequest("POST", true, "").WithContext(ctx))
			cancel()
			var fl *connector.Failure
			g.Expect(errors.As(err, &fl)).To(BeTrue(), kind)
			g.Expect(fl.Verdict).To(Equal(gypsumhoist.VerdictNotRun), kind)
			g.Expect(fl.Reason).To(Equal(gypsumhoist.ReasonDeadline), kind)
		}
	}))

	It("says may have run when the response does not come in time", bubble(func(g Gomega) {
		nw := emulator.New()
		sv := connector.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
			// An HTTP/1.1 server notices that the client has disconnected only once the body is read.
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		}))
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		go func() { _ = sv.Serve(ln) }()
		for kind, rt := range pools(nw) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := rt.RoundTrip(newRequest("POST", true, "").WithContext(ctx))
			cancel()
			g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun), kind)
		}
		g.Expect(sv.Close()).To(Succeed())
	}))

	It("says may have run once a write has begun, even if it fails", bubble(func(g Gomega) {
		nw := emulator.New()
		host := nw.Host(serverAddr, "d")
		ln, err := host.Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		sv := connector.NewServer(http.NotFoundHandler())
		go func() { _ = sv.Serve(ln) }()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(&brokenWrites{Network: nw.Host(clientAddr, "d")}))
		_, err = up.RoundTrip(newRequest("POST", true, ""))
		// Once a write has begun, nobody can tell how many bytes were sent.
		g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(sv.Close()).To(Succeed())
	}))

	It("says not run when all connections are busy until the deadline", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		var running, most atomic.Int64
		sv := connector.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) {
			most.Store(max(most.Load(), running.Add(1)))
			time.Sleep(5 * time.Second)
			running.Add(-1)
		}))
		go func() { _ = sv.Serve(ln) }()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")), connector.WithMaxConns(2))
		results := make(chan error, 5)
		send := func(bound time.Duration) {
			ctx, cancel := context.WithTimeout(context.Background(), bound)
			defer cancel()
			_, err := up.RoundTrip(newRequest("POST", true, "").WithContext(ctx))
			results <- err
		}
		for range 2 {
			go send(3 * time.Second)
		}
		time.Sleep(time.Millisecond)
		// These time out while both connections are still busy.
		for range 3 {
			go send(2 * time.Second)
		}
		verdicts := map[gypsumhoist.Verdict]int{}
		for range 5 {
			verdicts[connector.VerdictOf(<-results)]++
		}
		g.Expect(verdicts).To(Equal(map[gypsumhoist.Verdict]int{gypsumhoist.VerdictMayHaveRun: 2, gypsumhoist.VerdictNotRun: 3}))
		g.Expect(most.Load()).To(BeEquivalentTo(2))
		g.Expect(sv.Close()).To(Succeed())
		time.Sleep(10 * time.Second)
		up.Stop()
	}))
})
