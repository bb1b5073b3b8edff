package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
)

// dialCallers opens a connection to an instance's callers' port.
func (tf *testFleet) dialCallers(at int) net.Conn {
	cn, err := tf.fleet.Dial(context.Background(), tf.fleet.InstanceSpecs()[at].Settings.Listen.Callers)
	Expect(err).NotTo(HaveOccurred())
	return cn
}

// send sends a request that must run at most once, and returns its response, or nil if the connection ends without one.
func (tf *testFleet) send(cn net.Conn) *http.Response {
	defer cn.Close()
	_, err := fmt.Fprintf(cn, "POST /slips/1 HTTP/1.1\r\nHost: school\r\n%s: %s\r\nContent-Length: 3\r\n\r\nfee", gypsumhoist.HeaderKey, tf.key)
	Expect(err).NotTo(HaveOccurred())
	rs, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return nil
	}
	_, err = io.Copy(io.Discard, rs.Body)
	Expect(err).NotTo(HaveOccurred())
	return rs
}

// cutOff cuts an instance off from others, but not from callers.
func (tf *testFleet) cutOff(at int, others ...int) {
	address := func(ix int) []netip.Addr {
		return []netip.Addr{tf.fleet.InstanceSpecs()[ix].Settings.Listen.Peers.Addr()}
	}
	for _, ix := range others {
		tf.network.CutBoth(address(at), address(ix))
	}
}

// expectMayHaveRun checks that a request got an answer of its node, before the stop that began at the given time ended.
func expectMayHaveRun(rs *http.Response, status int, from time.Time) {
	ginkgo.GinkgoHelper()
	Expect(rs).NotTo(BeNil(), "the connection was closed without an answer")
	Expect(time.Since(from)).To(BeNumerically("<", stopTime))
	Expect(rs.StatusCode).To(Equal(status))
	Expect(rs.Header.Get(gypsumhoist.HeaderVerdict)).To(Equal(gypsumhoist.VerdictMayHaveRun.String()))
}

const (
	// stopTime is how long a stop waits for requests at most in these specs.
	stopTime = 6 * time.Second
	// killMargin is the time from then until the process would be killed.
	killMargin = 250 * time.Millisecond
)

var _ = ginkgo.Describe("a planned stop that ends before requests do", func() {
	slowDown := func(tf *testFleet) {
		for _, name := range tf.fleet.Names() {
			tf.fleet.Process(name).Upstream.SetSlowdown(1600) // some 8 s a request
		}
	}
	stop := func(tf *testFleet) <-chan error {
		slowDown(tf)
		stopped := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), stopTime)
			defer cancel()
			stopped <- tf.fleet.Stop(ctx, tf.fleet.Names()[0])
		}()
		return stopped
	}

	ginkgo.It("answers the requests in flight", inFleet(func(tf *testFleet) {
		from, stopped := time.Now(), stop(tf)
		time.Sleep(2 * time.Second)
		rs := tf.send(tf.dialCallers(0))
		expectMayHaveRun(rs, http.StatusGatewayTimeout, from)
		Expect(<-stopped).To(Succeed())
	}))

	ginkgo.It("answers the requests in flight at its upstream for other instances", inFleet(func(tf *testFleet) {
		tf.fleet.Process(tf.fleet.Names()[1]).Upstream.Stop()
		tf.fleet.Process(tf.fleet.Names()[2]).Upstream.Stop()
		time.Sleep(10 * time.Second)
		from, stopped := time.Now(), stop(tf)
		time.Sleep(time.Second / 2)
		rs := tf.send(tf.dialCallers(1))
		expectMayHaveRun(rs, http.StatusServiceUnavailable, from)
		Expect(<-stopped).To(Succeed())
	}))

	ginkgo.It("ends in time and answers the requests in flight where its announcement reaches no one", inFleet(func(tf *testFleet) {
		slowDown(tf)
		answered := make(chan *http.Response, 1)
		go func() { answered <- tf.send(tf.dialCallers(0)) }()
		time.Sleep(100 * time.Millisecond)
		tf.cutOff(0, 1, 2, 3)
		from, stopped := time.Now(), stop(tf)
		expectMayHaveRun(<-answered, http.StatusGatewayTimeout, from)
		Expect(<-stopped).To(Succeed())
		Expect(time.Since(from)).To(BeNumerically("<", stopTime+killMargin))
	}))

	ginkgo.It("opens no port for callers where the instance had no table until then", inFleet(func(tf *testFleet) {
		name := tf.fleet.Names()[3]
		tf.fleet.Kill(name)
		tf.cutOff(3, 0, 1, 2)
		Expect(tf.fleet.StartInstance(name)).To(Succeed())
		time.Sleep(4 * time.Second)
		stopped := make(chan error, 1)
		go func() { stopped <- tf.fleet.Stop(context.Background(), name) }()
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			_, err := tf.fleet.Dial(context.Background(), tf.fleet.InstanceSpecs()[3].Settings.Listen.Callers)
			Expect(err).To(HaveOccurred())
		}
		Expect(<-stopped).To(Succeed())
	}))

	ginkgo.It("passes on no request that comes after its grace", inFleet(func(tf *testFleet) {
		stopped := stop(tf)
		time.Sleep(2900 * time.Millisecond)
		cn := tf.dialCallers(0)
		time.Sleep(1500 * time.Millisecond)
		from := time.Now()
		tf.send(cn)
		Expect(time.Since(from)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(<-stopped).To(Succeed())
		time.Sleep(10 * time.Second)
		Expect(tf.ran).To(BeEmpty())
	}))
})
