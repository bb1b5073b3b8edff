package connector_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/net/http2"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

var _ = Describe("A probe", func() {
	for _, probe := range []struct {
		response string
		proper   bool
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n", true},
		{"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nNa me: v\r\nContent-Length: 0\r\n\r\n", false},
	} {
		It("of an upstream counts proper responses only: "+probe.response, bubble(func(g Gomega) {
			ru := newRawUpstream(g, probe.response)
			ru.answersProbesOnly = true
			defer ru.port.Close()
			go ru.serve()
			up := connector.NewUpstreamPool(serverPort, connector.WithNetwork(ru.client))
			up.Start()
			defer up.Stop()
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := up.RoundTrip(newRequest("GET", false, "").WithContext(ctx))
			g.Expect(err).To(HaveOccurred())
			// A proper response shows that the upstream is alive, so that the silent connection is retired and not probed for again.
			g.Expect(ru.probes.Load() == 1).To(Equal(probe.proper))
		}))
	}

	for status, matcher := range map[string]OmegaMatcher{"404": Succeed(), "000": HaveOccurred(), "600": HaveOccurred()} {
		answer := func(fr *http2.Framer, stream uint32) bool {
			headers(fr, stream, true, ":status", status)
			return false
		}
		It("of another instance counts proper responses only: "+status, withPeer(answer, func(g Gomega, pp *connector.PeerPool) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			g.Expect(pp.Probe(ctx, serverPort)).To(matcher)
		}))
	}
})
