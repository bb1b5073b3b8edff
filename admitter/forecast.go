package admitter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Constants of a Forecaster.
const (
	noteLife      = 500 * time.Millisecond // age beyond which a cut-off isn't believed
	refuseQuorum  = 0.9                    // share of the upstreams that must refuse before the entry does
	probeEvery    = 20                     // one of so many refusals is let through to see whether it still holds
	targetsMax    = 4096                   // targets kept
	upstreamsMax  = 1024                   // upstreams kept per target
	forecastRetry = time.Second            // RetryAfter of an early refusal
	levelLife     = 20 * time.Millisecond  // how long a worked out level is used
)

// Target is what a cut-off is about: all of a service, or one of its routes when a service
// deeper in the chain refuses what that route asks of it.
type Target struct {
	Service gypsumhoist.Service
	// Route is the row's route; empty for the service itself.
	Route string
}

// Forecast keeps the cut-offs that came with answers, without a clock.
// It is for one goroutine at a time. The zero value is not usable; call NewForecast.
type Forecast struct {
	targets map[Target]*targetForecast
}

// targetForecast is what is known about one target.
type targetForecast struct {
	notes map[gypsumhoist.Instance]note
	asked uint64
	used  time.Duration

	level      gypsumhoist.Importance // below it nearly all upstreams refuse
	levelAt    time.Duration
	levelAmong int // upstreams that the level was worked out for
}

type note struct {
	cutOff gypsumhoist.Importance
	at     time.Duration
}

// NewForecast returns a forecast that has heard nothing and refuses nothing.
func NewForecast() *Forecast { return &Forecast{targets: map[Target]*targetForecast{}} }

// Note takes the cut-off that came with an answer of an upstream. Zero says that it sheds nothing.
func (fc *Forecast) Note(now time.Duration, tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance) {
	fc.NoteOld(now, tg, from, cut, 0)
}

// NoteOld is Note for a cut-off that another node passed on some time after it had heard of it.
// It is believed for as much less, so that an overload that has ended is not remembered anew at each hop.
func (fc *Forecast) NoteOld(now time.Duration, tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance, age time.Duration) {
	tf, ok := fc.targets[tg]
	if !ok {
		if cut <= 0 {
			return
		}
		tf = fc.add(tg, now)
	}
	tf.used = now
	if cut <= 0 {
		delete(tf.notes, from)
		return
	}
	if _, known := tf.notes[from]; known || len(tf.notes) < upstreamsMax {
		tf.notes[from] = note{cutOff: clipCutOff(cut), at: now - max(age, 0)}
	}
}

// Refuse returns a refusal if nearly all upstreams of a target would refuse a fresh request of
// an importance now, and nil otherwise. Upstreams is how many the service has in view.
// A small share of the requests is let through all the same, as probes.
func (fc *Forecast) Refuse(now time.Duration, tg Target, im gypsumhoist.Importance, upstreams int) *gypsumhoist.Refusal {
	tf, ok := fc.targets[tg]
	if !ok || !tf.refuses(now, im, upstreams) {
		return nil
	}
	tf.asked++
	if tf.asked%probeEvery == 0 {
		return nil
	}
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, forecastRetry,
		"nearly all upstreams of the service refuse requests of this importance")
}

// Overloaded reports whether nearly all upstreams of a target refuse calls of an importance and depth now.
// It is Refuse without probes, for decisions on retries.
func (fc *Forecast) Overloaded(now time.Duration, tg Target, im gypsumhoist.Importance, depth, upstreams int) bool {
	tf, ok := fc.targets[tg]
	return ok && im < NestedCutOff(tf.refused(now, upstreams), depth)
}

// NestedCutOff returns the importance below which an upstream refuses all calls of a depth, from its cut-off, which is about
// fresh requests. Nested calls go before fresh requests of their importance, so that some of the next lower importance may
// still be let in.
func NestedCutOff(cut gypsumhoist.Importance, depth int) gypsumhoist.Importance {
	if depth == 0 {
		return cut
	}
	return max(cut-1, gypsumhoist.ImportanceMin)
}

// CutOff returns the importance below which nearly all upstreams of a target refuse,
// for a node to pass on towards its callers.
func (fc *Forecast) CutOff(now time.Duration, tg Target, upstreams int) gypsumhoist.Importance {
	tf, ok := fc.targets[tg]
	if !ok {
		return 0
	}
	return tf.refused(now, upstreams)
}

// CutOffAge is CutOff with the age of the newest note that it rests on; a zero cut-off has no age.
func (fc *Forecast) CutOffAge(now time.Duration, tg Target, upstreams int) (gypsumhoist.Importance, time.Duration) {
	cut := fc.CutOff(now, tg, upstreams)
	if cut == 0 {
		return 0, 0
	}
	age := noteLife
	for _, nt := range fc.targets[tg].notes {
		if nt.cutOff >= cut {
			age = min(age, now-nt.at)
		}
	}
	return cut, age
}

func (tf *targetForecast) refuses(now time.Duration, im gypsumhoist.Importance, upstreams int) bool {
	return im < tf.refused(now, upstreams)
}

// refused returns the importance below which nearly all upstreams refuse.
func (tf *targetForecast) refused(now time.Duration, upstreams int) gypsumhoist.Importance {
	if len(tf.notes) == 0 {
		return 0
	}
	if tf.levelAmong != upstreams || now-tf.levelAt >= levelLife {
		tf.level = tf.workOut(now, upstreams)
		tf.levelAt = now
		tf.levelAmong = upstreams
	}
	return tf.level
}

func (tf *targetForecast) workOut(now time.Duration, upstreams int) gypsumhoist.Importance {
	var cutOffs [cutOffMax + 1]int
	for _, nt := range tf.notes {
		if now-nt.at <= noteLife {
			cutOffs[nt.cutOff]++
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

// add makes room for a target by forgetting the one that was heard of longest ago.
func (fc *Forecast) add(tg Target, now time.Duration) *targetForecast {
	if len(fc.targets) >= targetsMax {
		var oldest Target
		least := now + 1
		for old, tf := range fc.targets {
			if tf.used < least {
				oldest, least = old, tf.used
			}
		}
		delete(fc.targets, oldest)
	}
	tf := &targetForecast{notes: map[gypsumhoist.Instance]note{}, used: now}
	fc.targets[tg] = tf
	return tf
}
