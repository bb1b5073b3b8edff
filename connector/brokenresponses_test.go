package connector_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

// reports are the log lines and counters of a pool.
type reports struct {
	lines bytes.Buffer
	set   *metrics.Set
}

func (rp *reports) options() []connector.Option {
	rp.set = metrics.NewSet()
	return []connector.Option{connector.WithLogger(logger.New(&rp.lines, "instance", "a")), connector.WithMetrics(rp.set)}
}

func (rp *reports) counted() uint64 {
	return rp.set.GetOrCreateCounter(`gypsumhoist_connector_broken_responses_total{kind="upstream"}`).Get()
}

var _ = Describe("Broken responses", func() {
	It("are all counted, and logged once a second at most, with their number", bubble(func(g Gomega) {
		ru := newRawUpstream(g, "HTTP/1.1 000 OK\r\n"+bodyOf4)
		ru.closes = true
		defer ru.port.Close()
		go ru.serve()
		rp := &reports{}
		up := connector.NewUpstreamPool(serverPort, append(rp.options(), connector.WithNetwork(ru.client))...)
		defer up.Stop()
		for range 50 {
			_, _, err := exchange(up, "GET")
			g.Expect(err).To(HaveOccurred())
			time.Sleep(50 * time.Millisecond)
		}
		g.Expect(rp.counted()).To(BeEquivalentTo(50))
		g.Expect(strings.Count(rp.lines.String(), "event=1110")).To(BeEquivalentTo(3), rp.lines.String())
		g.Expect(rp.lines.String()).To(And(ContainSubstring("responses=1"), ContainSubstring("responses=20"), ContainSubstring("status outside 100 to 599")))
	}))

	It("do not include those that the caller gives up", bubble(func(g Gomega) {
		nw := emulator.New()
		ln, err := nw.Host(serverAddr, "d").Listen(serverPort)
		g.Expect(err).NotTo(HaveOccurred())
		defer ln.Close()
		go func() {
			for {
				cn, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer cn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(cn)); err == nil {
						_, _ = io.WriteString(cn, "HTTP/1.1 200 OK\r\n\r\nbody")
						_ = cn.(interface{ CloseWrite() error }).CloseWrite()
						time.Sleep(10 * time.Second)
					}
				}()
			}
		}()
		rp := &reports{}
		up := connector.NewUpstreamPool(serverPort, append(rp.options(), connector.WithNetwork(nw.Host(clientAddr, "d")))...)
		defer up.Stop()
		for range 50 {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			rsp, err := up.RoundTrip(upload(ctx, serverPort, uploadBytes))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(rsp.Body)
			g.Expect(err).To(MatchError(context.DeadlineExceeded))
			_ = rsp.Body.Close()
			cancel()
		}
		g.Expect(rp.counted()).To(BeZero())
		g.Expect(rp.lines.String()).To(BeEmpty())
	}))

	It("do not include bytes without a request, which are logged as a failed connection unless they are a 408", bubble(func(g Gomega) {
		for further, lines := range map[string]int{"HTTP/1.1 200 OK\r\n\r\n": 1, "HTTP/1.1 408 Request Timeout\r\n\r\n": 0} {
			ru := newRawUpstream(g, "HTTP/1.1 200 OK\r\n"+bodyOf4)
			ru.further, ru.furtherAfter = further, time.Second
			go ru.serve()
			rp := &reports{}
			up := connector.NewUpstreamPool(serverPort, append(rp.options(), connector.WithNetwork(ru.client))...)
			for range 2 {
				_, body, err := exchange(up, "GET")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("body"))
				time.Sleep(3 * time.Second)
			}
			g.Expect(ru.conns.Load()).To(BeEquivalentTo(2))
			g.Expect(rp.counted()).To(BeZero())
			g.Expect(strings.Count(rp.lines.String(), "event=1103")).To(Equal(lines), rp.lines.String())
			up.Stop()
			_ = ru.port.Close()
		}
	}))
})
