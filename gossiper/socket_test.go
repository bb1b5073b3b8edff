package gossiper_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

var _ = Describe("Gossipers on real sockets", func() {
	It("join, spread an upstream and leave", func() {
		var listeners []net.Listener
		var seeds []netip.AddrPort
		network := &connector.TCP{}
		for range 3 {
			ln, err := network.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			Expect(err).NotTo(HaveOccurred())
			listeners = append(listeners, ln)
			seeds = append(seeds, ln.Addr().(*net.TCPAddr).AddrPort())
		}
		var all []*gossiper.Gossiper
		for ix, ln := range listeners {
			self := gossiper.Member{Instance: gypsumhoist.Instance(fmt.Sprintf("n%d", ix)), Domain: domainName(ix % 2), Peer: seeds[ix]}
			pool := connector.NewPeerPool(connector.WithNetwork(network))
			gs := gossiper.New(gossiper.WithSelf(self), gossiper.WithSeeds(seeds[:1]), gossiper.WithPeers(pool))
			mux := http.NewServeMux()
			mux.Handle(gs.Handler())
			sv := connector.NewServer(mux, connector.WithPeerTraffic())
			go func() { _ = sv.Serve(ln) }()
			gs.Start()
			DeferCleanup(func() {
				gs.Stop()
				pool.Close()
				_ = sv.Close()
			})
			all = append(all, gs)
		}
		all[2].Announce(gossiper.Upstream{Service: "slips", State: gossiper.UpstreamReady, Slots: 9})
		takes := func() bool {
			for _, gs := range all {
				mbs := gs.View().ByService("slips")
				if len(mbs) != 1 || !mbs[0].AcceptsWork() {
					return false
				}
			}
			return true
		}
		Eventually(takes).WithTimeout(time.Minute).WithPolling(10 * time.Millisecond).Should(BeTrue())
		all[2].Stop()
		Eventually(func() int { return len(all[1].View().Members()) }).WithTimeout(time.Minute).Should(Equal(2))
	})
})
