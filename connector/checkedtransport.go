package connector

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errUnframed is the error of responses whose end only the connection's end marks: a truncated one looks the same.
var errUnframed = errors.New("the response has neither a length nor chunks")

// CheckedTransport sends HTTP/1.1 requests through an http.Transport and checks each response like an UpstreamPool. It also rejects
// responses that end with their connection, as servers of this project don't send such. It is for clients other than a node's.
// It is safe for concurrent use.
type CheckedTransport struct {
	transport *http.Transport
}

var _ http.RoundTripper = (*CheckedTransport)(nil)

// NewCheckedTransport takes over a transport, which must not be used by others from then on.
func NewCheckedTransport(tr *http.Transport) *CheckedTransport {
	dial := tr.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	tr.DialContext = checkedDial(dial)
	if tr.TLSClientConfig != nil {
		tr.DialTLSContext = checkedDial(tlsDial(dial, tr.TLSClientConfig))
	}
	var protos http.Protocols
	protos.SetHTTP1(true)
	tr.Protocols = &protos
	// Decompression would hide how a response is framed.
	tr.DisableCompression = true
	return &CheckedTransport{transport: tr}
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// checkedDial returns a function that opens connections on which responses are checked.
func checkedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		cn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return newResponseConn(cn, nil), nil
	}
}

// tlsDial returns a function that opens TLS connections for HTTP/1.1. Without a ServerName the dialled host is verified.
func tlsDial(dial dialFunc, cf *tls.Config) dialFunc {
	cf = cf.Clone()
	cf.NextProtos = []string{"http/1.1"}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		cn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conf := cf
		if conf.ServerName == "" {
			conf = cf.Clone()
			if conf.ServerName, _, err = net.SplitHostPort(addr); err != nil {
				_ = cn.Close()
				return nil, err
			}
		}
		tl := tls.Client(cn, conf)
		if err := tl.HandshakeContext(ctx); err != nil {
			_ = cn.Close()
			return nil, err
		}
		return tl, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (ct *CheckedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rt := &requestTrace{method: req.Method}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: rt.gotConn, WroteRequest: rt.wroteRequest})
	rsp, err := ct.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if rsp.ContentLength < 0 && len(rsp.TransferEncoding) == 0 && rsp.Body != http.NoBody && req.Method != http.MethodHead {
		_ = rsp.Body.Close()
		return nil, errUnframed
	}
	return rsp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (ct *CheckedTransport) CloseIdleConnections() { ct.transport.CloseIdleConnections() }

// requestTrace tells a responseConn where requests begin and end.
type requestTrace struct {
	method string

	mu   sync.Mutex
	conn *responseConn
}

func (rt *requestTrace) gotConn(info httptrace.GotConnInfo) {
	rc, ok := info.Conn.(*responseConn)
	if !ok {
		return
	}
	rc.begin(rt.method)
	rt.mu.Lock()
	rt.conn = rc
	rt.mu.Unlock()
}

func (rt *requestTrace) wroteRequest(info httptrace.WroteRequestInfo) {
	rt.mu.Lock()
	rc := rt.conn
	rt.mu.Unlock()
	if rc != nil && info.Err == nil {
		rc.noteSent()
	}
}
