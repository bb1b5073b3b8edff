package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
	"github.com/gypsumhoist/gypsumhoist/logger"
)

var eventClaimOpen = logger.Define(1201, logger.LevelWarn, "claim_end_delayed",
	"The outcome of a request that runs at most once could not be stored at once; it is tried again for a bounded time.")

// settleTime bounds how long a request waits for its claim's end to be stored.
const settleTime = 2 * time.Second

// claimed runs a request under a claim if it needs one, and answers it.
func (fw *Forwarder) claimed(ctx context.Context, wr http.ResponseWriter, req *http.Request, cl *call) {
	text := req.Header.Get(gypsumhoist.HeaderIdempotencyKey)
	if cl.idempotent || text == "" {
		fw.direct(ctx, wr, req, cl)
		return
	}
	cl.fingerprint(req)
	oc := fw.claim(ctx, cl, text)
	switch oc := oc.(type) {
	case claimer.Granted:
		cl.record.Note("claimer", "claimed", "")
		fw.once(req, wr, cl, oc)
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
		Key: ky, Fingerprint: claimer.Fingerprint(cl.print), RunFor: time.Until(cl.deadline),
	})
}

// direct runs a request without a claim.
func (fw *Forwarder) direct(ctx context.Context, wr http.ResponseWriter, req *http.Request, cl *call) {
	rp, rf := fw.run(ctx, req, cl)
	if rf != nil {
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	fw.answer(wr, cl, rp)
}

// once runs a request under a claim. The run goes on when the caller goes away,
// so that a resend finds the whole answer.
func (fw *Forwarder) once(req *http.Request, wr http.ResponseWriter, cl *call, gr claimer.Granted) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(req.Context()), cl.deadline.Add(answerSlack))
	defer cancel()
	rp, rf := fw.run(ctx, req, cl)
	if rf != nil {
		fw.settleRefusal(cl, gr, rf)
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	kept, rf := rp.takeIn(claimer.MaxAnswerSize)
	if rf != nil {
		fw.settleRefusal(cl, gr, rf)
		fw.refuse(wr, cl, "forwarder", rf)
		return
	}
	fw.settleAnswer(cl, gr, rp, kept)
	fw.answer(wr, cl, rp)
}

func (fw *Forwarder) settleRefusal(cl *call, gr claimer.Granted, rf *gypsumhoist.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	switch rf.Verdict {
	case gypsumhoist.VerdictNotRun:
		fw.settled(cl, fw.claimer.Release(ctx, gr))
	case gypsumhoist.VerdictRan:
		fw.settled(cl, fw.claimer.Ran(ctx, gr))
	default:
		fw.settled(cl, fw.claimer.MayHaveRun(ctx, gr))
	}
}

// settleAnswer stores an answer before the caller gets its first byte,
// so that whoever has seen the answer finds it again. One too long to keep is stored as having run.
func (fw *Forwarder) settleAnswer(cl *call, gr claimer.Granted, rp *reply, kept []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if !rp.whole {
		fw.settled(cl, fw.claimer.Ran(ctx, gr))
		return
	}
	an := claimer.Answer{Status: rp.rs.StatusCode, Header: clean(rp.rs.Header), Body: kept}
	fw.settled(cl, fw.claimer.Finish(ctx, gr, an))
}

func (fw *Forwarder) settled(cl *call, err error) {
	if err == nil {
		return
	}
	cl.record.Note("claimer", "end delayed", err.Error())
	fw.logger.Log(eventClaimOpen, "request", cl.id, "err", err)
}

// replay answers with what an earlier run of the request answered.
func (fw *Forwarder) replay(wr http.ResponseWriter, cl *call, an claimer.Answer) {
	hd := wr.Header()
	for name, vals := range clean(an.Header) {
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
