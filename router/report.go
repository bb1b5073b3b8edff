package router

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// maxBeliefs bounds the upstreams of a service of which a group keeps reports.
const maxBeliefs = 8192

// Report is what an upstream says about itself in an answer. The zero value says nothing.
type Report struct {
	// RateLimit is how many requests per second the upstream takes from all nodes together.
	RateLimit gypsumhoist.RateLimit
	// Draining reports that the upstream's process drains; it is never taken back. Process identifies it, as in Upstream.
	Draining bool
	Process  int64
	// Load is what the upstream last said of its load.
	Load LoadReport
	// RoundTrip is the time that the attempt took beyond its time at the upstream's node; zero if that is not known.
	RoundTrip time.Duration
}

// LoadReport is a report of an upstream's load as its node passes it on. The zero value says nothing.
type LoadReport struct {
	gypsumhoist.LoadReport
	// InFlight is the number of requests that run or wait at the upstream, as its node counts them.
	InFlight int
	// Age is the time since the upstream's node got the report.
	Age time.Duration
	// ServiceTime is the median time that the upstream takes for a request, as its node measures it; zero if that is not known.
	ServiceTime time.Duration
}

// belief is the last report of an upstream. It outlasts the upstream's place in the view and restarts of the upstream's node.
type belief struct {
	rateLimit gypsumhoist.RateLimit
	draining  bool
	process   int64 // the one that drains
	// ended is set once the view shows that an unknown process drains or is gone. What the view shows as ready later is another one.
	ended bool
}

// reportChange is what a report has changed.
type reportChange struct{ rateLimit, draining bool }

// report updates the belief about an upstream.
func (gr *Group) report(now time.Duration, in gypsumhoist.Instance, rp Report) reportChange {
	if rp.Load.Known() {
		gr.reportLoad(now, in, rp.Load)
		gr.reportRoundTrip(now, in, rp.RoundTrip)
	}
	old := gr.beliefs[in]
	bl := old
	if rp.RateLimit.Known() {
		bl.rateLimit = rp.RateLimit
	}
	if rp.Draining && (!old.draining || rp.Process != old.process) {
		bl.draining, bl.process, bl.ended = true, rp.Process, false
	}
	if bl == old {
		return reportChange{}
	}
	gr.believe(in, bl)
	ch := reportChange{rateLimit: bl.rateLimit.Limited() && bl.rateLimit != old.rateLimit || old.rateLimit.Limited() && !bl.rateLimit.Limited()}
	if bl.draining && (!old.draining || bl.process != old.process) {
		ch.draining = true
		gr.buildTiers()
	}
	return ch
}

// believe stores a belief, or drops it if it says nothing.
func (gr *Group) believe(in gypsumhoist.Instance, bl belief) {
	if !bl.rateLimit.Limited() && !bl.draining {
		delete(gr.beliefs, in)
		return
	}
	if _, known := gr.beliefs[in]; !known && len(gr.beliefs) >= maxBeliefs {
		for other := range gr.beliefs {
			delete(gr.beliefs, other)
			break
		}
	}
	gr.beliefs[in] = bl
}

// reviewBeliefs ends what is believed of processes that the view shows to be replaced.
func (gr *Group) reviewBeliefs() {
	for in, bl := range gr.beliefs {
		if !bl.draining {
			continue
		}
		mb, present := gr.members[in]
		switch {
		case present && mb.upstream.Process > bl.process && bl.process != 0:
			bl.draining = false
		case bl.process != 0:
		case !present || mb.upstream.State == StateDraining:
			bl.ended = true
		case bl.ended:
			bl.draining = false
		}
		gr.believe(in, bl)
	}
}

// drains reports whether a member drains, by the view or by an answer of its present process.
func (gr *Group) drains(mb *member) bool {
	bl := gr.beliefs[mb.upstream.Instance]
	same := mb.upstream.Process == bl.process || mb.upstream.Process == 0 || bl.process == 0
	return mb.upstream.State == StateDraining || bl.draining && same
}
