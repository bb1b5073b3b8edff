package admitter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	observationTTL     = 500 * time.Millisecond // age beyond which a cut-off is ignored
	refuseQuorum       = 0.9                    // share of the upstreams that must refuse before the entry node does
	probeEvery         = 20                     // one of this many refusals is let through, to find out whether the upstreams still refuse
	targetsMax         = 4096                   // targets kept
	upstreamsMax       = 1024                   // upstreams kept per target
	forecastRetryAfter = time.Second            // RetryAfter of a refusal
	quorumTTL          = 20 * time.Millisecond  // how long a computed cut-off is cached
)

// Target is what a cut-off applies to: a whole service, or one of its routes when a service
// deeper in the chain refuses the calls of that route.
type Target struct {
	Service gypsumhoist.Service
	// Route is the row's route; empty for the service itself.
	Route string
}

// Forecast collects the cut-offs that came with answers, without a clock.
// It is not safe for concurrent use. The zero value is not usable; call NewForecast.
type Forecast struct {
	targets map[Target]*targetForecast
}

// targetForecast holds the cut-offs of one target.
type targetForecast struct {
	observations map[gypsumhoist.Instance]observation
	refusable    uint64
	usedAt       time.Duration

	quorumCutOff    gypsumhoist.Importance // importance below which nearly all upstreams refuse
	quorumAt        time.Duration
	quorumUpstreams int // number of upstreams that quorumCutOff was computed for
}

type observation struct {
	cutOff     gypsumhoist.Importance
	observedAt time.Duration
}

// NewForecast returns a forecast without cut-offs, which refuses nothing.
func NewForecast() *Forecast { return &Forecast{targets: map[Target]*targetForecast{}} }

// Observe records the cut-off that came with an answer of an upstream. Zero means that it sheds nothing.
func (fc *Forecast) Observe(now time.Duration, tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance) {
	fc.ObserveAged(now, tg, from, cut, 0)
}

// ObserveAged is Observe for a cut-off of a given age, as passed on by another node. It expires earlier by that age, so that
// being passed on from hop to hop does not make it outlast the overload.
func (fc *Forecast) ObserveAged(now time.Duration, tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance, age time.Duration) {
	tf, ok := fc.targets[tg]
	if !ok {
		if cut <= 0 {
			return
		}
		tf = fc.add(tg, now)
	}
	tf.usedAt = now
	if cut <= 0 {
		delete(tf.observations, from)
		return
	}
	if _, known := tf.observations[from]; known || len(tf.observations) < upstreamsMax {
		tf.observations[from] = observation{cutOff: clipCutOff(cut), observedAt: now - max(age, 0)}
	}
}

// Refuse returns a refusal if nearly all upstreams of a target would now refuse a fresh request of
// an importance, and nil otherwise. Upstreams is how many of the service this node knows.
// A small share of these requests is let through as probes.
func (fc *Forecast) Refuse(now time.Duration, tg Target, im gypsumhoist.Importance, upstreams int) *gypsumhoist.Refusal {
	tf, ok := fc.targets[tg]
	if !ok {
		return nil
	}
	return tf.refuse(now, im, upstreams)
}

func (tf *targetForecast) refuse(now time.Duration, im gypsumhoist.Importance, upstreams int) *gypsumhoist.Refusal {
	if !tf.refuses(now, im, upstreams) {
		return nil
	}
	tf.refusable++
	if tf.refusable%probeEvery == 0 {
		return nil
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, forecastRetryAfter,
		"nearly all upstreams of the service refuse requests of this importance")
}

// Overloaded reports whether nearly all upstreams of a target now refuse calls of an importance and depth.
// Unlike Refuse it lets no probes through; it is for decisions on retries.
func (fc *Forecast) Overloaded(now time.Duration, tg Target, im gypsumhoist.Importance, depth, upstreams int) bool {
	tf, ok := fc.targets[tg]
	return ok && im < NestedCutOff(tf.cutOff(now, upstreams), depth)
}

// NestedCutOff returns the importance below which an upstream refuses all calls of a depth, from its cut-off for fresh requests.
// Nested calls rank before fresh requests of their importance, so that some of the next lower importance may still be
// admitted.
func NestedCutOff(cut gypsumhoist.Importance, depth int) gypsumhoist.Importance {
	if depth == 0 {
		return cut
	}
	return max(cut-1, gypsumhoist.ImportanceMin)
}

// CutOff returns the importance below which nearly all upstreams of a target refuse,
// for a node to pass on to its callers.
func (fc *Forecast) CutOff(now time.Duration, tg Target, upstreams int) gypsumhoist.Importance {
	tf, ok := fc.targets[tg]
	if !ok {
		return 0
	}
	return tf.cutOff(now, upstreams)
}

// CutOffAge is CutOff with the age of the newest cut-off that it is based on; a zero cut-off has no age.
func (fc *Forecast) CutOffAge(now time.Duration, tg Target, upstreams int) (gypsumhoist.Importance, time.Duration) {
	cut := fc.CutOff(now, tg, upstreams)
	if cut == 0 {
		return 0, 0
	}
	age := observationTTL
	for _, ob := range fc.targets[tg].observations {
		if ob.cutOff >= cut {
			age = min(age, now-ob.observedAt)
		}
	}
	return cut, age
}

func (tf *targetForecast) refuses(now time.Duration, im gypsumhoist.Importance, upstreams int) bool {
	return im < tf.cutOff(now, upstreams)
}

// cutOff returns the importance below which nearly all upstreams refuse.
func (tf *targetForecast) cutOff(now time.Duration, upstreams int) gypsumhoist.Importance {
	if len(tf.observations) == 0 {
		return 0
	}
	if tf.quorumUpstreams != upstreams || now-tf.quorumAt >= quorumTTL {
		tf.quorumCutOff = tf.computeCutOff(now, upstreams)
		tf.quorumAt = now
		tf.quorumUpstreams = upstreams
	}
	return tf.quorumCutOff
}

func (tf *targetForecast) computeCutOff(now time.Duration, upstreams int) gypsumhoist.Importance {
	var cutOffs [cutOffMax + 1]int
	for _, ob := range tf.observations {
		if now-ob.observedAt <= observationTTL {
			cutOffs[ob.cutOff]++
		}
	}
	refusing := 0
	for cut := cutOffMax; cut > 0; cut-- {
		refusing += cutOffs[cut]
		if refusing > 0 && float64(refusing) >= refuseQuorum*float64(upstreams) {
			return cut
		}
	}
	return 0
}

// add adds a target, and evicts the least recently observed one if there is no room.
func (fc *Forecast) add(tg Target, now time.Duration) *targetForecast {
	if len(fc.targets) >= targetsMax {
		var oldest Target
		least := now + 1
		for old, tf := range fc.targets {
			if tf.usedAt < least {
				oldest, least = old, tf.usedAt
			}
		}
		delete(fc.targets, oldest)
	}
	tf := &targetForecast{observations: map[gypsumhoist.Instance]observation{}, usedAt: now}
	fc.targets[tg] = tf
	return tf
}
