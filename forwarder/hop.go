package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/forwarder/forwarderpb"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Peer returns the handler of calls from other nodes.
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
	arrived := time.Now()
	left := time.Duration(hop.GetDeadlineUs()) * time.Microsecond
	ctx, cancel := context.WithTimeout(req.Context(), left)
	defer cancel()
	defer context.AfterFunc(fw.aborted, cancel)()
	rn, rf := fw.runLocally(ctx, hop, fw.outgoing(ctx, req, &call{body: streamBody(req)}))
	if rf != nil {
		fw.refuseHop(wr, hop, rf)
		return
	}
	unspent := 0
	rp := &reply{rs: rn.rs, onEnd: func(err error) { unspent = rn.end(err) }}
	if rf := rp.prefetch(); rf != nil {
		fw.refuseHop(wr, hop, rf)
		return
	}
	if rp.complete {
		rp.end(nil)
	}
	head := fw.feedback(hop, unspent)
	head.ChildRefused, head.RefusedWithRoom, head.ChildFailed = rn.call.Refused(), rn.call.RefusedWithRoom(), rn.call.Failed()
	noteHeld(head, arrived)
	wr.Header().Set(HeaderFeedback, encode(head))
	if err := copyAnswer(wr, rp.rs); err != nil {
		rp.end(err)
		panic(http.ErrAbortHandler)
	}
	if rp.complete {
		return
	}
	rp.end(nil)
	last := fw.feedback(hop, unspent)
	last.ChildRefused, last.RefusedWithRoom = rn.call.Refused(), rn.call.RefusedWithRoom()
	wr.Header().Set(http.TrailerPrefix+HeaderFeedback, encode(last))
}

func (fw *Forwarder) refuseHop(wr http.ResponseWriter, hop *forwarderpb.Hop, rf *gypsumhoist.Refusal) {
	// The node that sent it may try another upstream, as after a connection that broke.
	rf = fw.ofAborted(rf, gypsumhoist.ReasonConnection)
	fb := fw.feedback(hop, 0)
	fb.Refused = true
	fb.Verdict = uint32(rf.Verdict)
	fb.Reason = string(rf.Reason)
	fb.RetryAfterMs = rf.RetryAfter.Milliseconds()
	fb.Detail = rf.Detail
	fb.Untouched = rf.NotForwarded
	wr.Header().Set(HeaderFeedback, encode(fb))
	wr.WriteHeader(rf.Reason.Status())
}

// feedback returns the message about this node's state for the calling node.
func (fw *Forwarder) feedback(hop *forwarderpb.Hop, unspent int) *forwarderpb.Feedback {
	ld := fw.admitter.Load()
	cut, age := fw.nestedTargets.cutOff(hop.GetRoute(), fw)
	return &forwarderpb.Feedback{
		Tag: answerTag(hop), Budget: int32(unspent),
		InFlight: int32(ld.InFlight + ld.Waiting), Limit: int32(ld.Limit), CutOff: int32(ld.CutOff),
		RouteCutOff: int32(cut), RouteCutOffAgeUs: age.Microseconds(), RateLimitMilli: ld.RateLimit.Milli(), DrainingProcess: fw.drainingProcess(),
		Load: fw.loadMessage(ld.ServiceTime),
	}
}

func (fw *Forwarder) hopRecord(hop *forwarderpb.Hop, out *http.Request) *explainer.Record {
	return &explainer.Record{
		Request: gypsumhoist.RequestID(hop.GetRequest()), Instance: fw.instance, Hop: true, Depth: int(hop.GetDepth()), Started: time.Now(),
		Workspace: gypsumhoist.Workspace(hop.GetWorkspace()), Route: hop.GetRoute(), Method: out.Method,
		Key: hop.GetKeyId(), Importance: gypsumhoist.Importance(hop.GetImportance()),
	}
}

// checkHop refuses calls that this node's upstream can't take now, or that are meant for another one,
// and those whose key is not in this node's table.
func (fw *Forwarder) checkHop(hop *forwarderpb.Hop) *gypsumhoist.Refusal {
	tb := fw.holder.Current()
	up := fw.upstream.Load()
	switch {
	case hop.GetTarget() != string(fw.instance):
		return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, 0, "the address belongs to another instance now")
	case up == nil:
		return gypsumhoist.NotRun(gypsumhoist.ReasonNoUpstream, 0, "no upstream has announced itself here")
	case fw.leaving.Load(), up.draining.Load(), fw.refusingHops.Load():
		return gypsumhoist.NotRun(gypsumhoist.ReasonLeaving, 0, "the upstream is leaving")
	case hop.GetKeyId() != "" && tb.Revision() > 0 && !tb.Granted(registrar.KeyID(hop.GetKeyId())):
		return gypsumhoist.NotRun(gypsumhoist.ReasonTableStale, 0, "the key is withdrawn, or newer than this node's table")
	default:
		return nil
	}
}
