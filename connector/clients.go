package connector

import (
	"net/netip"
	"sync"

	"connectrpc.com/connect"
)

// maxClients bounds the cached clients of a Clients. The cache is cleared when full, as a fleet whose instances come and go
// at new addresses would fill it with unused ones.
const maxClients = 8192

// Clients caches a connect client for each instance, as creating one costs more than most calls.
// It is safe for concurrent use. The zero value is not usable; call NewClients.
type Clients[T any] struct {
	peers Peers
	build func(connect.HTTPClient, string, ...connect.ClientOption) T
	opts  []connect.ClientOption

	mu     sync.Mutex
	byAddr map[netip.AddrPort]T
}

// NewClients returns an empty cache of the clients that a generated constructor builds.
func NewClients[T any](
	peers Peers, build func(connect.HTTPClient, string, ...connect.ClientOption) T, opts ...connect.ClientOption,
) *Clients[T] {
	return &Clients[T]{peers: peers, build: build, opts: opts, byAddr: map[netip.AddrPort]T{}}
}

// To returns the client for the instance at an address.
func (cs *Clients[T]) To(addr netip.AddrPort) T {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if ct, ok := cs.byAddr[addr]; ok {
		return ct
	}
	if len(cs.byAddr) >= maxClients {
		clear(cs.byAddr)
	}
	ct := cs.build(cs.peers, cs.peers.URL(addr), cs.opts...)
	cs.byAddr[addr] = ct
	return ct
}
