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
)

// prefetchBytes is how long an answer may be that a node takes in whole before it passes on the first byte,
// so that one cut short can still be tried again or refused.
const prefetchBytes = 64 << 10

// reply is an upstream's answer on its way to the caller.
// end must be called once: with nil after the whole answer, with an error after anything less.
type reply struct {
	rs   *http.Response
	once sync.Once
	done func(error)
	// whole tells that the whole answer has been taken in.
	whole bool
	// childRefused tells that a call of the upstream's own had been refused when the answer began.
	childRefused bool
	// childFailed tells whether a call of the upstream's own had failed by the time the head of the answer came.
	childFailed func() bool
}

// end closes the answer and reports how it ended. Calls after the first do nothing.
func (rp *reply) end(err error) {
	rp.once.Do(func() {
		// The outcome of the answer is known already; closing frees the connection only.
		_ = rp.rs.Body.Close()
		rp.done(err)
	})
}

// prefetch takes in a short answer whole, so that what happens to its end can't spoil its beginning:
// one of known small length, and one of unknown length that ends with its connection or tells of a failure.
func (rp *reply) prefetch() *gypsumhoist.Refusal {
	size := rp.rs.ContentLength
	if size > prefetchBytes || rp.rs.Body == http.NoBody || rp.rs.Request != nil && rp.rs.Request.Method == http.MethodHead {
		return nil
	}
	if size >= 0 {
		_, rf := rp.takeIn(size)
		return rf
	}
	if !unframed(rp.rs) && rp.rs.StatusCode < http.StatusBadRequest {
		return nil
	}
	ahead, rf := rp.takeIn(prefetchBytes)
	if rf == nil && rp.whole {
		rp.rs.ContentLength = int64(len(ahead))
	}
	return rf
}

// takeIn reads up to size bytes of an answer ahead and returns them; whole tells from then on whether they are all of it.
// A refusal means that the answer broke off; the reply has ended then.
func (rp *reply) takeIn(size int64) ([]byte, *gypsumhoist.Refusal) {
	var ahead bytes.Buffer
	ahead.Grow(int(min(max(rp.rs.ContentLength, 0), size)) + bytes.MinRead)
	if _, err := ahead.ReadFrom(io.LimitReader(rp.rs.Body, size+1)); err != nil {
		rp.end(err)
		return nil, cutShort(err)
	}
	rest := rp.rs.Body
	rp.whole = int64(ahead.Len()) <= size
	var all io.Reader = bytes.NewReader(ahead.Bytes())
	if !rp.whole {
		all = io.MultiReader(all, rest)
	}
	// What is whole is not read again: its end is known, and asking again may fail once the deadline has passed.
	rp.rs.Body = &stream{Reader: all, Closer: rest}
	return ahead.Bytes(), nil
}

// cutShort is the refusal of a request whose answer began and broke off, or was not whole at its deadline.
func cutShort(err error) *gypsumhoist.Refusal {
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
	case failure(rp.rs.StatusCode):
		cl.parent.NoteFailed()
	default:
		cl.parent.NoteAnswered()
	}
	err := copyAnswer(wr, rp.rs)
	rp.end(err)
	cl.record.Status = rp.rs.StatusCode
	cl.record.Verdict = gypsumhoist.VerdictRan.String()
	if err == nil {
		cl.record.Note("forwarder", "answered whole", "")
		fw.meters.answered(since(cl))
		fw.finish(cl, rp.rs.StatusCode < http.StatusInternalServerError)
		return
	}
	cl.record.Note("forwarder", "answer aborted", err.Error())
	fw.meters.aborted()
	fw.finish(cl, false)
	panic(http.ErrAbortHandler)
}

// cancelBody ends a request's context together with its answer's body.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body and ends the request.
func (cb *cancelBody) Close() error {
	err := cb.ReadCloser.Close()
	cb.cancel()
	return err
}
