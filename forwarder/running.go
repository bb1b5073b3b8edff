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
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

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
	// crowded tells that the upstream was busy when it answered with a refusal.
	crowded bool
}

// end ends the request and returns what it left of its retry budget.
func (rn *running) end(err error) int {
	abandoned := rn.ctx.Err() != nil
	// The outcome is known already; closing frees the connection only.
	_ = rn.rs.Body.Close()
	rn.fw.calls.End(rn.token)
	switch {
	case err == nil:
		if !failure(rn.rs.StatusCode) {
			rn.fw.progress.learn(rn.call.Route, rn.call.Answered())
		}
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

// outcome judges a whole answer. A refusal that a deeper service caused says nothing about this upstream, and one of an upstream
// that has room is no matter of load.
func (rn *running) outcome() admitter.Outcome {
	switch {
	case !refusalStatus(rn.rs.StatusCode):
		return admitter.OutcomeAnswered
	case rn.call.Refused(), !rn.crowded:
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
		Precedence: admitter.PrecedenceOf(gypsumhoist.RequestID(hop.GetRequest())),
		Siblings:   hop.GetSiblings(),
		Deadline:   deadline,
		Patience:   time.Duration(hop.GetPatienceUs()) * time.Microsecond,
	})
	if err != nil {
		rn.flight.end(quarantiner.EndNeutral)
		return asRefusal(err)
	}
	rn.ticket = tk
	rn.record.Note("admitter", "admitted", waitedText(tk.Waited()))
	return nil
}

// waitedText tells of a wait for a slot; nothing of one that no operator would notice.
func waitedText(waited time.Duration) string {
	if waited < time.Millisecond {
		return ""
	}
	return "waited " + waited.Round(time.Millisecond).String()
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
		Repeat:     hop.GetRepeat(),
		Siblings:   hop.GetSiblings(),
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
	rn.crowded = refusalStatus(rs.StatusCode) && rn.ticket.Crowded()
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
	if !rn.crowded {
		return gypsumhoist.NotRun(gypsumhoist.ReasonUpstreamRefused, wait, "the upstream refused the request though it has room, and says that it did not run")
	}
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
