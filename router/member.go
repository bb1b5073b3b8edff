package router

import "time"

const (
	latencyWeight    = 0.1 // weight of one sample in the moving average of the latency
	failureWeight    = 0.1 // weight of one sample in the failure rate
	failureDecayTime = 10 * time.Second
	failurePenalty   = 2.0 // utilisation added for a failure rate of 1

	loadReportLifetime = time.Second // a reported load decays linearly to zero over this time
	maxReportedLoad    = 1.0         // cap on the reported load, as a multiple of the slots
	minReportedLimit   = 0.25        // lower bound on a reported limit, as a share of the slots
	overloadHold       = 100 * time.Millisecond

	maxSlowStart = 10 * time.Second // a slow start takes this long, or as long as the warm-up before it if that was shorter
	minSlowStart = time.Second
	leavingHold  = 500 * time.Millisecond // how long ResultLeaving counts against an upstream that the view still shows as ready
	coldShare    = 0.1                    // share of the slots at the beginning of a slow start
	minCapacity  = 1.0
)

// member is one upstream with the measurements of this node.
type member struct {
	upstream Upstream
	slots    float64

	inFlight int
	latency  time.Duration // moving average, zero if unknown

	lastFailureRate     float64 // share of failed attempts as of failureRateAt
	failureRateAt       time.Duration
	consecutiveFailures int

	reportedOthers  float64 // requests from other nodes, by the last report
	reportedLimit   float64 // concurrency limit by the last report, zero if unknown
	reportedAt      time.Duration
	overloadedUntil time.Duration // set by ResultOverloaded

	inSlowStart bool
	slowStartAt time.Duration // beginning of the slow start
	// slowStartTime is the duration of the slow start; warmingSince is when the upstream was first seen warming.
	slowStartTime, warmingSince time.Duration
	leavingUntil                time.Duration // set by ResultLeaving

	ejection ejection

	prediction prediction
	domainUse  *domainUse
	away       *away // the member's domain, nil at home
}

// slowStartFactor returns the share of its slots that the upstream may use, from coldShare to 1.
func (mb *member) slowStartFactor(now time.Duration) float64 {
	if mb.upstream.State == StateWarming {
		return coldShare
	}
	if !mb.inSlowStart {
		return 1
	}
	age := now - mb.slowStartAt
	if age >= mb.slowStartTime {
		mb.inSlowStart = false
		return 1
	}
	return coldShare + (1-coldShare)*float64(age)/float64(mb.slowStartTime)
}

func (mb *member) beginSlowStart(now time.Duration) {
	mb.inSlowStart = true
	mb.slowStartAt = now
	mb.prediction.newcomer = false
}

// capacity returns the number of requests that the upstream should hold now.
func (mb *member) capacity(now time.Duration) float64 {
	slots := mb.slots
	if mb.reportedLimit > 0 && now-mb.reportedAt < loadReportLifetime {
		slots = mb.reportedLimit
	}
	return max(minCapacity, slots*mb.slowStartFactor(now))
}

// load returns an estimate of the number of requests that the upstream holds.
func (mb *member) load(now time.Duration) float64 {
	held := float64(mb.inFlight)
	if age := now - mb.reportedAt; age < loadReportLifetime {
		held += mb.reportedOthers * (1 - float64(age)/float64(loadReportLifetime))
	}
	return held
}

// utilisation returns the ratio of load to capacity with one more request, plus a penalty for failures.
func (mb *member) utilisation(now time.Duration) float64 {
	return (mb.load(now)+1)/mb.capacity(now) + failurePenalty*mb.failureRate(now)
}

// failureRate returns the share of failed attempts, which decays linearly over failureDecayTime.
func (mb *member) failureRate(now time.Duration) float64 {
	age := now - mb.failureRateAt
	if mb.lastFailureRate == 0 || age >= failureDecayTime {
		return 0
	}
	return mb.lastFailureRate * (1 - float64(age)/float64(failureDecayTime))
}

func (mb *member) record(now time.Duration, oc Outcome) {
	if oc.Load != nil {
		mb.recordLoad(now, *oc.Load)
	}
	switch oc.Result {
	case ResultAnswered:
		mb.updateFailureRate(now, 0)
		mb.consecutiveFailures = 0
		mb.updateLatency(oc.Latency)
	case ResultFailed:
		mb.updateFailureRate(now, 1)
		mb.consecutiveFailures++
		// Fast failures must not make the upstream look fast.
		mb.updateLatency(max(oc.Latency, mb.latency))
	case ResultOverloaded:
		mb.overloadedUntil = now + overloadHold
	case ResultLeaving:
		mb.leavingUntil = now + leavingHold
	case ResultNeutral:
	}
}

func (mb *member) updateFailureRate(now time.Duration, sample float64) {
	old := mb.failureRate(now)
	mb.lastFailureRate = old + failureWeight*(sample-old)
	mb.failureRateAt = now
}

func (mb *member) updateLatency(took time.Duration) { mb.latency = updateMean(mb.latency, took) }

// updateMean returns the exponentially weighted moving average after a sample. The first sample is the average itself.
func updateMean(mean, sample time.Duration) time.Duration {
	return weightedMean(mean, sample, latencyWeight)
}

func weightedMean(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}

// recordLoad records a reported load, clamped to bound the effect of a false report.
func (mb *member) recordLoad(now time.Duration, ld Load) {
	others := float64(ld.InFlight - mb.inFlight)
	mb.reportedOthers = max(0, min(others, maxReportedLoad*mb.slots))
	mb.reportedLimit = max(0, min(float64(ld.Limit), mb.slots))
	// A rate limit is the upstream's own word, not an estimate that lags.
	if mb.reportedLimit > 0 && !ld.RateLimited {
		mb.reportedLimit = max(mb.reportedLimit, minReportedLimit*mb.slots)
	}
	mb.reportedAt = now
}
