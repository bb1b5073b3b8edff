package router

import "time"

// Constants of what is measured on one upstream.
const (
	latencyWeight = 0.1 // weight of one sample in the mean latency
	failureWeight = 0.1 // weight of one sample in the share of failures
	failureFade   = 10 * time.Second
	failurePrice  = 2.0 // utilisation that a share of failures of one counts as

	hintLife   = time.Second // a reported load fades to nothing over this
	hintMost   = 1.0         // reported load counts up to this many times the slots
	hintLeast  = 0.25        // a reported limit counts as at least this share of the slots
	shortAfter = 100 * time.Millisecond

	slowStart      = 10 * time.Second // until a cold upstream takes its whole share, unless it warmed up in less
	slowStartLeast = time.Second
	goneFor        = 500 * time.Millisecond // how long a refusal of one that leaves holds while the view says otherwise
	coldShare      = 0.1                    // share that a cold upstream begins with
	coldSlotsLeast = 1.0
)

// member is one upstream with what this node has measured on it.
type member struct {
	upstream Upstream
	slots    float64

	inFlight int
	latency  time.Duration // mean, zero if not known

	failures      float64 // share of failed attempts, fading
	failuresAt    time.Duration
	failuresInRow int

	others     float64 // load that others bring, by the last report
	limit      float64 // limit by the last report, zero if not known
	hintAt     time.Duration
	shortUntil time.Duration // it refused for lack of capacity just now

	cold   bool
	coldAt time.Duration // start of its slow start
	// slowFor is how long its slow start takes, warmingAt when it was first seen warming.
	slowFor, warmingAt time.Duration
	goneUntil          time.Duration // it said that it is leaving just now

	health ejection
}

// warmth returns the share of its slots that the upstream can be trusted with, from coldShare to 1.
func (mb *member) warmth(now time.Duration) float64 {
	if mb.upstream.State == StateWarming {
		return coldShare
	}
	if !mb.cold {
		return 1
	}
	age := now - mb.coldAt
	if age >= mb.slowFor {
		mb.cold = false
		return 1
	}
	return coldShare + (1-coldShare)*float64(age)/float64(mb.slowFor)
}

// chill begins a slow start.
func (mb *member) chill(now time.Duration) {
	mb.cold = true
	mb.coldAt = now
}

// capacity returns how many requests the upstream should hold now.
func (mb *member) capacity(now time.Duration) float64 {
	slots := mb.slots
	if mb.limit > 0 && now-mb.hintAt < hintLife {
		slots = mb.limit
	}
	return max(coldSlotsLeast, slots*mb.warmth(now))
}

// load returns how many requests the upstream holds, as far as this node can tell.
func (mb *member) load(now time.Duration) float64 {
	held := float64(mb.inFlight)
	if age := now - mb.hintAt; age < hintLife {
		held += mb.others * (1 - float64(age)/float64(hintLife))
	}
	return held
}

// utilisation returns load by capacity with one more request, failures priced in.
func (mb *member) utilisation(now time.Duration) float64 {
	return (mb.load(now)+1)/mb.capacity(now) + failurePrice*mb.failing(now)
}

// short reports whether the upstream has no room for one more request, is failing, or leaves.
func (mb *member) short(now time.Duration) bool {
	return now < mb.shortUntil || now < mb.goneUntil || mb.utilisation(now) > 1
}

// failing returns the share of failed attempts, faded by its age.
func (mb *member) failing(now time.Duration) float64 {
	age := now - mb.failuresAt
	if mb.failures == 0 || age >= failureFade {
		return 0
	}
	return mb.failures * (1 - float64(age)/float64(failureFade))
}

func (mb *member) measure(now time.Duration, oc Outcome) {
	if oc.Load != nil {
		mb.hear(now, *oc.Load)
	}
	switch oc.Result {
	case ResultAnswered:
		mb.blend(now, 0)
		mb.failuresInRow = 0
		mb.learn(oc.Latency)
	case ResultFailed:
		mb.blend(now, 1)
		mb.failuresInRow++
		// A fast failure must not make the upstream look fast.
		mb.learn(max(oc.Latency, mb.latency))
	case ResultOverloaded:
		mb.shortUntil = now + shortAfter
	case ResultLeaving:
		mb.goneUntil = now + goneFor
	case ResultNeutral:
	}
}

func (mb *member) blend(now time.Duration, failed float64) {
	old := mb.failing(now)
	mb.failures = old + failureWeight*(failed-old)
	mb.failuresAt = now
}

func (mb *member) learn(took time.Duration) { mb.latency = blendLatency(mb.latency, took) }

// blendLatency moves a mean towards a sample; the first sample is taken as it is.
func blendLatency(mean, took time.Duration) time.Duration {
	if mean == 0 {
		return took
	}
	return mean + time.Duration(latencyWeight*float64(took-mean))
}

// hear takes a reported load, clipped so that a wrong one has a bounded effect.
func (mb *member) hear(now time.Duration, ld Load) {
	others := float64(ld.InFlight - mb.inFlight)
	mb.others = max(0, min(others, hintMost*mb.slots))
	mb.limit = max(0, min(float64(ld.Limit), mb.slots))
	if mb.limit > 0 {
		mb.limit = max(mb.limit, hintLeast*mb.slots)
	}
	mb.hintAt = now
}
