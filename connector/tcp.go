package connector

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"time"
)

// Timeouts and keep-alive settings of TCP connections.
const (
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// userTimeout is how long sent bytes may stay unacknowledged before the connection is closed (TCP_USER_TIMEOUT).
	userTimeout = 4 * time.Second
)

// TCP is the Network of operating system sockets.
// It sends keep-alive probes on idle connections and closes connections whose bytes stay unacknowledged.
// The zero value uses plain TCP. It is safe for concurrent use if its fields are not changed after first use.
type TCP struct {
	// Client configures TLS for dialled connections; nil dials without TLS.
	// Without a ServerName the IP address is verified.
	Client *tls.Config
	// Server configures TLS for accepted connections; nil accepts without TLS.
	Server *tls.Config
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// Dial implements Network.
func (tc *TCP) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dl := net.Dialer{KeepAliveConfig: keepAlive(), Control: controlSocket}
	cn, err := dl.DialContext(ctx, "tcp", addr.String())
	if err != nil || tc.Client == nil {
		return cn, err
	}
	tl := tls.Client(cn, clientConfig(tc.Client, addr))
	if err := tl.HandshakeContext(ctx); err != nil {
		_ = cn.Close()
		return nil, err
	}
	return tl, nil
}

// Listen implements Network.
func (tc *TCP) Listen(addr netip.AddrPort) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: keepAlive(), Control: controlSocket}
	ln, err := lc.Listen(context.Background(), "tcp", addr.String())
	if err != nil || tc.Server == nil {
		return ln, err
	}
	return tls.NewListener(ln, withHTTP(tc.Server)), nil
}

func clientConfig(cf *tls.Config, addr netip.AddrPort) *tls.Config {
	cf = withHTTP(cf)
	if cf.ServerName == "" {
		cf.ServerName = addr.Addr().String()
	}
	return cf
}

// withHTTP returns a copy that negotiates the HTTP versions that Server supports.
func withHTTP(cf *tls.Config) *tls.Config {
	cf = cf.Clone()
	for _, proto := range []string{"h2", "http/1.1"} {
		if !slices.Contains(cf.NextProtos, proto) {
			cf.NextProtos = append(cf.NextProtos, proto)
		}
	}
	return cf
}

func controlSocket(_, _ string, rc syscall.RawConn) error {
	var failed error
	err := rc.Control(func(fd uintptr) { failed = setUserTimeout(fd, userTimeout) })
	if err != nil {
		return err
	}
	return failed
}

// setBuffers sets the kernel's buffers of a connection in bytes, also below TLS; 0 leaves one to the kernel.
func setBuffers(cn net.Conn, receive, send int) {
	if inner, ok := cn.(interface{ NetConn() net.Conn }); ok {
		cn = inner.NetConn()
	}
	tc, ok := cn.(*net.TCPConn)
	if !ok {
		return
	}
	// They fail only on a connection that has failed.
	if receive > 0 {
		_ = tc.SetReadBuffer(receive)
	}
	if send > 0 {
		_ = tc.SetWriteBuffer(send)
	}
}
