package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

var eventClaimEndDelayed = logger.Define(1201, logger.LevelWarn, "claim_end_delayed",
	"The outcome of a request that runs at most once could not be stored at once; storing it is retried for a bounded time.")

// settleTimeout bounds how long a request waits for the outcome of its claim to be stored.
const settleTimeout = 2 * time.Second

// execute runs a request, under a claim if it needs one, and answers it.
func (fw *Forwarder) execute(ctx context.Context, wr http.ResponseWriter, req *http.Request, cl *call) {
	text := req.Header.Get(gypsumhoist.HeaderIdempotencyKey)
	if cl.idempotent || text == "" {
		fw.runDirect(ctx, wr, req, cl)
		return
	}
	cl.setFingerprint(req)
	oc := fw.claim(ctx, cl, text)
	switch oc := oc.(type) {
	case claimer.Granted:
		cl.record.Note("claimer", "claimed", "")
		fw.runClaimed(req, wr, cl, oc)
	case claimer.Replay:
		cl.record.Note("claimer", "stored answer", "an earlier sending of the request has run")
		fw.replay(wr, cl, oc.Answer)
	case claimer.Refused:
		fw.refuse(wr, cl, "claimer", oc.Refusal)
	}
}

func (fw *Forwarder) claim(ctx context.Context, cl *call, text string) claimer.Outcome {
	if fw.claimer == nil {
		return claimer.Refused{Refusal: gypsumhoist.NotRun(gypsumhoist.ReasonClaimUnavailable, time.Second, "this node keeps no claims")}
	}
	ky, err := claimer.ParseKey(cl.workspace, text)
	if err != nil {
		return claimer.Refused{Refusal: gypsumhoist.NotRun(gypsumhoist.ReasonBadRequest, 0, err.Error())}
	}
	return fw.claimer.Claim(ctx, claimer.Request{
		Key: ky, Fingerprint: claimer.Fingerprint(cl.fingerprint), RunFor: time.Until(cl.deadline),
	})
}

// runDirect runs a request without a claim.
func (fw *Forwarder) runDirect(ctx context.Context, wr http.ResponseWriter, req *http.Request, cl *call) {
	rp, rf := fw.run(ctx, req, cl)
	if rf != nil {
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	fw.answer(wr, cl, rp)
}

// runClaimed runs a request under a claim. The run goes on when the caller goes away,
// so that a resend finds the complete answer.
func (fw *Forwarder) runClaimed(req *http.Request, wr http.ResponseWriter, cl *call, gr claimer.Granted) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.Context()), cl.deadline.Add(verdictGrace))
	defer cancel()
	rp, rf := fw.run(ctx, req, cl)
	if rf != nil {
		fw.settleRefusal(cl, gr, rf)
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	kept, rf := rp.readAhead(claimer.MaxAnswerSize)
	if rf != nil {
		fw.settleRefusal(cl, gr, rf)
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	fw.settleAnswer(cl, gr, rp, kept)
	fw.answer(wr, cl, rp)
}

func (fw *Forwarder) settleRefusal(cl *call, gr claimer.Granted, rf *gypsumhoist.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	switch rf.Verdict {
	case gypsumhoist.VerdictNotRun:
		fw.noteSettleError(cl, fw.claimer.Release(ctx, gr))
	case gypsumhoist.VerdictRan:
		fw.noteSettleError(cl, fw.claimer.Ran(ctx, gr))
	default:
		fw.noteSettleError(cl, fw.claimer.MayHaveRun(ctx, gr))
	}
}

// settleAnswer stores an answer before the caller gets its first byte,
// so that a caller that has seen the answer gets it again. Of one too long to store, only that it has run is stored.
func (fw *Forwarder) settleAnswer(cl *call, gr claimer.Granted, rp *reply, kept []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if !rp.complete {
		fw.noteSettleError(cl, fw.claimer.Ran(ctx, gr))
		return
	}
	an := claimer.Answer{Status: rp.rs.StatusCode, Header: sanitized(rp.rs.Header), Body: kept}
	fw.noteSettleError(cl, fw.claimer.Finish(ctx, gr, an))
}

func (fw *Forwarder) noteSettleError(cl *call, err error) {
	if err == nil {
		return
	}
	cl.record.Note("claimer", "end delayed", err.Error())
	fw.logger.Log(eventClaimEndDelayed, "request", cl.id, "err", err)
}

// replay answers with the stored answer of an earlier run of the request.
func (fw *Forwarder) replay(wr http.ResponseWriter, cl *call, an claimer.Answer) {
	hd := wr.Header()
	for name, vals := range sanitized(an.Header) {
		hd[name] = vals
	}
	hd.Set(gypsumhoist.HeaderRequest, string(cl.id))
	hd.Set(gypsumhoist.HeaderVerdict, gypsumhoist.VerdictRan.String())
	wr.WriteHeader(an.Status)
	_, err := wr.Write(an.Body)
	cl.record.Status = an.Status
	cl.record.Verdict = gypsumhoist.VerdictRan.String()
	fw.finish(cl, err == nil)
}
