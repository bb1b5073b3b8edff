package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
)

// prefetchMax is the size in bytes up to which a node reads an answer completely before it passes on the first byte,
// so that a truncated one can still be retried or refused.
const prefetchMax = 64 << 10

// reply is an upstream's answer on its way to the caller.
// end must be called once: with nil after the complete answer, with an error after a truncated one.
type reply struct {
	rs    *http.Response
	once  sync.Once
	onEnd func(error)
	// complete is set once the answer has been read to its end.
	complete bool
	// childRefused is set if a nested call of the upstream had been refused when the answer began.
	childRefused bool
	// refusedWithRoom is set if all these refusals came from upstreams that had room.
	refusedWithRoom bool
	// childFailed reports whether a nested call of the upstream failed; of a remote one, by the time the head of the answer came.
	childFailed func() bool
}

// end closes the answer and passes its outcome to onEnd. Calls after the first do nothing.
func (rp *reply) end(err error) {
	rp.once.Do(func() {
		// The outcome of the answer is known already; closing only frees the connection.
		_ = rp.rs.Body.Close()
		rp.onEnd(err)
	})
}

// prefetch reads a short answer completely, so that none of it has been passed on if it breaks off:
// one of known small length, and one of unknown length that ends with its connection or has an error status.
func (rp *reply) prefetch() *gypsumhoist.Refusal {
	size := rp.rs.ContentLength
	if size > prefetchMax || rp.rs.Body == http.NoBody || rp.rs.Request != nil && rp.rs.Request.Method == http.MethodHead {
		return nil
	}
	if size >= 0 {
		_, rf := rp.readAhead(size)
		return rf
	}
	if !unframed(rp.rs) && rp.rs.StatusCode < http.StatusBadRequest {
		return nil
	}
	ahead, rf := rp.readAhead(prefetchMax)
	if rf == nil && rp.complete {
		rp.rs.ContentLength = int64(len(ahead))
	}
	return rf
}

// readAhead reads up to size bytes of an answer and returns them, and sets complete if they are all of it.
// A refusal means that the answer was truncated; the reply has ended then.
func (rp *reply) readAhead(size int64) ([]byte, *gypsumhoist.Refusal) {
	var ahead bytes.Buffer
	ahead.Grow(int(min(max(rp.rs.ContentLength, 0), size)) + bytes.MinRead)
	if _, err := ahead.ReadFrom(io.LimitReader(rp.rs.Body, size+1)); err != nil {
		rp.end(err)
		return nil, truncatedRefusal(err)
	}
	rest := rp.rs.Body
	rp.complete = int64(ahead.Len()) <= size
	var all io.Reader = bytes.NewReader(ahead.Bytes())
	if !rp.complete {
		all = io.MultiReader(all, rest)
	}
	// A complete body is not read further: its end is known, and another read may fail once the deadline has passed.
	rp.rs.Body = &readCloser{Reader: all, Closer: rest}
	return ahead.Bytes(), nil
}

// truncatedRefusal returns the refusal of a request whose answer broke off, or was not complete at its deadline.
func truncatedRefusal(err error) *gypsumhoist.Refusal {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonDeadline, "the deadline passed before the upstream's answer was whole")
	case errors.Is(err, context.Canceled):
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonCanceled, "the caller went away")
	default:
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonConnection, fmt.Sprintf("the upstream's answer broke off: %v", err))
	}
}

// answer passes a reply on to the caller.
func (fw *Forwarder) answer(wr http.ResponseWriter, cl *call, rp *reply) {
	wr.Header().Set(gypsumhoist.HeaderRequest, string(cl.id))
	switch {
	case cl.parent == nil:
	case isServerError(rp.rs.StatusCode):
		cl.parent.RecordFailed()
	default:
		cl.parent.RecordAnswered()
	}
	err := copyAnswer(wr, rp.rs)
	rp.end(err)
	cl.record.Status = rp.rs.StatusCode
	cl.record.Verdict = gypsumhoist.VerdictRan.String()
	if err == nil {
		cl.record.Note("forwarder", "answered whole", "")
		fw.meters.answered(elapsed(cl))
		fw.finish(cl, rp.rs.StatusCode < http.StatusInternalServerError)
		return
	}
	cl.record.Note("forwarder", "answer aborted", err.Error())
	fw.meters.aborted()
	fw.finish(cl, false)
	if cl.fromHTTP10 {
		connector.ResetResponse(wr)
	}
	panic(http.ErrAbortHandler)
}

// cancelBody is an answer's body that cancels the request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and cancels the request's context.
func (cb *cancelBody) Close() error {
	err := cb.ReadCloser.Close()
	cb.cancel()
	return err
}
