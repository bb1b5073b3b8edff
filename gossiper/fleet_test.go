package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
)

// fleet runs gossipers over an emulated network.
type fleet struct {
	network *emulator.Network
	nodes   []*node
	domains int
}

type node struct {
	*gossiper.Gossiper
	host   *emulator.Host
	server *connector.Server
	pool   *connector.PeerPool
	addr   netip.AddrPort
	domain gypsumhoist.FailureDomain
	name   gypsumhoist.Instance
	index  int
}

// newFleet starts size nodes, spread evenly over domains that lie 1 ms apart.
func newFleet(size, domains int) *fleet {
	fl := &fleet{network: emulator.New(), domains: domains}
	for ix := range domains {
		for jx := range domains {
			fl.network.SetDelay(domainName(ix), domainName(jx), time.Millisecond)
		}
	}
	for ix := range size {
		fl.nodes = append(fl.nodes, fl.start(ix))
	}
	return fl
}

func domainName(ix int) gypsumhoist.FailureDomain {
	return gypsumhoist.FailureDomain(fmt.Sprintf("d%d", ix))
}

func addrOf(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 7000)
}

// start runs the node of an index; its seeds are the first node of each domain.
func (fl *fleet) start(ix int) *node {
	nd := &node{addr: addrOf(ix), domain: domainName(ix % fl.domains), index: ix}
	nd.name = gypsumhoist.Instance(fmt.Sprintf("n%d", ix))
	nd.host = fl.network.Host(nd.addr.Addr(), nd.domain)
	nd.pool = connector.NewPeerPool(connector.WithNetwork(nd.host))
	var seeds []netip.AddrPort
	for dx := range fl.domains {
		seeds = append(seeds, addrOf(dx))
	}
	nd.Gossiper = gossiper.New(
		gossiper.WithSelf(gossiper.Member{Instance: nd.name, Domain: nd.domain, Peer: nd.addr, Roles: gossiper.RoleNode}),
		gossiper.WithSeeds(seeds),
		gossiper.WithPeers(nd.pool),
		gossiper.WithRand(rand.New(rand.NewPCG(uint64(ix), 1))))
	mux := http.NewServeMux()
	mux.Handle(nd.Handler())
	nd.server = connector.NewServer(mux)
	ln, err := nd.host.Listen(nd.addr)
	if err != nil {
		panic(err)
	}
	go func() { _ = nd.server.Serve(ln) }()
	nd.Start()
	return nd
}

// crash ends a node without notice to the others.
func (fl *fleet) crash(nd *node) {
	fl.network.Crash(nd.addr.Addr())
	nd.Kill()
	_ = nd.server.Close()
	nd.pool.Close()
}

func (fl *fleet) stop() {
	for _, nd := range fl.nodes {
		nd.Kill()
	}
	for _, nd := range fl.nodes {
		fl.crash(nd)
	}
	// Connections that were cut detect the end by their pings.
	time.Sleep(10 * time.Second)
}

// addrs returns the addresses of the nodes that meet a condition.
func (fl *fleet) addrs(cond func(*node) bool) []netip.Addr {
	var out []netip.Addr
	for _, nd := range fl.nodes {
		if cond(nd) {
			out = append(out, nd.addr.Addr())
		}
	}
	return out
}

// await waits until a condition holds and returns how long it took; it fails after bound.
func await(g Gomega, what string, bound time.Duration, cond func() bool) time.Duration {
	from := time.Now()
	for !cond() {
		g.Expect(time.Since(from)).To(BeNumerically("<=", bound), what)
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(from)
}

// all reports whether a condition holds for every node except the given ones.
func (fl *fleet) all(cond func(*node) bool, except ...*node) bool {
	for _, nd := range fl.nodes {
		if !slices.Contains(except, nd) && !cond(nd) {
			return false
		}
	}
	return true
}

// joined reports whether each node sees its own domain and the bridges of all others.
func (fl *fleet) joined() bool {
	return fl.all(func(nd *node) bool {
		bridges := 0
		for _, mb := range nd.View().Members() {
			if mb.Domain != nd.domain && mb.Bridge {
				bridges++
			}
		}
		own := len(fl.addrs(func(other *node) bool { return other.domain == nd.domain }))
		return nd.aliveIn(nd.domain) == own && bridges == min(3, own)*(fl.domains-1)
	})
}

func (nd *node) aliveIn(fd gypsumhoist.FailureDomain) int {
	count := 0
	for _, mb := range nd.View().Members() {
		if mb.Status == gossiper.StatusAlive && mb.Domain == fd {
			count++
		}
	}
	return count
}

func (nd *node) reachesDomain(fd gypsumhoist.FailureDomain) bool {
	for _, dm := range nd.View().Domains() {
		if dm.Name == fd {
			return dm.Reachable
		}
	}
	return false
}

func (nd *node) statusOf(other *node) gossiper.Status {
	mb, ok := nd.View().Member(other.name)
	if !ok {
		return gossiper.StatusLeft
	}
	return mb.Status
}
