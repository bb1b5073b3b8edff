package prober

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/estimator"
)

// limits bound the time that an answer is waited for: a busy process answers late by the least of them.
var limits = estimator.Limits{Least: 100 * time.Millisecond, Most: 2 * time.Second, Unknown: 500 * time.Millisecond}

// Times between probes of one instance.
const (
	probeFirst = 50 * time.Millisecond
	probeMost  = time.Second
)

// path is what is known of the way to one instance.
type path struct {
	member Member
	domain *domain
	grade  Grade
	// lost is since when nothing came although it was asked for; it speaks for a lost domain if nobody refused.
	lost    time.Duration
	witness bool
	// probeAt is when the next probe is due, after pause the one after that.
	probeAt time.Duration
	pause   time.Duration
	probing bool
}

// lose notes that an instance gave no answer.
func (pt *path) lose(now, since time.Duration, gd Grade, witness bool) {
	if pt.grade == GradeReachable {
		pt.probeAt, pt.pause = now+probeFirst, probeFirst
	}
	pt.grade = max(pt.grade, gd)
	pt.lost = since
	pt.witness = witness
}

// probed plans the next probe after one without success.
func (pt *path) probed(now time.Duration) {
	pt.probing = false
	pt.pause = min(max(2*pt.pause, probeFirst), probeMost)
	pt.probeAt = now + pt.pause
}

// domain is what is known of the way to one failure domain.
type domain struct {
	name    gypsumhoist.FailureDomain
	local   bool
	connect estimator.RoundTrip // opening a connection
	answer  estimator.RoundTrip // an answer without effect on an open one
	// heard is when the last byte came, as far as it was noticed; -1 for never.
	heard time.Duration
	// lost tells that the whole domain counts as unreachable.
	lost bool
}
