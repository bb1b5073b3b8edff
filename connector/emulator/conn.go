package emulator

import (
	"net"
	"net/netip"
	"sync/atomic"
	"time"
)

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote netip.AddrPort
	in, out       *stream
	// resets is set if Close resets the connection instead of ending it in order.
	resets atomic.Bool
}

// Read implements net.Conn.
func (cn *conn) Read(buf []byte) (int, error) { return cn.in.read(buf) }

// Write implements net.Conn.
func (cn *conn) Write(buf []byte) (int, error) { return cn.out.write(buf) }

// CloseWrite closes the sending side.
func (cn *conn) CloseWrite() error {
	cn.out.closeWrite()
	return nil
}

// SetLinger makes Close reset the connection if the time is zero, as for a TCP connection. Other times have no effect.
func (cn *conn) SetLinger(sec int) error {
	cn.resets.Store(sec == 0)
	return nil
}

// Close implements net.Conn.
func (cn *conn) Close() error {
	if cn.resets.Load() {
		cn.out.reset()
	}
	cn.out.closeWrite()
	cn.in.closeRead()
	cn.network.mu.Lock()
	delete(cn.network.conns, cn)
	cn.network.mu.Unlock()
	return nil
}

// LocalAddr implements net.Conn.
func (cn *conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(cn.local) }

// RemoteAddr implements net.Conn.
func (cn *conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(cn.remote) }

// SetDeadline implements net.Conn.
func (cn *conn) SetDeadline(at time.Time) error {
	cn.in.setReadDeadline(at)
	cn.out.setWriteDeadline(at)
	return nil
}

// SetReadDeadline implements net.Conn.
func (cn *conn) SetReadDeadline(at time.Time) error {
	cn.in.setReadDeadline(at)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (cn *conn) SetWriteDeadline(at time.Time) error {
	cn.out.setWriteDeadline(at)
	return nil
}
