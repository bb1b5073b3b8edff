package drainer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/drainer"
)

// grace is how long the instances of these specs go on answering after they announced that they leave.
const grace = 3 * time.Second

var address = netip.MustParseAddrPort("10.0.0.1:7400")

// instance is a server that drains, and a client on the same network, 1 ms away.
type instance struct {
	drainer *drainer.Drainer
	server  *connector.Server
	client  *emulator.Host
	stopped chan error
	began   time.Time
}

// inBubble runs a spec in virtual time with an instance whose handler answers after the duration given in the query.
func inBubble(spec func(is *instance), opts ...drainer.Option) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer GinkgoRecover()
			nw := emulator.New()
			nw.SetDelay("near", "far", time.Millisecond)
			is := &instance{drainer: drainer.New(opts...), client: nw.Host(netip.MustParseAddr("10.0.0.2"), "far"), stopped: make(chan error, 1)}
			is.server = connector.NewServer(is.drainer.Count(http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
				wait, _ := time.ParseDuration(req.URL.RawQuery)
				time.Sleep(wait)
				_, _ = io.WriteString(wr, "whole")
			})))
			ln, err := nw.Host(address.Addr(), "near").Listen(address)
			Expect(err).NotTo(HaveOccurred())
			go func() { _ = is.server.Serve(ln) }()
			defer func() { _ = is.server.Close() }()
			spec(is)
		})
	}
}

// drain begins a planned stop.
func (is *instance) drain(longest time.Duration) {
	is.began = time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), longest)
		defer cancel()
		is.stopped <- is.drainer.Drain(ctx, grace, is.server)
	}()
	synctest.Wait()
}

// newClient returns a client that keeps its connection open, over HTTP/1.1 or HTTP/2.
func (is *instance) newClient(version2 bool) *http.Client {
	var protos http.Protocols
	protos.SetHTTP1(!version2)
	protos.SetUnencryptedHTTP2(version2)
	return &http.Client{Transport: &http.Transport{Protocols: &protos, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return is.client.Dial(ctx, address)
	}}}
}

// call sends a request that is answered after latency, and returns the body of the response.
func call(cl *http.Client, latency time.Duration) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/?"+latency.String(), nil)
	if err != nil {
		return "", err
	}
	rs, err := cl.Do(req)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(rs.Body)
	return string(body), err
}

func expectComplete(cl *http.Client, latency time.Duration) {
	GinkgoHelper()
	body, err := call(cl, latency)
	Expect(err).NotTo(HaveOccurred())
	Expect(body).To(Equal("whole"))
}

var _ = Describe("a planned stop", func() {
	for _, version2 := range []bool{false, true} {
		name := map[bool]string{false: "HTTP/1.1", true: "HTTP/2"}[version2]
		It("answers a request on a connection that was idle when the stop began, "+name, inBubble(func(is *instance) {
			cl := is.newClient(version2)
			defer cl.CloseIdleConnections()
			expectComplete(cl, 0)
			is.drain(time.Minute)
			time.Sleep(grace - time.Second)
			expectComplete(cl, 0)
			Expect(is.client.Dials()).To(BeEquivalentTo(1))
			// That response has asked the client to open a new connection.
			time.Sleep(100 * time.Millisecond)
			expectComplete(cl, 0)
			Expect(is.client.Dials()).To(BeEquivalentTo(2))
			Expect(<-is.stopped).To(Succeed())
		}))
		It("waits for a request in flight beyond the grace period, "+name, inBubble(func(is *instance) {
			cl := is.newClient(version2)
			defer cl.CloseIdleConnections()
			done := make(chan string, 1)
			go func() {
				body, _ := call(cl, 20*time.Second)
				done <- body
			}()
			time.Sleep(time.Second)
			is.drain(time.Minute)
			Expect(is.drainer.Leaving()).To(BeTrue())
			Expect(is.drainer.InFlight()).To(Equal(1))
			Expect(<-is.stopped).To(Succeed())
			Expect(time.Since(is.began)).To(BeNumerically(">=", 19*time.Second))
			Expect(<-done).To(Equal("whole"))
		}))
		It("accepts no new connection after the grace period, "+name, inBubble(func(is *instance) {
			is.drain(time.Minute)
			Expect(<-is.stopped).To(Succeed())
			Expect(time.Since(is.began)).To(BeNumerically("~", grace, 100*time.Millisecond))
			_, err := call(is.newClient(version2), 0)
			Expect(err).To(HaveOccurred())
		}))
	}
	It("ends when its context does and reports that it cut a request off", inBubble(func(is *instance) {
		go func() { _, _ = call(is.newClient(false), time.Minute) }()
		time.Sleep(time.Second)
		is.drain(10 * time.Second)
		Expect(<-is.stopped).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(is.began)).To(BeNumerically("~", 10*time.Second, time.Second))
		time.Sleep(time.Minute)
	}))
	unheard := drainer.WithLeave(func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	It("accepts no new connection after the grace period where its announcement reaches no one", inBubble(func(is *instance) {
		is.drain(10 * time.Second)
		time.Sleep(grace + 100*time.Millisecond)
		_, err := call(is.newClient(false), 0)
		Expect(err).To(HaveOccurred())
		Expect(<-is.stopped).To(Succeed())
		Expect(time.Since(is.began)).To(BeNumerically("~", grace, 200*time.Millisecond))
	}, unheard))
	It("hands its duties over after the grace period where its announcement reaches no one", inBubble(func(is *instance) {
		is.drain(10 * time.Second)
		Expect(<-is.stopped).To(Succeed())
		Expect(time.Since(is.began)).To(BeNumerically("~", grace+time.Second, time.Millisecond))
	}, unheard, drainer.WithHandover(func(ctx context.Context) error {
		time.Sleep(time.Second)
		return ctx.Err()
	})))
	aborted := make(chan time.Time, 1)
	It("aborts the requests in flight before its end where its announcement reaches no one", inBubble(func(is *instance) {
		go func() { _, _ = call(is.newClient(false), time.Minute) }()
		time.Sleep(time.Second)
		is.drain(10 * time.Second)
		Expect(<-is.stopped).To(MatchError(context.DeadlineExceeded))
		Expect((<-aborted).Sub(is.began)).To(BeNumerically("~", 9750*time.Millisecond, time.Millisecond))
		time.Sleep(time.Minute)
	}, unheard, drainer.WithAbort(func() { aborted <- time.Now() })))
	It("asks clients to go elsewhere, announces the stop to the fleet, and shuts its ports down in order", inBubble(func(*instance) {
		var steps []string
		dr := drainer.New(drainer.WithLeave(func(context.Context) error {
			steps = append(steps, "leave")
			return nil
		}))
		Expect(dr.Drain(context.Background(), grace, port{"callers", &steps}, port{"upstream", &steps})).To(Succeed())
		Expect(steps).To(Equal([]string{"drain callers", "drain upstream", "leave", "callers", "upstream"}))
	}))
})

// port records when it is drained and shut down.
type port struct {
	name  string
	steps *[]string
}

func (pt port) Drain() { *pt.steps = append(*pt.steps, "drain "+pt.name) }

func (pt port) Shutdown(context.Context) error {
	*pt.steps = append(*pt.steps, pt.name)
	return nil
}
