package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/retrier"
	"github.com/gypsumhoist/gypsumhoist/router"
)

// attempt is one exchange with the node of one upstream.
type attempt struct {
	fw          *Forwarder
	cl          *call
	pick        *router.Pick
	share       *retrier.Share
	hop         *forwarderpb.Hop
	started     time.Time
	headLatency time.Duration
	counted     *countedBody // the answer's body if its length is not known
}

// local runs the call at this node's own upstream.
func (at *attempt) local(ctx context.Context, out *http.Request) (*reply, *gypsumhoist.Refusal) {
	ctx, cancel := context.WithDeadline(ctx, at.cl.deadline)
	rn, rf := at.fw.runLocally(ctx, at.hop, out.WithContext(ctx))
	at.headLatency = time.Since(at.started)
	head := at.fw.feedback(at.hop, 0)
	at.pick.Report(reportOf(head))
	if rf != nil {
		cancel()
		at.refused(rf, head)
		return nil, rf
	}
	at.countBody(rn.rs)
	rp := &reply{rs: rn.rs, childRefused: rn.call.Refused(), refusedWithRoom: rn.call.RefusedWithRoom(), childFailed: rn.call.Failed}
	rp.onEnd = func(err error) {
		unspent := rn.end(err)
		cancel()
		fb := at.fw.feedback(at.hop, unspent)
		fb.ChildRefused, fb.RefusedWithRoom = rn.call.Refused(), rn.call.RefusedWithRoom()
		at.answered(rp.rs, fb, err)
	}
	return rp, nil
}

// remote runs the call at another node's upstream.
func (at *attempt) remote(out *http.Request) (*reply, *gypsumhoist.Refusal) {
	addr := at.pick.Upstream.Peer
	out.Header.Set(HeaderHop, encode(at.hop))
	base := at.fw.peers.URL(addr)
	target, err := out.URL.Parse(base)
	if err != nil {
		at.neutral()
		return nil, gypsumhoist.NotRun(gypsumhoist.ReasonInternal, 0, fmt.Sprintf("peer URL %q: %v", base, err))
	}
	out.URL.Scheme, out.URL.Host = target.Scheme, target.Host
	rs, err := at.fw.peers.Do(out)
	at.headLatency = time.Since(at.started)
	if err != nil {
		return nil, at.failed(err)
	}
	fb, rf := at.checkFeedback(rs)
	if rf != nil {
		return nil, rf
	}
	report := reportOf(fb)
	report.RoundTrip = roundTripOf(fb, at.headLatency)
	at.pick.Report(report)
	if fb.GetRefused() {
		// The body of a refusal is not needed; closing only frees the connection.
		_ = rs.Body.Close()
		return nil, at.refused(refusalOf(fb), fb)
	}
	at.countBody(rs)
	rp := &reply{rs: rs, childRefused: fb.GetChildRefused(), refusedWithRoom: fb.GetRefusedWithRoom(), childFailed: fb.GetChildFailed}
	rp.onEnd = func(err error) { at.answered(rs, lastFeedback(rs, fb), err) }
	return rp, nil
}

// checkFeedback accepts an answer only if it belongs to this attempt.
func (at *attempt) checkFeedback(rs *http.Response) (*forwarderpb.Feedback, *gypsumhoist.Refusal) {
	fb, err := DecodeFeedback(rs.Header.Get(HeaderFeedback))
	if err == nil && (fb.GetTag() != answerTag(at.hop)) {
		err = errors.New("the answer belongs to another request")
	}
	if err == nil {
		return fb, nil
	}
	// The answer is dropped; closing only frees the connection.
	_ = rs.Body.Close()
	at.pick.Done(router.Outcome{Result: router.ResultFailed, Latency: at.headLatency})
	return nil, gypsumhoist.MayHaveRun(gypsumhoist.ReasonConnection, "the peer's answer can't be taken: "+err.Error())
}

// failed ends an attempt that got no answer.
func (at *attempt) failed(err error) *gypsumhoist.Refusal {
	rf := connectionRefusal(err)
	at.cl.record.Note("connector", "failed", err.Error())
	oc := router.Outcome{Result: router.ResultFailed, Latency: at.headLatency}
	if rf.Reason == gypsumhoist.ReasonCanceled {
		oc.Result = router.ResultNeutral
	}
	if rf.Verdict == gypsumhoist.VerdictNotRun {
		// A missing connection says nothing about the upstream; reachability is tracked elsewhere.
		oc.Result = router.ResultNeutral
		rf.NotForwarded = true
		at.share.Return(at.share.Retries())
	}
	at.pick.Done(oc)
	return rf
}

// refused ends an attempt that the upstream's node refused.
func (at *attempt) refused(rf *gypsumhoist.Refusal, fb *forwarderpb.Feedback) *gypsumhoist.Refusal {
	unspent := int(fb.GetBudget())
	if rf.Verdict == gypsumhoist.VerdictNotRun {
		unspent = at.share.Retries()
	}
	at.share.Return(unspent)
	at.noteCutOffs(fb)
	at.pick.Done(router.Outcome{Result: refusalResult(rf), Latency: at.headLatency, Load: loadOf(fb)})
	return rf
}

// answered ends an attempt whose answer has ended, complete or with an error.
func (at *attempt) answered(rs *http.Response, fb *forwarderpb.Feedback, err error) {
	at.share.Return(int(fb.GetBudget()))
	at.noteCutOffs(fb)
	oc := router.Outcome{Result: answerResult(rs.StatusCode), Latency: at.headLatency, Load: loadOf(fb)}
	at.cl.childOverloaded = at.cl.childOverloaded || fb.GetChildRefused() && !fb.GetRefusedWithRoom()
	if err != nil || fb.GetChildRefused() {
		oc.Result = router.ResultNeutral
	}
	if err == nil {
		at.learnBytes(rs)
	}
	at.pick.Done(oc)
}

// neutral ends an attempt that says nothing about the upstream.
func (at *attempt) neutral() {
	at.share.Return(at.share.Retries())
	at.pick.Done(router.Outcome{Result: router.ResultNeutral})
}

func (at *attempt) noteCutOffs(fb *forwarderpb.Feedback) {
	from := at.pick.Upstream.Instance
	at.fw.forecaster.Observe(at.cl.target(), from, gypsumhoist.Importance(fb.GetCutOff()))
	at.fw.forecaster.ObserveAged(at.cl.routeTarget(), from, gypsumhoist.Importance(fb.GetRouteCutOff()),
		time.Duration(fb.GetRouteCutOffAgeUs())*time.Microsecond)
}

func loadOf(fb *forwarderpb.Feedback) *router.Load {
	if fb.GetLimit() == 0 {
		return nil
	}
	return &router.Load{
		InFlight: int(fb.GetInFlight()), Limit: int(fb.GetLimit()), RateLimited: gypsumhoist.RateLimitOfMilli(fb.RateLimitMilli).Limited(),
	}
}

// reportOf returns what a feedback says about the upstream itself.
func reportOf(fb *forwarderpb.Feedback) router.Report {
	return router.Report{
		RateLimit: gypsumhoist.RateLimitOfMilli(fb.RateLimitMilli), Draining: fb.DrainingProcess != nil, Process: fb.GetDrainingProcess(),
		Load: loadReportOf(fb),
	}
}

// lastFeedback returns the feedback in the trailer of an answer, or else the one in its header,
// which holds the unspent budget only if the answer was complete by then.
func lastFeedback(rs *http.Response, head *forwarderpb.Feedback) *forwarderpb.Feedback {
	// A missing trailer would decode as an empty message.
	val := rs.Trailer.Get(HeaderFeedback)
	if val == "" {
		return head
	}
	fb, err := DecodeFeedback(val)
	if err != nil {
		return head
	}
	return fb
}

func refusalOf(fb *forwarderpb.Feedback) *gypsumhoist.Refusal {
	return &gypsumhoist.Refusal{
		Verdict:      gypsumhoist.Verdict(fb.GetVerdict()),
		Reason:       gypsumhoist.Reason(fb.GetReason()),
		RetryAfter:   time.Duration(fb.GetRetryAfterMs()) * time.Millisecond,
		Detail:       fb.GetDetail(),
		NotForwarded: fb.GetUntouched(),
	}
}

// connectionRefusal turns the error of a connection pool into a refusal.
func connectionRefusal(err error) *gypsumhoist.Refusal {
	var fl *connector.Failure
	if !errors.As(err, &fl) {
		return gypsumhoist.MayHaveRun(gypsumhoist.ReasonConnection, err.Error())
	}
	return &gypsumhoist.Refusal{Verdict: fl.Verdict, Reason: fl.Reason, Detail: connectionDetail(fl)}
}

// connectionDetail describes a failure for callers; addresses and causes are only for the nodes' records.
func connectionDetail(fl *connector.Failure) string {
	switch {
	case fl.Reason == gypsumhoist.ReasonDeadline:
		return "the deadline passed before the upstream answered"
	case fl.Reason == gypsumhoist.ReasonCanceled:
		return "the caller went away"
	case fl.Verdict == gypsumhoist.VerdictNotRun:
		return "no connection to the upstream could be had"
	default:
		return "the connection to the upstream broke"
	}
}

func refusalResult(rf *gypsumhoist.Refusal) router.Result {
	switch rf.Reason {
	case gypsumhoist.ReasonOverload:
		return router.ResultOverloaded
	case gypsumhoist.ReasonLeaving:
		return router.ResultLeaving
	case gypsumhoist.ReasonConnection, gypsumhoist.ReasonNoUpstream, gypsumhoist.ReasonInternal,
		gypsumhoist.ReasonUpstreamRefused:
		return router.ResultFailed
	default:
		return router.ResultNeutral
	}
}

func answerResult(status int) router.Result {
	switch {
	case overloadStatus(status):
		return router.ResultOverloaded
	case status >= http.StatusInternalServerError:
		return router.ResultFailed
	default:
		return router.ResultAnswered
	}
}
