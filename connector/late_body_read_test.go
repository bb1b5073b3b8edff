package connector_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
)

var errLateReadPanicked = errors.New("panic")

// readLate reads a request body and turns a panic, which would end the process, into an error.
func readLate(body io.Reader) (err error) {
	defer func() {
		if got := recover(); got != nil {
			err = fmt.Errorf("%w: %v", errLateReadPanicked, got)
		}
	}()
	_, err = body.Read(make([]byte, 1))
	return err
}

// exchangeWithLateRead sends a request to a peer whose handler leaves the body to a goroutine, and returns what that one gets from it
// after the end of the exchange.
func exchangeWithLateRead(g Gomega) error {
	nw := emulator.New()
	ln, err := nw.Host(serverAddr, "b").Listen(serverPort)
	g.Expect(err).NotTo(HaveOccurred())
	lateRead := make(chan error, 1)
	server := connector.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		go func() {
			time.Sleep(time.Second)
			lateRead <- readLate(req.Body)
		}()
	}), connector.WithPeerTraffic())
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	pool := connector.NewPeerPool(connector.WithNetwork(nw.Host(clientAddr, "a")))
	defer pool.Close()
	req, err := http.NewRequest(http.MethodPost, pool.URL(serverPort), strings.NewReader("body"))
	g.Expect(err).NotTo(HaveOccurred())
	rs, err := pool.RoundTrip(req)
	g.Expect(err).NotTo(HaveOccurred())
	_ = rs.Body.Close()
	return <-lateRead
}

var _ = Describe("A request body that is still read after the response", func() {
	It("gives an error and does not end the process", bubble(func(g Gomega) {
		err := exchangeWithLateRead(g)
		g.Expect(err).To(HaveOccurred())
		g.Expect(err).NotTo(MatchError(errLateReadPanicked))
	}))
})
