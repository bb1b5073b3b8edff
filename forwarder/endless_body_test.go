package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// endlessBody yields a kilobyte each millisecond and never ends.
type endlessBody struct{ sent atomic.Int64 }

func (eb *endlessBody) Read(data []byte) (int, error) {
	time.Sleep(time.Millisecond)
	part := copy(data, bytes.Repeat([]byte("a"), 1<<10))
	eb.sent.Add(int64(part))
	return part, nil
}

var _ = Describe("a caller's endless body", func() {
	It("is read until the request's deadline, and the next caller is served", withFleet(func(fl *fleet) {
		read := make(chan error, 1)
		node := fl.add("slips-1", func(wr http.ResponseWriter, req *http.Request) {
			_, err := io.Copy(io.Discard, req.Body)
			if err != nil {
				read <- err
			}
			wr.WriteHeader(http.StatusOK)
		})
		node.handlerReadsBody = true
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Importance: 50})
		key := fl.grant("kingston")
		eb := &endlessBody{}
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/slips", node.addr, portCallers), eb)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set(gypsumhoist.HeaderKey, key)
		req.Header.Set(gypsumhoist.HeaderDeadline, "2000")
		from := time.Now()
		rs, _, err := fl.do(req)
		Expect(time.Since(from)).To(BeNumerically("<=", 2100*time.Millisecond))
		if err == nil {
			Expect(rs.StatusCode).NotTo(Equal(http.StatusOK))
			Expect(rs.Header.Get(gypsumhoist.HeaderVerdict)).To(Equal(gypsumhoist.VerdictMayHaveRun.String()))
		}
		Eventually(read).WithTimeout(time.Second).Should(Receive())
		time.Sleep(time.Second)
		sent := eb.sent.Load()
		time.Sleep(time.Second)
		Expect(eb.sent.Load()).To(Equal(sent), "the body is still read")
		rs, _, err = fl.call(node, "POST", "/slips", "one", gypsumhoist.HeaderKey, key)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.StatusCode).To(Equal(http.StatusOK))
	}))
})

var _ = Describe("an upstream's endless answer", func() {
	It("is not kept by the nodes on its way to callers that don't read it", withFleet(func(fl *fleet) {
		const callers, keptMax = 10, 1 << 20 // bytes for each caller, buffers of connections included
		var sent atomic.Int64
		entry := fl.add("roster-1", respond("never"))
		fl.add("slips-1", func(wr http.ResponseWriter, _ *http.Request) {
			part := bytes.Repeat([]byte("a"), 16<<10)
			for {
				num, err := wr.Write(part)
				sent.Add(int64(num))
				if err != nil {
					return
				}
			}
		})
		fl.row(registrar.Row{Workspace: "kingston", Route: "/slips", Service: "slips", Deadline: 30 * time.Second})
		key := fl.grant("kingston")
		for range callers {
			cn, err := fl.transport.DialContext(context.Background(), "tcp", netip.AddrPortFrom(entry.addr, portCallers).String())
			Expect(err).NotTo(HaveOccurred())
			defer cn.Close()
			_, err = fmt.Fprintf(cn, "GET /slips HTTP/1.1\r\nHost: kingston\r\n%s: %s\r\n\r\n", gypsumhoist.HeaderKey, key)
			Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(5 * time.Second)
		Expect(sent.Load()).To(BeNumerically("<", callers*keptMax))
	}))
})
