package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
)

// attempt tracks one request through an http.Transport, to tell after a failure whether the request may have run.
type attempt struct {
	method string

	mu sync.Mutex
	// conn is the connection that the transport chose last if it belongs to an UpstreamPool, peer if it belongs to a PeerPool.
	conn *poolConn
	peer *peerConn
	// requestNo is the number of the request on conn.
	requestNo uint64
	// hasConn is set once the transport has chosen a connection.
	hasConn bool
	// headerStarted is set when writing of the header begins or is about to begin; HTTP/2 only.
	headerStarted bool
	// interim counts the interim responses (1xx); HTTP/2 only.
	interim int
}

// errTrace is the cause of refused TRACE requests: they must not have a body,
// and http.Transport replays requests without one.
var errTrace = errors.New("method TRACE is not forwarded")

// singleUseBody is a body that http.Transport can't rewind.
// The transport replays a request on its own only if it has no body or a GetBody.
type singleUseBody struct {
	io.ReadCloser
}

// prepare returns a copy of the request that http.Transport sends at most once.
//
// The transport replays a request that may have reached the other end in three cases:
// an idempotent method without a body, an Idempotency-Key header without a body, and GetBody.
// A body without GetBody rules out all three.
// With an empty body, however, a method that usually has one would be sent with chunked encoding.
// For those methods (HTTP/1.1 only) the key of the header map is written in lower case instead, which
// the transport does not recognise; receivers must, as header names are case-insensitive.
func (at *attempt) prepare(req *http.Request, isHTTP2 bool) *http.Request {
	at.method = req.Method
	ctx := httptrace.WithClientTrace(req.Context(), at.trace(isHTTP2))
	out := req.WithContext(ctx)
	out.GetBody = nil
	switch {
	case out.Body != nil && out.Body != http.NoBody:
		out.Body = singleUseBody{out.Body}
	case isHTTP2:
		out.Body = singleUseBody{http.NoBody}
		out.ContentLength = 0
		out.Header = markEmpty(req.Header)
	case usuallyLacksBody(req.Method):
		out.Body = singleUseBody{http.NoBody}
		out.ContentLength = 0
	default:
		out.Body = nil
		out.Header = hideIdempotencyKey(req.Header)
	}
	return out
}

// usuallyLacksBody reports whether http.Transport omits an empty body of unknown length for a method.
func usuallyLacksBody(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	default:
		return false
	}
}

// headerEmpty tells a peer's Server that the request has no body,
// as the placeholder body that prevents replays hides this.
const headerEmpty = gypsumhoist.HeaderPrefix + "Empty"

func markEmpty(hd http.Header) http.Header {
	out := hd.Clone()
	if out == nil {
		out = http.Header{}
	}
	out.Set(headerEmpty, "1")
	return out
}

func hideIdempotencyKey(hd http.Header) http.Header {
	out := hd.Clone()
	for _, name := range []string{gypsumhoist.HeaderIdempotencyKey, "X-Idempotency-Key"} {
		if vals, ok := out[name]; ok {
			delete(out, name)
			out[strings.ToLower(name)] = vals
		}
	}
	return out
}

// trace returns the hooks for http.Transport. Only HTTP/2 gets a hook for header fields,
// as that one costs allocations for each field.
func (at *attempt) trace(isHTTP2 bool) *httptrace.ClientTrace {
	ct := &httptrace.ClientTrace{GotConn: at.gotConn}
	if isHTTP2 {
		ct.WroteHeaderField = func(string, []string) { at.noteHeader() }
		ct.Got1xxResponse = at.gotInterim
	} else {
		ct.PutIdleConn = func(error) { at.release() }
		ct.WroteRequest = at.wroteRequest
	}
	return ct
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.hasConn = true
	switch pc := info.Conn.(type) {
	case *poolConn:
		at.conn = pc
		at.requestNo = pc.acquire(at.method)
	case *peerConn:
		at.releasePeerLocked()
		at.peer = pc
		pc.acquire()
	}
}

// releasePeer ends the request on the connection of a PeerPool. Further calls have no effect.
func (at *attempt) releasePeer() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.releasePeerLocked()
}

// usesPeer reports whether the transport chose a given connection of a PeerPool.
func (at *attempt) usesPeer(pc *peerConn) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.peer == pc
}

// releasePeerLocked is releasePeer for callers that hold the mutex.
func (at *attempt) releasePeerLocked() {
	if at.peer != nil {
		at.peer.release()
		at.peer = nil
	}
}

// wroteRequest records that an HTTP/1.1 request was passed to the connection completely.
func (at *attempt) wroteRequest(info httptrace.WroteRequestInfo) {
	at.mu.Lock()
	pc := at.conn
	at.mu.Unlock()
	if pc != nil && info.Err == nil {
		pc.noteSent()
	}
}

// gotInterim limits the interim responses to an HTTP/2 request, for which net/http bounds only the size of each.
func (at *attempt) gotInterim(status int, _ textproto.MIMEHeader) error {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.interim++
	switch {
	case status == statusSwitch:
		return errSwitched
	case at.interim > maxInterim:
		return errInterim
	default:
		return nil
	}
}

func (at *attempt) noteHeader() {
	at.mu.Lock()
	at.headerStarted = true
	at.mu.Unlock()
}

// release marks the connection of an UpstreamPool as free for the next request.
func (at *attempt) release() {
	at.mu.Lock()
	pc, requestNo := at.conn, at.requestNo
	at.mu.Unlock()
	if pc != nil {
		pc.release(requestNo)
	}
}

// notRunHTTP1 reports whether a failed HTTP/1.1 request can't have run:
// either no connection was chosen, or none of its bytes were written nor will be later.
func (at *attempt) notRunHTTP1() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.hasConn {
		return true
	}
	return at.conn != nil && at.conn.seal()
}

// notRunHTTP2 reports whether a failed HTTP/2 request can't have run:
// no connection was chosen, or its header was not written although the request was not
// cancelled, or the other end reported that it has not processed the stream.
func (at *attempt) notRunHTTP2(ctx context.Context, err error) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.hasConn {
		return true
	}
	if !at.headerStarted && ctx.Err() == nil {
		return true
	}
	return unprocessed(err)
}

// closeConn closes the connection of an UpstreamPool that the transport chose.
func (at *attempt) closeConn() {
	at.mu.Lock()
	pc := at.conn
	at.mu.Unlock()
	if pc != nil {
		_ = pc.Close()
	}
}
