package router

import "time"

const (
	ejectConsecutiveFailures = 5   // consecutive failures that eject
	ejectFailureRate         = 0.6 // failure rate that ejects
	outlierFactor            = 2   // an upstream is ejected only if its failure rate is at least this multiple of the others' mean
	baseEjectionTime         = time.Second
	maxEjectionTime          = 30 * time.Second
	ejectionResetTime        = time.Minute // after this long without an ejection the next one starts at baseEjectionTime again
	maxEjectedShare          = 0.5         // largest share of a service's upstreams that may be ejected
	panicThreshold           = 0.5         // ejections are ignored while less than this share of the slots is on upstreams that are not ejected
	probesToReturn           = 2           // consecutive answered probes that end an ejection
	probeInterval            = 50 * time.Millisecond
	probeNonIdempotentAfter  = 5 * time.Second // this long after the ejection time, requests that aren't idempotent may probe too
)

// ejection is the ejection state of one upstream.
type ejection struct {
	ejected        bool
	until          time.Duration
	count          int           // ejections since the last reset
	lastAt         time.Duration // when the last ejection began or ended
	probing        bool          // a probe is in flight
	answeredProbes int           // since the last failed one
	nextProbeAt    time.Duration
}

// begin ejects the upstream. The ejection time doubles with each ejection, up to maxEjectionTime.
func (ej *ejection) begin(now time.Duration) {
	if now-ej.lastAt > ejectionResetTime {
		ej.count = 0
	}
	duration := min(baseEjectionTime<<min(ej.count, 10), maxEjectionTime)
	ej.count++
	ej.ejected = true
	ej.answeredProbes = 0
	ej.until = now + duration
	ej.nextProbeAt = ej.until
	ej.lastAt = now
}

// probeDue reports whether a request may probe the upstream now.
func (ej *ejection) probeDue(now time.Duration, idempotent bool) bool {
	if !ej.ejected || ej.probing || now < ej.nextProbeAt {
		return false
	}
	return idempotent || now >= ej.until+probeNonIdempotentAfter
}

// endProbe records the result of a probe and reports whether the ejection ends.
func (ej *ejection) endProbe(now time.Duration, rs Result) bool {
	ej.probing = false
	ej.nextProbeAt = now + probeInterval
	switch rs {
	case ResultAnswered, ResultOverloaded:
		ej.answeredProbes++
	case ResultFailed:
		ej.begin(now)
	case ResultNeutral, ResultLeaving:
	}
	if ej.answeredProbes < probesToReturn {
		return false
	}
	ej.ejected = false
	ej.lastAt = now
	return true
}
