package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Callers returns the handler of the port for callers' requests.
// It must get paths unchanged, so it is not served through a library's router.
func (fw *Forwarder) Callers() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) { fw.serve(wr, req, fw.resolve) })
}

// Outbound returns the handler of the port for the upstream's own calls.
func (fw *Forwarder) Outbound() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) { fw.serve(wr, req, fw.resolveNested) })
}

// serve handles one request from its arrival to the end of its answer.
func (fw *Forwarder) serve(wr http.ResponseWriter, req *http.Request, enter func(*http.Request, *call) *gypsumhoist.Refusal) {
	cl := &call{id: fw.identify(req), started: time.Now(), fromHTTP10: req.ProtoMajor == 1 && req.ProtoMinor == 0}
	cl.record = &explainer.Record{Request: cl.id, Instance: fw.instance, Started: cl.started, Method: req.Method}
	req.Body = http.MaxBytesReader(wr, req.Body, fw.bodyBytes)
	rf := enter(req, cl)
	cl.record.Request = cl.id
	cl.record.Revision = cl.revision
	if rf != nil {
		fw.refuse(wr, cl, "authenticator", rf)
		return
	}
	cl.applyCallerDeadline(req.Header)
	fw.setTarget(cl)
	fw.fillRecord(cl)
	if rf := fw.bufferBody(req, cl); rf != nil {
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	ctx, cancel := context.WithDeadline(req.Context(), cl.deadline.Add(verdictGrace))
	defer cancel()
	defer context.AfterFunc(fw.aborted, cancel)()
	if cl.parent != nil {
		defer context.AfterFunc(cl.parent.Abandoned(), cancel)()
	}
	fw.execute(ctx, wr, req, cl)
}

// leavingRetryAfter is when a caller whose request came too late for a stopping process should come back to its address.
const leavingRetryAfter = time.Second

// verdictGrace is how long after a request's deadline its entry node still waits for an answer: the upstream's node knows
// at the deadline whether the request has run, and the entry node should not guess.
const verdictGrace = 25 * time.Millisecond

// Range of the retry-after times of a node whose table is not confirmed yet, as after its start or that of the whole fleet.
const (
	unconfirmedRetryShortest = 250 * time.Millisecond
	unconfirmedRetryLongest  = 750 * time.Millisecond
)

func unconfirmedRetryAfter() time.Duration {
	return unconfirmedRetryShortest + rand.N(unconfirmedRetryLongest-unconfirmedRetryShortest)
}

// fillRecord fills the record with what the row determines, and reports the service to the watch.
func (fw *Forwarder) fillRecord(cl *call) {
	rc := cl.record
	rc.Workspace = cl.workspace
	rc.Route = cl.row.Route
	rc.Row = cl.row.Number
	rc.Key = string(cl.keyID)
	rc.Service = cl.service
	rc.Importance = cl.importance
	rc.Depth = cl.depth
	if fw.watch != nil {
		fw.watch(cl.service)
	}
}

// bufferBody reads the part of the body that is kept for further attempts.
func (fw *Forwarder) bufferBody(req *http.Request, cl *call) *gypsumhoist.Refusal {
	if req.ContentLength > fw.bodyBytes {
		return gypsumhoist.NotRun(gypsumhoist.ReasonTooLarge, 0, "the body is longer than the node's settings allow")
	}
	bd, rf := readBody(req)
	if rf != nil {
		return rf
	}
	cl.body = bd
	return nil
}

// run admits a request at its entry and sends it to upstreams.
// It returns the answer, or a refusal with the verdict over all attempts.
func (fw *Forwarder) run(ctx context.Context, req *http.Request, cl *call) (*reply, *gypsumhoist.Refusal) {
	if rf := fw.admitAtEntry(ctx, cl); rf != nil {
		return nil, rf
	}
	return fw.tryUpstreams(ctx, req, cl)
}

// admitAtEntry runs everything that can refuse a request at its entry: forecast, throttler and rate.
// Nested calls take no tokens.
func (fw *Forwarder) admitAtEntry(ctx context.Context, cl *call) *gypsumhoist.Refusal {
	if rf := fw.checkForecast(cl); rf != nil {
		cl.record.Note("admitter", "refused early", rf.Detail)
		return rf
	}
	if rf := fw.checkThrottle(cl); rf != nil {
		cl.record.Note("throttler", "refused early", rf.Detail)
		return rf
	}
	if cl.nested || fw.spender == nil {
		fw.nestedTargets.learn(cl)
		return nil
	}
	for _, rw := range []*registrar.Row{cl.workspaceRow, cl.row} {
		if rw == nil || !rw.RateLimited() {
			continue
		}
		if err := fw.spender.Spend(ctx, rw, cl.importance); err != nil {
			rf := asRefusal(err)
			cl.record.Note("limiter", "refused", rf.Detail)
			return rf
		}
		cl.record.Note("limiter", "token spent", "")
	}
	return nil
}

// asRefusal returns the refusal in an error's chain.
// Any other error is a fault of the node, after which the request may have run.
func asRefusal(err error) *gypsumhoist.Refusal {
	var rf *gypsumhoist.Refusal
	if errors.As(err, &rf) {
		return rf
	}
	return gypsumhoist.MayHaveRun(gypsumhoist.ReasonInternal, err.Error())
}

// refuse answers with a refusal and saves the record.
func (fw *Forwarder) refuse(wr http.ResponseWriter, cl *call, component string, rf *gypsumhoist.Refusal) {
	rf = fw.ofAborted(rf, gypsumhoist.ReasonDeadline)
	cl.record.Note(component, string(rf.Reason), rf.Detail)
	cl.record.Verdict = rf.Verdict.String()
	cl.record.Reason = rf.Reason
	cl.record.Status = rf.Reason.Status()
	fw.meters.refused(rf.Reason)
	if cl.parent != nil {
		cl.parent.RecordRefused(rf.Reason == gypsumhoist.ReasonUpstreamRefused && fw.reportsLoad(cl.service))
		cl.parent.RecordFailed()
	}
	writeRefusal(wr, cl.id, rf)
	fw.finish(cl, false)
}

// ofAborted returns the refusal of a request that Abort may have ended, whose caller is still there; rs is the reason if it may have run.
func (fw *Forwarder) ofAborted(rf *gypsumhoist.Refusal, rs gypsumhoist.Reason) *gypsumhoist.Refusal {
	switch {
	case rf.Reason != gypsumhoist.ReasonCanceled || fw.aborted.Err() == nil:
		return rf
	case rf.Verdict == gypsumhoist.VerdictNotRun:
		return gypsumhoist.NotRun(gypsumhoist.ReasonLeaving, leavingRetryAfter, "the instance is stopping")
	default:
		return gypsumhoist.MayHaveRun(rs, "the instance stopped before the upstream answered")
	}
}

// finish reports the end of a request to the throttler and the observer and saves the record.
func (fw *Forwarder) finish(cl *call, succeeded bool) {
	fw.reportToThrottler(cl)
	fw.learnDuration(cl, succeeded)
	cl.record.Late = cl.row != nil && cl.row.TargetLatency > 0 && time.Since(cl.started) > cl.row.TargetLatency
	fw.saveRecord(cl.record)
	if fw.observe == nil || cl.nested || cl.row == nil {
		return
	}
	fw.observe(Observation{
		Row: cl.row, Succeeded: succeeded, Status: cl.record.Status, Reason: cl.record.Reason, Took: time.Since(cl.started),
	})
}
