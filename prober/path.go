package prober

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/estimator"
)

// boundLimits bounds the time to wait for an answer. Min allows for the delay of a busy process.
var boundLimits = estimator.Limits{Min: 100 * time.Millisecond, Max: 2 * time.Second, Initial: 500 * time.Millisecond}

// Range of the exponential backoff between probes of one instance.
const (
	minProbeDelay = 50 * time.Millisecond
	maxProbeDelay = time.Second
)

// path is the state of the network path to one instance.
type path struct {
	member Member
	domain *domain
	grade  Grade
	// unansweredSince is the time since which the instance has not answered. It is evidence of an unreachable domain only if
	// unanswered is set; a refused connection is no such evidence.
	unansweredSince time.Duration
	unanswered      bool
	nextProbeAt     time.Duration
	probeDelay      time.Duration // backoff before nextProbeAt
	probing         bool          // a probe is in flight
}

// markFailed records that the instance has not answered since a time, or has refused a connection if unanswered is false.
func (pt *path) markFailed(now, since time.Duration, gd Grade, unanswered bool) {
	if pt.grade == GradeReachable {
		pt.nextProbeAt, pt.probeDelay = now+minProbeDelay, minProbeDelay
	}
	pt.grade = max(pt.grade, gd)
	pt.unansweredSince = since
	pt.unanswered = unanswered
}

// scheduleProbe ends a probe and schedules the next one with exponential backoff.
func (pt *path) scheduleProbe(now time.Duration) {
	pt.probing = false
	pt.probeDelay = min(max(2*pt.probeDelay, minProbeDelay), maxProbeDelay)
	pt.nextProbeAt = now + pt.probeDelay
}

// domain is the state of the network path to one failure domain.
type domain struct {
	name    gypsumhoist.FailureDomain
	local   bool
	connect estimator.RoundTrip // time to open a connection
	answer  estimator.RoundTrip // time to answer a ping on an open connection
	// lastHeard is when anything was last received from the domain, -1 if never. Single bytes are recorded only while the Core is degraded.
	lastHeard time.Duration
	// unreachable reports whether the whole domain counts as unreachable.
	unreachable bool
}
