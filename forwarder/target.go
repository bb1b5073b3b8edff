package forwarder

import (
	"sync"
	"time"
)

const (
	// impatientSlack is the slack below which a request is impatient: as long as a queue lets the least important requests wait.
	impatientSlack = 500 * time.Millisecond
	// freshShare is the share of a row's deadline that a fresh request has left, or more: a caller that comes back has less.
	freshShare = 0.99

	shortQuantile = 0.3  // quantile of the durations that the estimate follows
	durationStep  = 0.06 // step of the estimate per sample, as a share of it
)

// routeDurations estimates how long answered requests of each route take at their entry, by a low quantile: in an overload the others
// have waited in queues, which says nothing about the route. It is safe for concurrent use; the zero value
// has no estimates.
type routeDurations struct {
	mu    sync.Mutex
	short map[string]time.Duration
}

func (rd *routeDurations) learn(route string, took time.Duration) {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	short, known := rd.short[route]
	switch {
	case known && took < short:
		rd.short[route] = short - time.Duration(durationStep*(1-shortQuantile)*float64(short))
	case known:
		rd.short[route] = short + time.Duration(durationStep*shortQuantile*float64(short))
	case len(rd.short) < statsRoutesMax:
		if rd.short == nil {
			rd.short = map[string]time.Duration{}
		}
		rd.short[route] = took
	}
}

// of returns the estimate for a route; zero if there is none.
func (rd *routeDurations) of(route string) time.Duration {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	return rd.short[route]
}

// setTarget sets when a caller's request is due to meet its target, if its route is impatient: if even a fresh request would miss the
// target by a wait that others can afford. Patient ones that have become late stay behind: served first, they would take the place of
// more requests that can still be in time. The time that the caller has used in an earlier attempt counts, as far as it says how much
// it has left.
func (fw *Forwarder) setTarget(cl *call) {
	if cl.nested || cl.row.TargetLatency <= 0 || !fw.reportsLoad(cl.service) {
		return
	}
	left := cl.row.TargetLatency
	if left-fw.durations.of(cl.row.Route) >= impatientSlack {
		return
	}
	if remaining := cl.deadline.Sub(cl.started); remaining < time.Duration(freshShare*float64(cl.row.Deadline)) {
		left -= cl.row.Deadline - remaining
	}
	cl.targetAt = cl.started.Add(left)
}

// learnDuration learns from a caller's request that was answered.
func (fw *Forwarder) learnDuration(cl *call, succeeded bool) {
	if succeeded && !cl.nested && cl.row != nil && cl.row.TargetLatency > 0 && fw.reportsLoad(cl.service) {
		fw.durations.learn(cl.row.Route, time.Since(cl.started))
	}
}

// targetLeft returns the time left until the call's target in microseconds; nil if it has none or that has passed.
func (cl *call) targetLeft() *int64 {
	if cl.targetAt.IsZero() {
		return nil
	}
	left := time.Until(cl.targetAt).Microseconds()
	if left <= 0 {
		return nil
	}
	return &left
}
