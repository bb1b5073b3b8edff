package forwarder

import (
	"bytes"
	"errors"
	"hash"
	"io"
	"net/http"

	"github.com/gypsumhoist/gypsumhoist"
)

// replayBytes is how much of a request's body a node keeps for further attempts.
const replayBytes = 64 << 10

// body is the body of one request, kept for further attempts when it is small.
// It is not safe for concurrent use.
type body struct {
	prefix   []byte
	complete bool
	rest     io.ReadCloser
	length   int64
	opened   bool
	trailer  *http.Header
}

// readBody reads what a node may keep of a request's body. It waits for at most replayBytes
// of the announced length, and for none of a body of unknown length.
func readBody(req *http.Request) (*body, *gypsumhoist.Refusal) {
	bd := streamBody(req)
	if bd.complete || req.ContentLength < 0 {
		return bd, nil
	}
	bd.prefix = make([]byte, min(req.ContentLength, replayBytes))
	if _, err := io.ReadFull(req.Body, bd.prefix); err != nil {
		return nil, bodyRefusal(err)
	}
	bd.complete = int64(len(bd.prefix)) == req.ContentLength
	return bd, nil
}

// streamBody returns the body of a request that is sent once only.
func streamBody(req *http.Request) *body {
	empty := req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0
	return &body{length: req.ContentLength, rest: req.Body, trailer: &req.Trailer, complete: empty}
}

func bodyRefusal(err error) *gypsumhoist.Refusal {
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTooLarge, 0, "the body is longer than the node's settings allow")
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "the caller's body broke off")
}

// hashInto adds the kept part of the body to a fingerprint.
func (bd *body) hashInto(hs hash.Hash) {
	// A hash.Hash never returns an error.
	_, _ = hs.Write(bd.prefix)
}

// consumed reports whether the body has been consumed and can't be sent again.
func (bd *body) consumed() bool { return bd.opened && !bd.complete }

// open returns the body for one attempt.
func (bd *body) open() io.ReadCloser {
	bd.opened = true
	if bd.complete {
		if len(bd.prefix) == 0 {
			return http.NoBody
		}
		return io.NopCloser(bytes.NewReader(bd.prefix))
	}
	return &readCloser{Reader: io.MultiReader(bytes.NewReader(bd.prefix), bd.rest), Closer: bd.rest}
}

// trailers returns the caller's trailers that may be forwarded; they are complete once the body is read.
func (bd *body) trailers() http.Header {
	if bd.trailer == nil {
		return nil
	}
	return sanitized(*bd.trailer)
}

// readCloser joins a reader with the closer of the body that it reads.
type readCloser struct {
	io.Reader
	io.Closer
}

// trailerCopier copies the caller's trailers to an outgoing request at the end of its body.
type trailerCopier struct {
	io.ReadCloser
	bd  *body
	out http.Header
}

// Read reads the body and sets the trailers at its end.
func (tc *trailerCopier) Read(buf []byte) (int, error) {
	num, err := tc.ReadCloser.Read(buf)
	if err == io.EOF {
		for name, vals := range tc.bd.trailers() {
			if _, ok := tc.out[name]; ok {
				tc.out[name] = vals
			}
		}
	}
	return num, err
}
