package connector

import (
	"context"
	"net"
	"net/http"
	"time"
)

// clientConn is the connection that a request came on.
type clientConn interface {
	// multiplexes reports whether responses on the connection don't wait for each other (HTTP/2).
	multiplexes() bool
	// waitsToWrite reports whether a write to the client waits for as long or longer.
	waitsToWrite(least time.Duration) bool
	// abort ends the connection at once, with all its requests. What the kernel has not sent is dropped.
	abort()
}

// clientConnKey is the key of a request's clientConn in its context.
type clientConnKey struct{}

// withClientConn returns the context of the requests on a connection, as http.Server.ConnContext does.
func withClientConn(ctx context.Context, cn net.Conn) context.Context {
	switch cn := cn.(type) {
	case *headConn:
		if pc, ok := cn.Conn.(*pipeConn); ok {
			ctx = pc.begin(ctx)
		}
	case *requestConn:
		ctx = cn.conn.ctx
	}
	if cc, ok := cn.(clientConn); ok {
		return context.WithValue(ctx, clientConnKey{}, cc)
	}
	return ctx
}

// clientConnOf returns the connection that a request came on, or nil.
func clientConnOf(req *http.Request) clientConn {
	cc, _ := req.Context().Value(clientConnKey{}).(clientConn)
	return cc
}

// abortConn closes a connection, with a reset where the network has one.
func abortConn(cn net.Conn) {
	if !resetConn(cn) {
		_ = cn.Close()
	}
}
