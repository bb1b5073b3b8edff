package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// Peer returns the handler of calls that come from other nodes.
// Requests without HeaderHop go to next.
func (fw *Forwarder) Peer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		val := req.Header.Get(HeaderHop)
		if val == "" {
			next.ServeHTTP(wr, req)
			return
		}
		hop, err := DecodeHop(val)
		if err != nil {
			writeRefusal(wr, "", gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, err.Error()))
			return
		}
		fw.serveHop(wr, req, hop)
	})
}

// serveHop runs another node's call at this node's upstream.
func (fw *Forwarder) serveHop(wr http.ResponseWriter, req *http.Request, hop *forwarderpb.Hop) {
	left := time.Duration(hop.GetDeadlineUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(req.Context(), left)
	defer cancel()
	rn, rf := fw.runHere(ctx, hop, fw.outgoing(ctx, req, &call{body: streamBody(req)}))
	if rf != nil {
		fw.refuseHop(wr, hop, rf)
		return
	}
	unspent := 0
	rp := &reply{rs: rn.rs, done: func(err error) { unspent = rn.end(err) }}
	if rf := rp.prefetch(); rf != nil {
		fw.refuseHop(wr, hop, rf)
		return
	}
	if rp.whole {
		rp.end(nil)
	}
	head := fw.feedback(hop, unspent)
	head.ChildRefused = rn.call.Refused()
	wr.Header().Set(HeaderFeedback, encode(head))
	if err := copyAnswer(wr, rp.rs); err != nil {
		rp.end(err)
		panic(http.ErrAbortHandler)
	}
	if rp.whole {
		return
	}
	rp.end(nil)
	last := fw.feedback(hop, unspent)
	last.ChildRefused = rn.call.Refused()
	wr.Header().Set(http.TrailerPrefix+HeaderFeedback, encode(last))
}

func (fw *Forwarder) refuseHop(wr http.ResponseWriter, hop *forwarderpb.Hop, rf *gypsumhoist.Refusal) {
	fb := fw.feedback(hop, 0)
	fb.Refused = true
	fb.Verdict = uint32(rf.Verdict)
	fb.Reason = string(rf.Reason)
	fb.RetryAfterMs = rf.RetryAfter.Milliseconds()
	fb.Detail = rf.Detail
	fb.Untouched = rf.Untouched
	wr.Header().Set(HeaderFeedback, encode(fb))
	wr.WriteHeader(rf.Reason.Status())
}

// feedback returns what the caller's node should know of this one.
func (fw *Forwarder) feedback(hop *forwarderpb.Hop, unspent int) *forwarderpb.Feedback {
	ld := fw.admitter.Load()
	cut, age := fw.deeper.cutOff(hop.GetRoute(), fw)
	return &forwarderpb.Feedback{
		Tag: tagOf(hop), Budget: int32(unspent),
		InFlight: int32(ld.InFlight + ld.Waiting), Limit: int32(ld.Limit), CutOff: int32(ld.CutOff),
		RouteCutOff: int32(cut), RouteCutOffAgeUs: age.Microseconds(),
	}
}

// running is a request that has got its answer's head from this node's upstream.
type running struct {
	fw     *Forwarder
	ctx    context.Context
	rs     *http.Response
	ticket *admitter.Ticket
	token  string
	call   *authenticator.Call[*retrier.Budget]
	flight *flight
	budget *retrier.Budget
	record *explainer.Record
}

// end ends the request and returns what it left of its retry budget.
func (rn *running) end(err error) int {
	abandoned := rn.ctx.Err() != nil
	// The outcome is known already; closing frees the connection only.
	_ = rn.rs.Body.Close()
	rn.fw.calls.End(rn.token)
	switch {
	case err == nil:
		rn.ticket.Done(rn.outcome())
		rn.flight.end(quarantiner.EndCompleted)
	case abandoned:
		rn.ticket.Done(admitter.OutcomeAbandoned)
		rn.flight.end(quarantiner.EndNeutral)
	default:
		rn.ticket.Done(admitter.OutcomeFailed)
		rn.brokeOff()
	}
	rn.record.Status = rn.rs.StatusCode
	rn.fw.keep(rn.record)
	return rn.budget.Left()
}

// outcome judges a whole answer. A refusal that a deeper service caused says nothing about this upstream.
func (rn *running) outcome() admitter.Outcome {
	switch {
	case !refusalStatus(rn.rs.StatusCode):
		return admitter.OutcomeAnswered
	case rn.call.Refused():
		return admitter.OutcomeFailed
	default:
		return admitter.OutcomeOverloaded
	}
}

// refusalStatus reports whether an upstream answers with a status that stands for too much load.
func refusalStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runHere runs a call at this node's upstream until the head of its answer.
func (fw *Forwarder) runHere(ctx context.Context, hop *forwarderpb.Hop, out *http.Request) (*running, *gypsumhoist.Refusal) {
	rn := &running{fw: fw, ctx: ctx, budget: retrier.NewBudget(int(hop.GetBudget())), record: fw.hopRecord(hop, out)}
	rf := untouchedBy(fw.admit(ctx, hop, out, rn))
	if rf == nil {
		rf = fw.exchange(ctx, hop, out, rn)
	}
	if rf == nil {
		return rn, nil
	}
	rn.record.Note("forwarder", string(rf.Reason), rf.Detail)
	rn.record.Verdict = rf.Verdict.String()
	rn.record.Reason = rf.Reason
	fw.keep(rn.record)
	return nil, rf
}

// untouchedBy marks a refusal of a call that was not handed to the upstream.
func untouchedBy(rf *gypsumhoist.Refusal) *gypsumhoist.Refusal {
	if rf == nil {
		return nil
	}
	out := *rf
	out.Untouched = true
	return &out
}

func (fw *Forwarder) hopRecord(hop *forwarderpb.Hop, out *http.Request) *explainer.Record {
	return &explainer.Record{
		Request: gypsumhoist.RequestID(hop.GetRequest()), Instance: fw.instance, Hop: true, Started: time.Now(),
		Workspace: gypsumhoist.Workspace(hop.GetWorkspace()), Route: hop.GetRoute(), Method: out.Method,
		Key: hop.GetKeyId(), Importance: gypsumhoist.Importance(hop.GetImportance()),
	}
}

// admit asks everyone at the upstream's node who can refuse a call before it starts.
func (fw *Forwarder) admit(ctx context.Context, hop *forwarderpb.Hop, out *http.Request, rn *running) *gypsumhoist.Refusal {
	if rf := fw.checkHop(hop); rf != nil {
		return rf
	}
	fl, rf := fw.takeOff(ctx, hop, out)
	if rf != nil {
		return rf
	}
	rn.flight = fl
	deadline, _ := ctx.Deadline()
	tk, err := fw.admitter.Admit(ctx, admitter.Ask{
		Workspace:  gypsumhoist.Workspace(hop.GetWorkspace()),
		Route:      hop.GetRoute(),
		Weight:     int(hop.GetWeight()),
		Importance: gypsumhoist.Importance(hop.GetImportance()),
		Depth:      int(hop.GetDepth()),
		Deadline:   deadline,
		Patience:   time.Duration(hop.GetPatienceUs()) * time.Microsecond,
	})
	if err != nil {
		rn.flight.end(quarantiner.EndNeutral)
		return asRefusal(err)
	}
	rn.ticket = tk
	rn.record.Note("admitter", "admitted", "")
	return nil
}

// checkHop refuses calls that are not meant for this node's upstream as it is now,
// and those whose key this node knows to be withdrawn.
func (fw *Forwarder) checkHop(hop *forwarderpb.Hop) *gypsumhoist.Refusal {
	tb := fw.holder.Current()
	switch {
	case hop.GetTarget() != string(fw.instance):
		return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, 0, "the address belongs to another instance now")
	case fw.upstream.Load() == nil:
		return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, 0, "no upstream has announced itself here")
	case fw.leaving.Load(), fw.refusing.Load():
		return gypsumhoist.NotRun(gypsumhoist.ReasonLeaving, 0, "the upstream is leaving")
	case hop.GetKeyId() != "" && tb.Revision() > 0 && !tb.Granted(registrar.KeyID(hop.GetKeyId())):
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, 0, "the key is withdrawn, or newer than this node's table")
	default:
		return nil
	}
}

// exchange sends an admitted call to the upstream.
func (fw *Forwarder) exchange(ctx context.Context, hop *forwarderpb.Hop, out *http.Request, rn *running) *gypsumhoist.Refusal {
	up := fw.upstream.Load()
	if up == nil {
		rn.ticket.Done(admitter.OutcomeUnused)
		rn.flight.end(quarantiner.EndNeutral)
		return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, 0, "the upstream has gone")
	}
	deadline, _ := ctx.Deadline()
	rn.call = &authenticator.Call[*retrier.Budget]{
		Request:    gypsumhoist.RequestID(hop.GetRequest()),
		Workspace:  gypsumhoist.Workspace(hop.GetWorkspace()),
		Route:      hop.GetRoute(),
		KeyID:      hop.GetKeyId(),
		Importance: gypsumhoist.Importance(hop.GetImportance()),
		Deadline:   deadline,
		Depth:      int(hop.GetDepth()),
		Budget:     rn.budget,
	}
	rn.token = fw.calls.Begin(rn.call)
	out.Header.Set(gypsumhoist.HeaderCall, rn.token)
	out.Header.Set(gypsumhoist.HeaderRequest, hop.GetRequest())
	out.Header.Set(gypsumhoist.HeaderAttempt, strconv.FormatUint(uint64(hop.GetAttempt()), 10))
	if hop.GetDepth() > 0 {
		out.Header.Set(gypsumhoist.HeaderDepth, strconv.Itoa(int(hop.GetDepth())))
	}
	if hop.GetKeyId() != "" {
		out.Header.Set(gypsumhoist.HeaderWorkspace, hop.GetWorkspace())
	}
	out.Header.Set(gypsumhoist.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	rs, err := fw.head(ctx, up, out)
	if err != nil {
		rn.record.Note("connector", "failed", err.Error())
		rf := connectionRefusal(err)
		fw.fail(ctx, rn, rf)
		return rf
	}
	rn.rs = rs
	rn.ticket.Answered()
	return fw.checkAnswer(rn)
}

// head sends a request and waits for the head of its answer.
func (fw *Forwarder) head(ctx context.Context, up *upstreamSlot, out *http.Request) (*http.Response, error) {
	hctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(fw.firstByte, cancel)
	rs, err := up.trip.RoundTrip(out.WithContext(hctx))
	if err != nil {
		late.Stop()
		cancel()
		return nil, err
	}
	late.Stop()
	rs.Body = &cancelBody{ReadCloser: rs.Body, cancel: cancel}
	return rs, nil
}

// fail ends a call that got no answer.
func (fw *Forwarder) fail(ctx context.Context, rn *running, rf *gypsumhoist.Refusal) {
	fw.calls.End(rn.token)
	switch {
	case rf.Verdict == gypsumhoist.VerdictNotRun:
		rn.ticket.Done(admitter.OutcomeUnused)
		rn.flight.end(quarantiner.EndNeutral)
	case ctx.Err() != nil:
		rn.ticket.Done(admitter.OutcomeAbandoned)
		rn.flight.end(quarantiner.EndNeutral)
	default:
		rn.ticket.Done(admitter.OutcomeFailed)
		rn.brokeOff()
	}
}

// checkAnswer turns answers that are refusals, or can't be passed on whole, into refusals.
func (fw *Forwarder) checkAnswer(rn *running) *gypsumhoist.Refusal {
	rs := rn.rs
	if unframed(rs) && !fw.unframed {
		rn.end(errUnframed)
		return &gypsumhoist.Refusal{Verdict: gypsumhoist.VerdictRan, Reason: gypsumhoist.ReasonConnection, Detail: errUnframed.Error()}
	}
	// An upstream that made a call of its own has run, whatever it copies from that call's refusal.
	if rn.call.Nested() || rs.StatusCode < http.StatusBadRequest ||
		rs.Header.Get(gypsumhoist.HeaderVerdict) != gypsumhoist.VerdictNotRun.String() {
		return nil
	}
	wait := retryAfterOf(rs.Header)
	rn.end(nil)
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, wait, "the upstream refused the request and says that it did not run")
}

// retryAfterOf reads a Retry-After header in seconds; anything else gives zero.
func retryAfterOf(hd http.Header) time.Duration {
	sec, err := strconv.Atoi(hd.Get("Retry-After"))
	if err != nil || sec < 0 || sec > int(time.Hour/time.Second) {
		return 0
	}
	return time.Duration(sec) * time.Second
}
