package forwarder

import (
	"cmp"
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
// or no further attempt is allowed.
func (fw *Forwarder) attempts(ctx context.Context, req *http.Request, cl *call) (*reply, *gypsumhoist.Refusal) {
	key := retrier.RowKey{Workspace: cl.workspace, Route: cl.row.Route}
	fw.retrier.First(key)
	var tried []gypsumhoist.Instance
	var last *gypsumhoist.Refusal
	sent, rerouted := 0, 0
	for no := uint32(1); ; no++ {
		pk, err := fw.router.Pick(cl.service, cl.idempotent, tried...)
		if err != nil {
			return nil, cmp.Or(last, asRefusal(err))
		}
		tried = append(tried, pk.Upstream.Instance)
		cl.record.Note("router", "picked", string(pk.Upstream.Instance))
		rp, rf := fw.send(ctx, req, cl, &pk, no)
		if rf == nil {
			cl.passOn(rp)
			return rp, nil
		}
		cl.record.Note("forwarder", "attempt "+strconv.Itoa(int(no))+" failed: "+string(rf.Reason), rf.Detail)
		last = worst(rf, last)
		if untouched(rf) && rerouted < reroutesMax && !fw.overloaded(cl, fw.router.View(cl.service).Upstreams) {
			rerouted++
			cl.record.Note("router", "rerouted", "")
			continue
		}
		sent++
		if cl.row.Attempts > 0 && sent >= cl.row.Attempts || !fw.retry(key, cl, rf, len(tried)) {
			return nil, last
		}
	}
}

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
	case gypsumhoist.ReasonOverload, gypsumhoist.ReasonLeaving, gypsumhoist.ReasonNoUpstream:
		return true
	default:
		return false
	}
}

// retry decides whether a failed attempt is followed by another.
func (fw *Forwarder) retry(key retrier.RowKey, cl *call, rf *gypsumhoist.Refusal, tried int) bool {
	vw := fw.router.View(cl.service)
	dec := fw.retrier.Decide(key, cl.row.RetryPercent, retrier.Failure{
		Verdict:           rf.Verdict,
		Reason:            rf.Reason,
		Idempotent:        cl.idempotent,
		BodySpent:         cl.body.spent(),
		ServiceOverloaded: fw.overloaded(cl, vw.Upstreams),
		Others:            vw.Upstreams - tried,
		Remaining:         time.Until(cl.deadline),
		Needed:            vw.Latency,
	}, cl.budget)
	switch dec := dec.(type) {
	case retrier.GiveUp:
		cl.record.Note("retrier", "no retry: "+dec.Cause.String(), "")
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
func (fw *Forwarder) send(ctx context.Context, req *http.Request, cl *call, pk *router.Pick, no uint32) (*reply, *gypsumhoist.Refusal) {
	fw.meters.attempted()
	sh := cl.budget.DrawHandout()
	at := &attempt{fw: fw, cl: cl, pick: pk, share: &sh, hop: cl.hop(pk, no, sh.Retries()), started: time.Now()}
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
