package connector

import (
	"net"
	"net/http"
)

// ResetResponse resets the connection of an HTTP/1 request whose response has begun and can't be completed. It is needed where the
// connection's end marks the response's end (HTTP/1.0): the close by http.ErrAbortHandler would look like a complete response. It
// reports whether it did; otherwise the handler still has to abort the response.
func ResetResponse(wr http.ResponseWriter) bool {
	cn, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return false
	}
	done := resetConn(cn)
	// The listener's count of connections ends with the outer connection.
	_ = cn.Close()
	return done
}

// resetConn closes the innermost connection without sending an orderly end, and reports whether it could.
func resetConn(cn net.Conn) bool {
	for {
		switch wrapped := cn.(type) {
		case *headConn:
			cn = wrapped.Conn
		case *pipeConn:
			cn = wrapped.Conn
		case *stallConn:
			cn = wrapped.Conn
		case interface{ NetConn() net.Conn }: // TLS, which would send a close notification
			cn = wrapped.NetConn()
		case interface{ SetLinger(sec int) error }:
			return wrapped.SetLinger(0) == nil && cn.Close() == nil
		default:
			return false
		}
	}
}
