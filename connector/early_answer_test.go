package connector_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A response that begins before the whole request body was received", func() {
	const body = 4 << 10
	handler := func(wr http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/read") {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(wr, req.URL.Path)
	}
	for name, head := range map[string]string{
		"of a known length":    fmt.Sprintf("POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", body),
		"of an unknown length": "POST /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1000\r\n",
	} {
		It("is not delayed until a body "+name+" has come; the connection is closed after it", bubble(func(g Gomega) {
			ts := newTestServerWith(g, handler)
			defer ts.server.Close()
			cn := ts.dial(g)
			defer cn.Close()
			rd := bufio.NewReader(cn)
			_, _ = io.WriteString(cn, head+strings.Repeat("a", 100))
			from := time.Now()
			rsp, err := http.ReadResponse(rd, nil)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := io.ReadAll(rsp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(got)).To(Equal("/first"))
			g.Expect(time.Since(from)).To(BeNumerically("<=", 10*time.Millisecond))
			g.Expect(rsp.Close).To(BeTrue())
		}))
	}

	It("leaves the connection open if the whole body was read before", bubble(func(g Gomega) {
		ts := newTestServerWith(g, handler)
		defer ts.server.Close()
		cn := ts.dial(g)
		defer cn.Close()
		rd := bufio.NewReader(cn)
		for _, head := range []string{"Content-Length: 3\r\n\r\none", "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n", "Content-Length: 0\r\n\r\n"} {
			_, _ = io.WriteString(cn, "POST /read HTTP/1.1\r\nHost: a\r\n"+head)
			rsp, err := http.ReadResponse(rd, nil)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, rsp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(rsp.Close).To(BeFalse())
		}
	}))
})
