package connector_test

import (
	"net/netip"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
)

var _ = Describe("Clients", func() {
	It("create one client for each address", func() {
		made := 0
		cs := connector.NewClients(connector.NewPeerPool(), func(_ connect.HTTPClient, url string, _ ...connect.ClientOption) string {
			made++
			return url
		})
		one, two := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddrPort("10.0.0.2:80")
		for range 3 {
			Expect(cs.To(one)).To(Equal("http://10.0.0.1:80"))
			Expect(cs.To(two)).To(Equal("http://10.0.0.2:80"))
		}
		Expect(made).To(Equal(2))
	})
})
