// Package connector opens and accepts connections between instances, to upstreams and from callers,
// and retires connections that have gone silent: those that deliver no bytes although a response is due.
package connector

import (
	"context"
	"net"
	"net/http"
	"net/netip"
)

// Network opens and accepts connections.
// Implementations are safe for concurrent use; tests use one in memory.
type Network interface {
	// Dial connects to an address before the context ends.
	Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Listen accepts connections at an address.
	Listen(addr netip.AddrPort) (net.Listener, error)
}

// Peers sends requests to other instances of the fleet.
// Implementations are safe for concurrent use.
type Peers interface {
	// Do sends an HTTP request to the peer in its URL. It implements connect.HTTPClient.
	Do(req *http.Request) (*http.Response, error)
	// URL returns the base URL of the peer port at an address, for a connect client.
	URL(addr netip.AddrPort) string
}
