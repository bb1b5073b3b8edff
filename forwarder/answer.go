package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// copyBytes is the size of the buffer that an answer is copied through.
const copyBytes = 32 << 10

// refusalText is the body of a refusal.
type refusalText struct {
	Verdict       string `json:"verdict"`
	Reason        string `json:"reason"`
	Detail        string `json:"detail"`
	Request       string `json:"request"`
	RetryAfterSec int64  `json:"retry_after_seconds,omitempty"`
}

// writeRefusal answers a caller with a refusal.
func writeRefusal(wr http.ResponseWriter, id gypsumhoist.RequestID, rf *gypsumhoist.Refusal) {
	after := retryAfterSeconds(rf.RetryAfter)
	hd := wr.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set(gypsumhoist.HeaderVerdict, rf.Verdict.String())
	hd.Set(gypsumhoist.HeaderReason, string(rf.Reason))
	hd.Set(gypsumhoist.HeaderRequest, string(id))
	if after > 0 {
		hd.Set("Retry-After", strconv.FormatInt(after, 10))
		hd.Set(gypsumhoist.HeaderRetryAfter, strconv.FormatInt(rf.RetryAfter.Milliseconds(), 10))
	}
	wr.WriteHeader(rf.Reason.Status())
	// Writing fails only if the caller has gone.
	_ = json.NewEncoder(wr).Encode(refusalText{
		Verdict: rf.Verdict.String(), Reason: string(rf.Reason), Detail: rf.Detail,
		Request: string(id), RetryAfterSec: after,
	})
}

// retryAfterSeconds rounds a wait up to the whole seconds that Retry-After takes.
func retryAfterSeconds(wait time.Duration) int64 {
	return int64((wait + time.Second - 1) / time.Second)
}

// errUnframed means that an answer has no length and ends with its connection,
// so that a complete one can't be told from a truncated one.
var errUnframed = errors.New("the upstream's answer has neither a length nor chunks")

// unframed reports whether the end of an upstream's answer is marked by the end of its connection only.
func unframed(rs *http.Response) bool {
	return rs.ProtoMajor == 1 && rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 && !rs.Uncompressed &&
		rs.Body != nil && rs.Body != http.NoBody && rs.Request != nil && rs.Request.Method != http.MethodHead
}

// copyAnswer copies an answer to the caller. An error means that it could not be copied completely:
// the caller's connection must then be aborted with http.ErrAbortHandler, never ended cleanly.
func copyAnswer(wr http.ResponseWriter, rs *http.Response) error {
	hd := wr.Header()
	sanitizeInto(hd, rs.Header, "")
	wr.WriteHeader(rs.StatusCode)
	if err := copyBody(wr, rs.Body, rs.ContentLength); err != nil {
		return err
	}
	sanitizeInto(hd, rs.Trailer, http.TrailerPrefix)
	return nil
}

// copyBuffers holds the buffers that answers are copied through.
var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// copyBody copies a body as it comes: it flushes each part, and the header ahead of a long body.
// The last part of a body of known size is not flushed, as the end of the answer follows without delay.
// Size is in bytes, negative if unknown.
func copyBody(wr http.ResponseWriter, rd io.Reader, size int64) error {
	rc := http.NewResponseController(wr)
	if size < 0 || size > prefetchMax {
		if err := rc.Flush(); err != nil {
			return err
		}
	}
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	for copied := int64(0); ; {
		num, err := rd.Read(buf[:])
		if num > 0 {
			if _, werr := wr.Write(buf[:num]); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		copied += int64(num)
		if num == 0 || copied == size {
			continue
		}
		if ferr := rc.Flush(); ferr != nil {
			return ferr
		}
	}
}
