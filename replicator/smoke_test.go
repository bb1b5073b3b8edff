package replicator_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/connector"
	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// countingNetwork counts the bytes in both directions of the connections that are dialed through it.
type countingNetwork struct {
	connector.Network
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (cn countingConn) Write(data []byte) (int, error) {
	cn.bytes.Add(int64(len(data)))
	return cn.Conn.Write(data)
}

func (cn countingConn) Read(buf []byte) (int, error) {
	count, err := cn.Conn.Read(buf)
	cn.bytes.Add(int64(count))
	return count, err
}

func (nw countingNetwork) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	cn, err := nw.Network.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return countingConn{cn, nw.bytes}, nil
}

var _ = Describe("over sockets", func() {
	It("replicates commands, and reports the traffic of an idle group", func() {
		network := countingNetwork{Network: &connector.TCP{}, bytes: &atomic.Int64{}}
		var initial []rp.Member
		var hosts []*rp.Host
		for _, name := range []string{"1", "2", "3"} {
			ln, err := network.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
			Expect(err).To(Succeed())
			pool := connector.NewPeerPool(connector.WithNetwork(network))
			hs := rp.NewHost(rp.WithPeers(pool))
			mux := http.NewServeMux()
			mux.Handle(hs.Handler())
			srv := connector.NewServer(mux)
			go func() { _ = srv.Serve(ln) }()
			DeferCleanup(srv.Close)
			DeferCleanup(pool.Close)
			DeferCleanup(hs.Stop)
			hosts = append(hosts, hs)
			initial = append(initial, rp.Member{Instance: "n", Boot: name, Peer: netip.MustParseAddrPort(ln.Addr().String())})
		}
		var groups []*rp.Group
		for ix, hs := range hosts {
			gp, err := hs.Open("shard/domain-1/3/1", initial[ix], &recordingMachine{}, rp.WithInitialMembers(initial...))
			Expect(err).To(Succeed())
			groups = append(groups, gp)
		}
		for _, gp := range groups {
			Eventually(func() error {
				_, err := gp.Propose(context.Background(), []byte("command"))
				return err
			}, time.Minute, 10*time.Millisecond).Should(Succeed())
		}
		before := network.bytes.Load()
		time.Sleep(time.Second)
		GinkgoWriter.Printf("one idle group of 3 over HTTP/2: %d B/s in all\n", network.bytes.Load()-before)
	})
})
