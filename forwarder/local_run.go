package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/quarantiner"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// localRun is a request at this node's upstream, from its admission to the end of its answer.
type localRun struct {
	fw        *Forwarder
	ctx       context.Context
	rs        *http.Response
	ticket    *admitter.Ticket
	callToken string
	call      *authenticator.Call[*retrier.Budget]
	flight    *flight
	budget    *retrier.Budget
	record    *explainer.Record
	// busy is set if the upstream refused the request while it was busy enough to refuse for overload.
	busy bool
}

// end ends the request and returns what is left of its retry budget.
func (rn *localRun) end(err error) int {
	abandoned := rn.ctx.Err() != nil
	// The outcome is known already; closing only frees the connection.
	_ = rn.rs.Body.Close()
	rn.endCall(abandoned && err != nil)
	switch {
	case err == nil:
		if !isServerError(rn.rs.StatusCode) {
			rn.fw.nestedStats.learn(rn.call.Route, rn.call.Answered())
		}
		rn.ticket.Done(rn.outcome())
		rn.flight.end(quarantiner.EndCompleted)
	case abandoned:
		rn.ticket.Done(admitter.OutcomeAbandoned)
		rn.flight.end(quarantiner.EndNeutral)
	default:
		rn.ticket.Done(admitter.OutcomeFailed)
		rn.reportBroken()
	}
	rn.record.Status = rn.rs.StatusCode
	rn.fw.saveRecord(rn.record)
	return rn.budget.Left()
}

// endCall ends the call for which the upstream may make nested ones. One that is abandoned ends those, too.
func (rn *localRun) endCall(abandoned bool) {
	if abandoned {
		rn.fw.calls.Abandon(rn.callToken)
		return
	}
	rn.fw.calls.End(rn.callToken)
}

// outcome judges a complete answer. A refusal caused by a service further down the chain says nothing about this upstream's
// load, nor does one by an upstream that has room.
func (rn *localRun) outcome() admitter.Outcome {
	switch {
	case !overloadStatus(rn.rs.StatusCode):
		return admitter.OutcomeAnswered
	case rn.call.Refused(), !rn.busy:
		return admitter.OutcomeFailed
	default:
		return admitter.OutcomeOverloaded
	}
}

// upstreamFull reports whether the upstream refused the request because it is full: by the load that the answer reports if the calling
// node uses load reports, or else by the slots in use.
func (rn *localRun) upstreamFull(byReport bool) bool {
	if byReport {
		lr, err := gypsumhoist.ParseLoadReport(rn.rs.Header.Get(gypsumhoist.HeaderLoad))
		if err == nil && lr.Known() {
			return !lr.HasRoom()
		}
	}
	return rn.ticket.UpstreamBusy()
}

// overloadStatus reports whether an upstream's status means overload.
func overloadStatus(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// runLocally runs a call at this node's upstream up to the head of its answer.
func (fw *Forwarder) runLocally(ctx context.Context, hop *forwarderpb.Hop, out *http.Request) (*localRun, *gypsumhoist.Refusal) {
	rn := &localRun{fw: fw, ctx: ctx, budget: retrier.NewBudget(int(hop.GetBudget())), record: fw.hopRecord(hop, out)}
	rf := markNotForwarded(fw.admit(ctx, hop, out, rn))
	if rf == nil {
		rf = fw.sendToUpstream(ctx, hop, out, rn)
	}
	if rf == nil {
		return rn, nil
	}
	rn.record.Note("forwarder", string(rf.Reason), rf.Detail)
	rn.record.Verdict = rf.Verdict.String()
	rn.record.Reason = rf.Reason
	fw.saveRecord(rn.record)
	return nil, rf
}

// markNotForwarded marks a refusal as that of a call that was not handed to the upstream.
func markNotForwarded(rf *gypsumhoist.Refusal) *gypsumhoist.Refusal {
	if rf == nil {
		return nil
	}
	out := *rf
	out.NotForwarded = true
	return &out
}

// admit runs everything at the upstream's node that can refuse a call before it starts: checks, quarantine and admission.
func (fw *Forwarder) admit(ctx context.Context, hop *forwarderpb.Hop, out *http.Request, rn *localRun) *gypsumhoist.Refusal {
	if rf := fw.checkHop(hop); rf != nil {
		return rf
	}
	fl, rf := fw.checkQuarantine(ctx, hop, out)
	if rf != nil {
		return rf
	}
	rn.flight = fl
	if limit := gypsumhoist.RateLimitOfMilli(hop.RateLimitMilli); limit.Known() {
		fw.admitter.SetRateLimit(limit, admitter.RateLimitFromPeer)
	}
	deadline, _ := ctx.Deadline()
	var target time.Time
	if hop.GetLoadReported() {
		target = targetOf(hop)
	}
	tk, err := fw.admitter.Admit(ctx, admitter.Request{
		Workspace:    gypsumhoist.Workspace(hop.GetWorkspace()),
		Route:        hop.GetRoute(),
		Weight:       int(hop.GetWeight()),
		Importance:   gypsumhoist.Importance(hop.GetImportance()),
		Depth:        int(hop.GetDepth()),
		Precedence:   admitter.PrecedenceOf(gypsumhoist.RequestID(hop.GetRequest())),
		Siblings:     hop.GetSiblings(),
		Committed:    hop.GetCommitted(),
		LoadReported: hop.GetLoadReported(),
		Target:       target,
		Deadline:     deadline,
		MaxWait:      time.Duration(hop.GetPatienceUs()) * time.Microsecond,
	})
	if err != nil {
		rn.flight.end(quarantiner.EndNeutral)
		return asRefusal(err)
	}
	rn.ticket = tk
	rn.record.Note("admitter", "admitted", waitDetail(tk.Waited()))
	return nil
}

// targetOf returns when a call is due for its request to meet its target; the zero time if it is patient or that is not known.
func targetOf(hop *forwarderpb.Hop) time.Time {
	if hop.TargetUs == nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(hop.GetTargetUs()) * time.Microsecond)
}

// waitDetail describes a wait for a slot; it is empty below a millisecond, which no operator would notice.
func waitDetail(waited time.Duration) string {
	if waited < time.Millisecond {
		return ""
	}
	return "waited " + waited.Round(time.Millisecond).String()
}

// sendToUpstream sends an admitted call to the upstream and checks the head of its answer.
func (fw *Forwarder) sendToUpstream(ctx context.Context, hop *forwarderpb.Hop, out *http.Request, rn *localRun) *gypsumhoist.Refusal {
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
		Repeat:     hop.GetRepeat(),
		Siblings:   hop.GetSiblings(),
		Committed:  hop.GetCommitted(),
		Target:     targetOf(hop),
	}
	rn.callToken = fw.calls.Begin(rn.call)
	out.Header.Set(gypsumhoist.HeaderCall, rn.callToken)
	out.Header.Set(gypsumhoist.HeaderRequest, hop.GetRequest())
	out.Header.Set(gypsumhoist.HeaderAttempt, strconv.FormatUint(uint64(hop.GetAttempt()), 10))
	if hop.GetDepth() > 0 {
		out.Header.Set(gypsumhoist.HeaderDepth, strconv.Itoa(int(hop.GetDepth())))
	}
	if hop.GetKeyId() != "" {
		out.Header.Set(gypsumhoist.HeaderWorkspace, hop.GetWorkspace())
	}
	out.Header.Set(gypsumhoist.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	if hop.GetAttempt() > 1 && !hop.GetIdempotent() {
		// An earlier attempt may have been refused here, and that refusal can come once more on its connection.
		ctx = connector.WithOwnConnection(ctx)
	}
	rs, err := fw.roundTrip(ctx, up, out)
	if err != nil {
		rn.record.Note("connector", "failed", err.Error())
		rf := connectionRefusal(err)
		fw.fail(ctx, rn, rf)
		return rf
	}
	rn.rs = rs
	fw.noteReports(up, rs.Header, rn.record)
	rn.busy = overloadStatus(rs.StatusCode) && rn.upstreamFull(hop.GetLoadReported())
	rn.ticket.Answered()
	return fw.checkAnswer(rn)
}

// roundTrip sends a request and waits for the head of its answer, for firstByte at most.
func (fw *Forwarder) roundTrip(ctx context.Context, up *upstreamSlot, out *http.Request) (*http.Response, error) {
	hctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(fw.firstByte, cancel)
	rs, err := up.transport.RoundTrip(out.WithContext(hctx))
	if err != nil {
		timer.Stop()
		cancel()
		return nil, err
	}
	timer.Stop()
	rs.Body = &cancelBody{ReadCloser: rs.Body, cancel: cancel}
	return rs, nil
}

// fail ends a call that got no answer.
func (fw *Forwarder) fail(ctx context.Context, rn *localRun, rf *gypsumhoist.Refusal) {
	rn.endCall(ctx.Err() != nil)
	switch {
	case rf.Verdict == gypsumhoist.VerdictNotRun:
		rn.ticket.Done(admitter.OutcomeUnused)
		rn.flight.end(quarantiner.EndNeutral)
	case ctx.Err() != nil:
		rn.ticket.Done(admitter.OutcomeAbandoned)
		rn.flight.end(quarantiner.EndNeutral)
	default:
		rn.ticket.Done(admitter.OutcomeFailed)
		rn.reportBroken()
	}
}

// checkAnswer returns a refusal for an answer that is one, or that can't be told to be complete.
func (fw *Forwarder) checkAnswer(rn *localRun) *gypsumhoist.Refusal {
	rs := rn.rs
	if unframed(rs) && !fw.acceptUnframed {
		rn.end(errUnframed)
		return &gypsumhoist.Refusal{Verdict: gypsumhoist.VerdictRan, Reason: gypsumhoist.ReasonConnection, Detail: errUnframed.Error()}
	}
	// An upstream that made a nested call has run, whatever it copies from that call's refusal.
	if rn.call.Nested() || rs.StatusCode < http.StatusBadRequest ||
		rs.Header.Get(gypsumhoist.HeaderVerdict) != gypsumhoist.VerdictNotRun.String() {
		return nil
	}
	wait := retryAfterOf(rs.Header)
	rn.end(nil)
	if !rn.busy {
		return gypsumhoist.NotRun(gypsumhoist.ReasonUpstreamRefused, wait, "the upstream refused the request though it has room, and says that it did not run")
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, wait, "the upstream refused the request and says that it did not run")
}

// retryAfterOf parses a Retry-After header in seconds, up to an hour; anything else gives zero.
func retryAfterOf(hd http.Header) time.Duration {
	sec, err := strconv.Atoi(hd.Get("Retry-After"))
	if err != nil || sec < 0 || sec > int(time.Hour/time.Second) {
		return 0
	}
	return time.Duration(sec) * time.Second
}
