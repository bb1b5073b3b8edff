package router

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Choice is the member that a group chose for one attempt.
type Choice = choice

// Upstream returns the chosen upstream, and false if there is none.
func (ch choice) Upstream() (Upstream, bool) {
	if ch.member == nil {
		return Upstream{}, false
	}
	return ch.member.upstream, true
}

// PickAt is Router.Pick at a given time.
func (gr *Group) PickAt(now time.Duration, exclude ...gypsumhoist.Instance) Choice {
	return gr.pick(now, &Request{Idempotent: true}, exclude)
}

// PickForAt is Router.PickFor at a given time.
func (gr *Group) PickForAt(now time.Duration, rq Request, exclude ...gypsumhoist.Instance) Choice {
	return gr.pick(now, &rq, exclude)
}

// SetSpillover is WithSpillover for a group.
func (gr *Group) SetSpillover(sp Spillover) { gr.spillover = sp }

// ReportAt is Pick.Report at a given time.
func (gr *Group) ReportAt(now time.Duration, in gypsumhoist.Instance, rp Report) {
	gr.report(now, in, rp)
}

// DoneAt is Pick.Done at a given time.
func (gr *Group) DoneAt(now time.Duration, ch Choice, oc Outcome) { gr.done(now, ch, oc) }
