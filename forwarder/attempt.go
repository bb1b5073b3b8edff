package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
)

func since(cl *call) time.Duration { return time.Since(cl.started) }

// attempts sends a request to one upstream after the other until one answers
// or no further attempt is allowed. An upstream's answer that tells of a failure of its own may be followed by another
// attempt; it stands where that one gets no answer.
func (fw *Forwarder) attempts(ctx context.Context, req *http.Request, cl *call) (*reply, *gypsumhoist.Refusal) {
	key := retrier.RowKey{Workspace: cl.workspace, Route: cl.row.Route}
	fw.retrier.First(key)
	if cl.parent != nil && cl.parent.Repeat {
		fw.retrier.Repeated(key)
	}
	tr := &trial{}
	for no := uint32(1); ; no++ {
		pk, err := fw.pick(cl, tr)
		if err != nil {
			return tr.end(cl, asRefusal(err))
		}
		cl.record.Note("router", "picked", string(pk.Upstream.Instance))
		rp, rf := fw.send(ctx, req, cl, &pk, no, tr.sent > 0)
		if rf == nil {
			tr.sent++
			if !fw.tryAgain(key, cl, rp, tr) {
				cl.passOn(rp)
				return rp, nil
			}
			cl.record.Note("forwarder", "attempt "+strconv.Itoa(int(no))+" answered "+strconv.Itoa(rp.rs.StatusCode), "")
			rp.end(nil)
			tr.failed = rp
			continue
		}
		cl.record.Note("forwarder", "attempt "+strconv.Itoa(int(no))+" failed: "+string(rf.Reason), rf.Detail)
		tr.last = worst(rf, tr.last)
		if untouched(rf) && tr.rerouted < reroutesMax && !fw.overloaded(cl, fw.router.View(cl.service).Upstreams) && !cl.body.spent() {
			tr.rerouted++
			cl.record.Note("router", "rerouted", "")
			continue
		}
		tr.sent++
		tr.note(pk.Upstream.Instance, rf)
		if tr.spent(cl) && len(tr.willing) == 0 || !fw.retry(key, cl, fw.failureOf(cl, rf, tr)) || !tr.rest(ctx) {
			return tr.end(cl, rf)
		}
	}
}

// tryAgain reports whether an answer is dropped for a further attempt: one that tells of a failure which arose at the upstream
// itself, as trying again where it began repeats the least work, and which is at hand whole, to be passed on after all.
func (fw *Forwarder) tryAgain(key retrier.RowKey, cl *call, rp *reply, tr *trial) bool {
	if !failure(rp.rs.StatusCode) || rp.rs.StatusCode == http.StatusGatewayTimeout || rp.childFailed() ||
		!rp.whole && rp.rs.Body != http.NoBody || tr.spent(cl) {
		return false
	}
	fl := fw.failureOf(cl, &gypsumhoist.Refusal{Verdict: gypsumhoist.VerdictRan}, tr)
	fl.Answered = true
	return fw.retry(key, cl, fl)
}

// failure reports whether a status tells of a failure of whoever gave it.
func failure(status int) bool { return status >= http.StatusInternalServerError }

// passOn tells the call that a nested call belongs to of a failure for too much load deeper down,
// so that news of it reaches the entry of the chain however long that is.
func (cl *call) passOn(rp *reply) {
	if cl.parent != nil && rp.childRefused && rp.rs.StatusCode >= http.StatusInternalServerError {
		cl.parent.NoteRefused()
	}
}

// reroutesMax bounds how often a call goes on to another node after one that did not hand it to its upstream.
const reroutesMax = 2

// untouched reports whether a node refused a call without having sent it to its upstream, for a cause that another node
// may not have, so that going on costs no upstream anything and is no retry.
func untouched(rf *gypsumhoist.Refusal) bool {
	if rf.Verdict != gypsumhoist.VerdictNotRun || !rf.Untouched {
		return false
	}
	switch rf.Reason {
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonLeaving, gypsumhoist.ReasonNoUpstream, gypsumhoist.ReasonConnection:
		return true
	default:
		return false
	}
}

// failureOf returns what is known of a failed attempt.
func (fw *Forwarder) failureOf(cl *call, rf *gypsumhoist.Refusal, tr *trial) retrier.Failure {
	vw := fw.router.View(cl.service)
	others := len(tr.willing)
	if !tr.spent(cl) {
		others += fw.router.Left(cl.service, tr.tried...)
	}
	return retrier.Failure{
		Rank:              retrier.Rank{Importance: cl.importance, Ahead: fw.progress.ahead(cl.parent)},
		Verdict:           rf.Verdict,
		Reason:            rf.Reason,
		Idempotent:        cl.idempotent,
		BodySpent:         cl.body.spent(),
		ServiceOverloaded: fw.overloaded(cl, vw.Upstreams),
		Others:            others,
		Remaining:         time.Until(cl.deadline),
		Needed:            vw.Latency,
	}
}

// retry decides whether a failed attempt is followed by another.
func (fw *Forwarder) retry(key retrier.RowKey, cl *call, fl retrier.Failure) bool {
	switch dec := fw.retrier.Decide(key, cl.row.RetryPercent, fl, cl.budget).(type) {
	case retrier.GiveUp:
		detail := ""
		if dec.Cause == retrier.CauseOverload {
			detail = fw.overloadText(cl)
		}
		cl.record.Note("retrier", "no retry: "+dec.Cause.String(), detail)
		return false
	default:
		cl.record.Note("retrier", "retry", "")
		return true
	}
}

// worst returns the newer refusal with the worse verdict of both:
// once an attempt may have run, no later one makes that untrue.
func worst(rf, before *gypsumhoist.Refusal) *gypsumhoist.Refusal {
	if before == nil || before.Verdict == gypsumhoist.VerdictNotRun || before.Verdict == rf.Verdict {
		return rf
	}
	out := *rf
	out.Verdict = before.Verdict
	return &out
}

// send makes one attempt. A refusal comes with the attempt ended; an answer ends it later.
func (fw *Forwarder) send(ctx context.Context, req *http.Request, cl *call, pk *router.Pick, no uint32, again bool) (*reply, *gypsumhoist.Refusal) {
	fw.meters.attempted()
	sh := cl.budget.DrawHandout()
	at := &attempt{fw: fw, cl: cl, pick: pk, share: &sh, hop: cl.hop(pk, no, sh.Retries()), started: time.Now()}
	at.hop.Siblings = fw.progress.several(cl.parent)
	at.hop.Repeat = again || cl.parent != nil && cl.parent.Repeat
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

// hop returns what the upstream's node must know of the call.
func (cl *call) hop(pk *router.Pick, no uint32, budget int) *forwarderpb.Hop {
	return &forwarderpb.Hop{
		Target:     string(pk.Upstream.Instance),
		Request:    string(cl.id),
		Workspace:  string(cl.workspace),
		Route:      cl.row.Route,
		KeyId:      string(cl.keyID),
		Importance: int32(cl.importance),
		Weight:     int32(cl.weight()),
		DeadlineUs: time.Until(cl.deadline).Microseconds(),
		Budget:     int32(budget),
		Depth:      int32(cl.depth),
		Idempotent: cl.idempotent,
		Attempt:    no,
		PatienceUs: patience(cl.row).Microseconds(),
	}
}

// patienceParts is of how many parts of its target latency a call may spend one on waiting for its turn,
// and patienceLeast how long it may wait at least.
const (
	patienceParts = 4
	patienceLeast = 40 * time.Millisecond
)

// patience returns how long a call of a row may wait for its turn; zero for a row without a target.
func patience(rw *registrar.Row) time.Duration {
	if rw.TargetLatency == 0 {
		return 0
	}
	return max(rw.TargetLatency/patienceParts, patienceLeast)
}

// outgoing returns the request as it goes to an upstream, without a target host.
func (fw *Forwarder) outgoing(ctx context.Context, req *http.Request, cl *call) *http.Request {
	target := *req.URL
	target.Scheme = "http"
	target.Host = ""
	out := (&http.Request{
		Method: req.Method, URL: &target, Host: req.Host, Header: clean(req.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	out.Header.Del("Expect")
	out.ContentLength = cl.body.length
	out.Body = cl.body.open()
	if len(req.Trailer) > 0 {
		out.Trailer = clean(req.Trailer)
		out.Body = &trailerCopier{ReadCloser: out.Body, bd: cl.body, out: out.Trailer}
	}
	return out
}
