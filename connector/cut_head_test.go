package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

var _ = Describe("A response whose head breaks off", func() {
	for name, whole := range map[string]string{
		"of a known length": "HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 4\r\nX-More: b\r\n\r\n",
		"in chunks":         "HTTP/1.1 200 OK\r\nX-Name: a\r\nTransfer-Encoding: chunked\r\nX-More: b\r\n\r\n",
		"without a length":  "HTTP/1.1 200 OK\r\nX-Name: a\r\nX-More: b\r\n\r\n",
	} {
		It("is never a response, whichever byte is the last: "+name, bubble(func(g Gomega) {
			nw := emulator.New()
			ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
			g.Expect(err).NotTo(HaveOccurred())
			cut := 0
			go serveCutHeads(ln, whole, &cut)
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(nw.Host(clientAddr, "d")))
			for ; cut < len(whole); cut++ {
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				rsp, err := up.RoundTrip(newRequest("GET", false, "").WithContext(ctx))
				g.Expect(err).To(HaveOccurred(), "after %q got %v", whole[:cut], rsp)
				g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
				cancel()
			}
			_ = ln.Close()
			up.Stop()
		}))
	}
})

// serveCutHeads answers each request with the first bytes of a response and closes its connection.
func serveCutHeads(ln net.Listener, whole string, cut *int) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(cn))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(cn, whole[:*cut])
		}
		_ = cn.Close()
	}
}
