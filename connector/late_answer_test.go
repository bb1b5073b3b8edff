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

// twice is an upstream that names each answer after its request, and sends the first one again on the same connection.
type twice struct {
	client *emulator.Host
	port   net.Listener
}

// newTwice sends the second copy after a time, or, for zero, as soon as the next request has come.
func newTwice(g Gomega, later time.Duration) *twice {
	nw := emulator.New()
	tw := &twice{client: nw.Host(clientAddr, "d")}
	ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	tw.port = ln
	go func() {
		for count := 0; ; count++ {
			cn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveTwice(cn, count == 0, later)
		}
	}()
	return tw
}

func serveTwice(cn net.Conn, repeats bool, later time.Duration) {
	defer cn.Close()
	rd := bufio.NewReader(cn)
	first := ""
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		own := answerTo(req.Header.Get(headerName))
		if repeats && first != "" {
			own = first + own
		}
		if _, err := io.WriteString(cn, own); err != nil {
			return
		}
		if repeats && first == "" && later > 0 {
			time.Sleep(later)
			_, _ = io.WriteString(cn, own)
		}
		first = own
	}
}

func answerTo(name string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", headerName, name, len(name), name)
}

// own refuses an answer to another request.
func own(req *http.Request, rsp *http.Response) error {
	if rsp.Header.Get(headerName) != req.Header.Get(headerName) {
		return errors.New("the answer is to another request")
	}
	return nil
}

// ask returns the body of the answer to a named request.
func (tw *twice) ask(rt http.RoundTripper, name string) (string, error) {
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

var _ = Describe("An answer that an upstream sends twice on a reused connection", func() {
	It("is not given to the next caller, who is told that the request may have run", bubble(func(g Gomega) {
		tw := newTwice(g, 0)
		defer tw.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(tw.client), connector.WithAnswerCheck(own))
		up.Start()
		defer up.Stop()
		g.Expect(tw.ask(up, "one")).To(Equal("one"))
		_, err := tw.ask(up, "two")
		g.Expect(connector.VerdictOf(err)).To(Equal(gypsumhoist.VerdictMayHaveRun))
		g.Expect(tw.ask(up, "three")).To(Equal("three"))
		g.Expect(tw.client.Dials()).To(BeEquivalentTo(2))
	}))

	It("costs nobody anything where it comes while the connection is idle", bubble(func(g Gomega) {
		tw := newTwice(g, 100*time.Millisecond)
		defer tw.port.Close()
		up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(tw.client), connector.WithAnswerCheck(own))
		up.Start()
		defer up.Stop()
		g.Expect(tw.ask(up, "one")).To(Equal("one"))
		time.Sleep(time.Second)
		g.Expect(tw.ask(up, "two")).To(Equal("two"))
		g.Expect(tw.ask(up, "three")).To(Equal("three"))
	}))
})
