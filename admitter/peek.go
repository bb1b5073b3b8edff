package admitter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Outlook says what Refuse would do with the next request to a target.
type Outlook struct {
	// CutOff is the importance below which nearly all upstreams refuse, zero if they do not.
	CutOff gypsumhoist.Importance `json:"cut_off"`
	// Reports counts the upstreams whose cut-off is known and not outdated, NewestAge is the age of the newest one.
	Reports   int           `json:"reports"`
	NewestAge time.Duration `json:"newest_age_ns"`
	// Below is true if the request is below the cut-off. The next such request is refused unless it is let through as a probe.
	Below bool `json:"below"`
	// Refusal is what the next request would get, nil if it would be let through.
	Refusal *gypsumhoist.Refusal `json:"-"`
}

// Peek says what Refuse would do. It decides on a copy, so that it changes nothing.
func (fc *Forecast) Peek(now time.Duration, tg Target, im gypsumhoist.Importance, upstreams int) Outlook {
	known, ok := fc.targets[tg]
	if !ok {
		return Outlook{}
	}
	// The copy shares the observations, which a decision only reads.
	tf := *known
	ol := Outlook{CutOff: tf.cutOff(now, upstreams), Below: tf.refuses(now, im, upstreams), Refusal: tf.refuse(now, im, upstreams)}
	for _, ob := range tf.observations {
		age := now - ob.observedAt
		if age > observationTTL {
			continue
		}
		if ol.Reports == 0 || age < ol.NewestAge {
			ol.NewestAge = age
		}
		ol.Reports++
	}
	return ol
}

// Peek says what Refuse would do with a request, and changes nothing.
func (fc *Forecaster) Peek(tg Target, im gypsumhoist.Importance, upstreams int) Outlook {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.forecast.Peek(now, tg, im, upstreams)
}
