package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
)

func elapsed(cl *call) time.Duration { return time.Since(cl.started) }

// tryUpstreams sends a request to one upstream after the other until one answers
// or no further attempt is allowed. A server error of an upstream may be followed by another attempt;
// it is the answer to the request if no further attempt gets one.
func (fw *Forwarder) tryUpstreams(ctx context.Context, req *http.Request, cl *call) (*reply, *gypsumhoist.Refusal) {
	key := retrier.RowKey{Workspace: cl.workspace, Route: cl.row.Route, Service: cl.service}
	fw.retrier.CountFirst(key, cl.row.RetryPercent)
	if cl.parent != nil && cl.parent.Repeat {
		fw.retrier.CountRepeat(key)
	}
	ah := &attemptHistory{}
	for no := uint32(1); ; no++ {
		if err := ctx.Err(); err != nil {
			return ah.result(cl, withWorseVerdict(endedRefusal(err), ah.lastRefusal))
		}
		pk, err := fw.pick(cl, ah)
		if err != nil {
			return ah.result(cl, asRefusal(err))
		}
		cl.record.Note("router", "picked", string(pk.Upstream.Instance))
		rp, rf := fw.send(ctx, req, cl, &pk, no, ah.sent > 0)
		if rf == nil {
			ah.sent++
			if !fw.retryAnswer(key, cl, rp, ah) {
				cl.propagateOverload(rp)
				return rp, nil
			}
			cl.record.Note("forwarder", "attempt "+strconv.Itoa(int(no))+" answered "+strconv.Itoa(rp.rs.StatusCode), "")
			rp.end(nil)
			ah.failedReply = rp
			continue
		}
		cl.record.Note("forwarder", "attempt "+strconv.Itoa(int(no))+" failed: "+string(rf.Reason), rf.Detail)
		ah.lastRefusal = withWorseVerdict(rf, ah.lastRefusal)
		if reroutable(rf) && ah.rerouted < reroutesMax && !fw.serviceOverloaded(cl, fw.router.View(cl.service).Upstreams) && !cl.body.consumed() {
			ah.rerouted++
			cl.record.Note("router", "rerouted", "")
			continue
		}
		ah.sent++
		ah.noteRefusal(pk.Upstream.Instance, rf)
		if ah.exhausted(cl) && len(ah.retryable) == 0 || !fw.retry(key, cl, fw.failureOf(cl, rf, ah)) || !ah.backOff(ctx) {
			return ah.result(cl, rf)
		}
	}
}

// endedRefusal returns the refusal of a request whose context ended before it was sent.
func endedRefusal(err error) *gypsumhoist.Refusal {
	if errors.Is(err, context.DeadlineExceeded) {
		return gypsumhoist.NotRun(gypsumhoist.ReasonDeadline, 0, "the deadline passed before the request was sent")
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonCanceled, 0, "the caller went away before the request was sent")
}

// retryAnswer decides whether an answer is dropped for a further attempt. It must be a server error that arose at the upstream
// itself, as a retry where the failure began repeats the least work. It must also have been read completely, so that it can
// still be passed on if no further attempt gets an answer.
func (fw *Forwarder) retryAnswer(key retrier.RowKey, cl *call, rp *reply, ah *attemptHistory) bool {
	if !isServerError(rp.rs.StatusCode) || rp.rs.StatusCode == http.StatusGatewayTimeout || rp.childFailed() ||
		!rp.complete && rp.rs.Body != http.NoBody || ah.exhausted(cl) {
		return false
	}
	fl := fw.failureOf(cl, &gypsumhoist.Refusal{Verdict: gypsumhoist.VerdictRan}, ah)
	fl.Answered = true
	return fw.retry(key, cl, fl)
}

func isServerError(status int) bool { return status >= http.StatusInternalServerError }

// propagateOverload marks the parent of a nested call that failed because a service further down the chain was overloaded,
// so that the entry of the chain learns of it however long the chain is.
func (cl *call) propagateOverload(rp *reply) {
	if cl.parent != nil && rp.childRefused && rp.rs.StatusCode >= http.StatusInternalServerError {
		cl.parent.RecordRefused(rp.refusedWithRoom)
	}
}

// reroutesMax bounds how often a call goes on to another node because one did not hand it to its upstream.
const reroutesMax = 2

// reroutable reports whether a node refused a call without sending it to its upstream, for a cause that may not hold
// at another node. Going on to another node then costs no upstream anything and does not count as a retry.
func reroutable(rf *gypsumhoist.Refusal) bool {
	if rf.Verdict != gypsumhoist.VerdictNotRun || !rf.NotForwarded {
		return false
	}
	switch rf.Reason {
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonLeaving, gypsumhoist.ReasonNoUpstream, gypsumhoist.ReasonConnection:
		return true
	default:
		return false
	}
}

// failureOf returns what the retrier needs to know about a failed attempt.
func (fw *Forwarder) failureOf(cl *call, rf *gypsumhoist.Refusal, ah *attemptHistory) retrier.Failure {
	vw := fw.router.View(cl.service)
	others := len(ah.retryable)
	if !ah.exhausted(cl) {
		others += fw.router.Available(cl.service, ah.tried...)
	}
	return retrier.Failure{
		Rank:              retrier.Rank{Importance: cl.importance, CallsAhead: fw.nestedStats.callsAhead(cl.parent)},
		Verdict:           rf.Verdict,
		Reason:            rf.Reason,
		Idempotent:        cl.idempotent,
		BodyConsumed:      cl.body.consumed(),
		ServiceOverloaded: fw.serviceOverloaded(cl, vw.Upstreams),
		UpstreamsLeft:     others,
		Remaining:         time.Until(cl.deadline),
		ExpectedLatency:   vw.Latency,
	}
}

// retry decides whether a failed attempt is followed by another.
func (fw *Forwarder) retry(key retrier.RowKey, cl *call, fl retrier.Failure) bool {
	switch dec := fw.retrier.Decide(key, cl.row.RetryPercent, fl, cl.budget).(type) {
	case retrier.GiveUp:
		cl.record.Note("retrier", "no retry: "+dec.Cause.String(), fw.giveUpDetail(key, cl, dec.Cause))
		return false
	default:
		cl.record.Note("retrier", "retry", fw.retrier.Usage(key).String())
		return true
	}
}

// giveUpDetail returns the state on which a decision against a retry is based, if it is not only about the request.
func (fw *Forwarder) giveUpDetail(key retrier.RowKey, cl *call, cause retrier.Cause) string {
	switch cause {
	case retrier.CauseOverload:
		return fw.overloadDetail(cl)
	case retrier.CauseRatio, retrier.CauseCredit:
		return fw.retrier.Usage(key).String()
	default:
		return ""
	}
}

// withWorseVerdict returns the newer refusal with the worse verdict of both:
// once an attempt may have run, no later attempt changes that.
func withWorseVerdict(rf, earlier *gypsumhoist.Refusal) *gypsumhoist.Refusal {
	if earlier == nil || earlier.Verdict == gypsumhoist.VerdictNotRun || earlier.Verdict == rf.Verdict {
		return rf
	}
	out := *rf
	out.Verdict = earlier.Verdict
	return &out
}

// send makes one attempt. If it returns a refusal, the attempt has ended; otherwise the end of the reply ends it.
func (fw *Forwarder) send(ctx context.Context, req *http.Request, cl *call, pk *router.Pick, no uint32, retried bool) (*reply, *gypsumhoist.Refusal) {
	fw.meters.attempted()
	sh := cl.budget.DrawShare()
	at := &attempt{fw: fw, cl: cl, pick: pk, share: &sh, hop: cl.hop(pk, no, sh.Retries()), started: time.Now()}
	at.hop.Siblings = fw.nestedStats.hasSiblings(cl.parent)
	at.hop.LoadReported = fw.reportsLoad(cl.service)
	at.hop.Committed = at.hop.LoadReported && cl.committed()
	at.hop.TargetUs = cl.targetLeft()
	at.hop.Repeat = retried || cl.parent != nil && cl.parent.Repeat
	out := fw.outgoing(ctx, req, cl)
	var rp *reply
	var rf *gypsumhoist.Refusal
	if pk.Upstream.Instance == fw.instance {
		rp, rf = at.local(ctx, out)
	} else {
		rp, rf = at.remote(out)
	}
	if rf != nil {
		return nil, rf
	}
	if rf := rp.prefetch(); rf != nil {
		return nil, rf
	}
	return rp, nil
}

// hop returns the message about the call for the upstream's node.
func (cl *call) hop(pk *router.Pick, no uint32, budget int) *forwarderpb.Hop {
	return &forwarderpb.Hop{
		Target:         string(pk.Upstream.Instance),
		Request:        string(cl.id),
		Workspace:      string(cl.workspace),
		Route:          cl.row.Route,
		KeyId:          string(cl.keyID),
		Importance:     int32(cl.importance),
		Weight:         int32(cl.weight()),
		DeadlineUs:     time.Until(cl.deadline).Microseconds(),
		Budget:         int32(budget),
		Depth:          int32(cl.depth),
		Idempotent:     cl.idempotent,
		Attempt:        no,
		PatienceUs:     queueTimeout(cl.row).Microseconds(),
		RateLimitMilli: pk.RateLimit.Milli(),
	}
}

// A call may wait in an upstream's queue for its target latency divided by queueTimeoutDivisor,
// and for queueTimeoutShortest at least.
const (
	queueTimeoutDivisor  = 4
	queueTimeoutShortest = 40 * time.Millisecond
)

// queueTimeout returns how long a call of a row may wait in an upstream's queue; zero for a row without a target latency.
func queueTimeout(rw *registrar.Row) time.Duration {
	if rw.TargetLatency == 0 {
		return 0
	}
	return max(rw.TargetLatency/queueTimeoutDivisor, queueTimeoutShortest)
}

// outgoing returns the request to send to an upstream, without a target host.
func (fw *Forwarder) outgoing(ctx context.Context, req *http.Request, cl *call) *http.Request {
	target := *req.URL
	target.Scheme = "http"
	target.Host = ""
	out := (&http.Request{
		Method: req.Method, URL: &target, Host: req.Host, Header: sanitized(req.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	out.Header.Del("Expect")
	out.ContentLength = cl.body.length
	out.Body = cl.body.open()
	if len(req.Trailer) > 0 {
		out.Trailer = sanitized(req.Trailer)
		out.Body = &trailerCopier{ReadCloser: out.Body, bd: cl.body, out: out.Trailer}
	}
	return out
}
