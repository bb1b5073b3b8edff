package forwarder_test

import (
	"bufio"
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
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

const notRunAnswer = "HTTP/1.1 503 Service Unavailable\r\n" + gypsumhoist.HeaderVerdict + ": not_run\r\nContent-Length: 0\r\n\r\n"

// refusalRepeater is an upstream that refuses the first request of a connection, and writes that refusal once more when the next
// request on the connection comes, which it runs. It refuses the first connection only.
type refusalRepeater struct{ runs atomic.Int32 }

func (rr *refusalRepeater) serve(ln net.Listener) {
	for count := 0; ; count++ {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go rr.serveConn(cn, count == 0)
	}
}

func (rr *refusalRepeater) serveConn(cn net.Conn, faulty bool) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer := notRunAnswer
		if !faulty || !first {
			rr.runs.Add(1)
		}
		if !faulty {
			answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		if _, err := io.WriteString(cn, answer); err != nil {
			return
		}
	}
}

var _ = Describe("a refusal that an upstream writes once more on a kept connection", func() {
	It("is not taken for that of the same request's next attempt there, if it must run at most once", withFleet(func(fl *fleet) {
		nd := fl.add("slips-1", nil)
		addr := netip.AddrPortFrom(nd.addr, 9001)
		ln, err := nd.host.Listen(addr)
		Expect(err).NotTo(HaveOccurred())
		rr := &refusalRepeater{}
		go rr.serve(ln)
		nd.pool = connector.NewUpstreamPool(addr, connector.WithNetwork(nd.host))
		fl.closers = append(fl.closers, func() { _ = ln.Close() }, nd.pool.Stop)
		fl.restart(nd)
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Retries: 2, RetryPercent: 100, Deadline: 5 * time.Second})
		key := fl.grant("kingston")
		rs, _, err := fl.call(nd, "POST", "/slips", "x", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(200))
		Expect(rr.runs.Load()).To(BeEquivalentTo(1))
	}))
})
