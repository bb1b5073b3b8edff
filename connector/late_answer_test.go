package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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

const headerName = "X-Name"

// duplicatingUpstream is an upstream that names each response after its request, and sends the first one twice on the same connection.
type duplicatingUpstream struct {
	client *emulator.Host
	port   net.Listener
}

// newDuplicatingUpstream sends the second copy after a delay or, for zero, when the next request has come.
func newDuplicatingUpstream(g Gomega, delay time.Duration) *duplicatingUpstream {
	nw := emulator.New()
	du := &duplicatingUpstream{client: nw.Host(clientAddr, "d")}
	ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	du.port = ln
	go func() {
		for count := 0; ; count++ {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveDuplicating(cn, count == 0, delay)
		}
	}()
	return du
}

func serveDuplicating(cn net.Conn, repeats bool, delay time.Duration) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	first := ""
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		rsp := responseTo(req.Header.Get(headerName))
		if repeats && first != "" {
			rsp = first + rsp
		}
		if _, err := io.WriteString(cn, rsp); err != nil {
			return
		}
		if repeats && first == "" && delay > 0 {
			time.Sleep(delay)
			_, _ = io.WriteString(cn, rsp)
		}
		first = rsp
	}
}

func responseTo(name string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerName, name, len(name), name)
}

// checkName rejects a response to another request.
func checkName(req *http.Request, rsp *http.Response) error {
	if rsp.Header.Get(headerName) != req.Header.Get(headerName) {
		return errors.New("the response belongs to another request")
	}
	return nil
}

// call returns the body of the response to a named request.
func (du *duplicatingUpstream) call(rt http.RoundTripper, name string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req := newRequest("POST", true, "").WithContext(ctx)
	req.Header.Set(headerName, name)
	rsp, err := rt.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer rsp.Body.Close()
	text, err := io.ReadAll(rsp.Body)
	return string(text), err
}

var _ = Describe("A response that an upstream sends twice on a reused connection", func() {
	It("is not returned for the next request, which fails as one that may have run", bubble(func(g Gomega) {
		du := newDuplicatingUpstream(g, 0)
		defer du.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(du.client), connector.WithResponseCheck(checkName))
		up.Start()
		defer up.Stop()
		g.Expect(du.call(up, "one")).To(Equal("one"))
		_, err := du.call(up, "two")
		g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(du.call(up, "three")).To(Equal("three"))
		g.Expect(du.client.Dials()).To(BeEquivalentTo(2))
	}))

	It("fails no request if it arrives while the connection is idle", bubble(func(g Gomega) {
		du := newDuplicatingUpstream(g, 100*time.Millisecond)
		defer du.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(du.client), connector.WithResponseCheck(checkName))
		up.Start()
		defer up.Stop()
		g.Expect(du.call(up, "one")).To(Equal("one"))
		time.Sleep(time.Second)
		g.Expect(du.call(up, "two")).To(Equal("two"))
		g.Expect(du.call(up, "three")).To(Equal("three"))
	}))
})
