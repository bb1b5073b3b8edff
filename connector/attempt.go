package connector

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
)

// attempt follows one request through a http.Transport, to know afterwards whether it may have run.
type attempt struct {
	mu sync.Mutex
	// conn is the last connection that the transport chose, peer that of a PeerPool.
	conn *poolConn
	peer *peerConn
	// request is the number of the request on it.
	request uint64
	// chosen tells that the transport has chosen a connection.
	chosen bool
	// encoded tells that the header was, or is about to be, written; only for HTTP/2.
	encoded bool
}

// errTrace is the cause of refused TRACE requests: they may have no body,
// and without one http.Transport replays them.
var errTrace = errors.New("method TRACE is not forwarded")

// singleUse is a body that http.Transport can't rewind.
// The transport replays a request by itself only without a body or with GetBody.
type singleUse struct {
	io.ReadCloser
}

// prepare returns a copy of the request that http.Transport sends at most once.
//
// Three things make the transport replay a request that may have reached the other end:
// an idempotent method without a body, an Idempotency-Key header without a body, and GetBody.
// A body without GetBody switches all three off.
// Without a body a method that usually has one would then be sent as chunked;
// for those (HTTP/1.1 only) the header's map key is written in small letters instead, which
// the transport does not recognise and every receiver must.
func (at *attempt) prepare(req *http.Request, version2 bool) *http.Request {
	ctx := httptrace.WithClientTrace(req.Context(), at.trace(version2))
	out := req.WithContext(ctx)
	out.GetBody = nil
	switch {
	case out.Body != nil && out.Body != http.NoBody:
		out.Body = singleUse{out.Body}
	case version2:
		out.Body = singleUse{http.NoBody}
		out.ContentLength = 0
		out.Header = withEmpty(req.Header)
	case usuallyLacksBody(req.Method):
		out.Body = singleUse{http.NoBody}
		out.ContentLength = 0
	default:
		out.Body = nil
		out.Header = hideIdempotencyKey(req.Header)
	}
	return out
}

// usuallyLacksBody tells whether http.Transport leaves an empty body of unknown length out.
func usuallyLacksBody(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	default:
		return false
	}
}

// headerEmpty tells a peer's Server that the request has no body,
// which the body that the transport can't rewind hides.
const headerEmpty = gypsumhoist.HeaderPrefix + "Empty"

func withEmpty(hd http.Header) http.Header {
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

// trace returns what http.Transport is to tell of the request. Only HTTP/2 needs to know of the header,
// which costs allocations for each field.
func (at *attempt) trace(version2 bool) *httptrace.ClientTrace {
	ct := &httptrace.ClientTrace{GotConn: at.gotConn}
	if version2 {
		ct.WroteHeaderField = func(string, []string) { at.noteEncoded() }
	} else {
		ct.PutIdleConn = func(error) { at.release() }
	}
	return ct
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.chosen = true
	switch pc := info.Conn.(type) {
	case *poolConn:
		at.conn = pc
		at.request = pc.acquire()
	case *peerConn:
		at.leavePeer()
		at.peer = pc
		pc.acquire()
	}
}

// peerDone notes the end of a request at the connection of a PeerPool.
func (at *attempt) peerDone() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.leavePeer()
}

// over reports whether the transport chose a connection of a PeerPool.
func (at *attempt) over(pc *peerConn) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.peer == pc
}

func (at *attempt) leavePeer() {
	if at.peer != nil {
		at.peer.release()
		at.peer = nil
	}
}

func (at *attempt) noteEncoded() {
	at.mu.Lock()
	at.encoded = true
	at.mu.Unlock()
}

// release marks the connection as free for the next request.
func (at *attempt) release() {
	at.mu.Lock()
	pc, request := at.conn, at.request
	at.mu.Unlock()
	if pc != nil {
		pc.release(request)
	}
}

// notRun1 tells whether a failed HTTP/1.1 request can't have run.
// Either no connection was chosen, or none of its bytes went out, nor will any later.
func (at *attempt) notRun1() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.chosen {
		return true
	}
	return at.conn != nil && at.conn.seal()
}

// notRun2 tells whether a failed HTTP/2 request can't have run.
// Either no connection was chosen, or its header was not written though the request was not
// cancelled, or the other end said that it has not processed the stream.
func (at *attempt) notRun2(ctx context.Context, err error) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if !at.chosen {
		return true
	}
	if !at.encoded && ctx.Err() == nil {
		return true
	}
	return unprocessed(err)
}

// abort closes the connection that the transport chose.
func (at *attempt) abort() {
	at.mu.Lock()
	pc := at.conn
	at.mu.Unlock()
	if pc != nil {
		_ = pc.Close()
	}
}
