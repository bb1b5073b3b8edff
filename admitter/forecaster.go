package admitter

import (
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Forecaster collects the cut-offs that came with answers and refuses at the entry node what nearly all
// upstreams would refuse. It is safe for concurrent use. The zero value is not usable;
// call NewForecaster.
type Forecaster struct {
	start    time.Time
	mu       sync.Mutex
	forecast *Forecast
}

// NewForecaster returns a forecaster without cut-offs, which refuses nothing.
func NewForecaster() *Forecaster {
	return &Forecaster{start: time.Now(), forecast: NewForecast()}
}

// Observe records the cut-off that came with an answer of an upstream. Zero means that it sheds nothing.
func (fc *Forecaster) Observe(tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.forecast.Observe(now, tg, from, cut)
}

// ObserveAged records a cut-off of a given age, as passed on by another node.
func (fc *Forecaster) ObserveAged(tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance, age time.Duration) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.forecast.ObserveAged(now, tg, from, cut, age)
}

// Refuse returns a refusal if nearly all upstreams of a target would now refuse a fresh request of
// an importance, and nil otherwise. Upstreams is how many of the service this node knows.
// A small share of these requests is let through as probes.
func (fc *Forecaster) Refuse(tg Target, im gypsumhoist.Importance, upstreams int) *gypsumhoist.Refusal {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.forecast.Refuse(now, tg, im, upstreams)
}

// Overloaded reports whether nearly all upstreams of a target now refuse calls of an importance and depth.
// Unlike Refuse it lets no probes through; it is for decisions on retries.
func (fc *Forecaster) Overloaded(tg Target, im gypsumhoist.Importance, depth, upstreams int) bool {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.forecast.Overloaded(now, tg, im, depth, upstreams)
}

// CutOffAge is CutOff with the age of the newest cut-off that it is based on, to pass on with it.
func (fc *Forecaster) CutOffAge(tg Target, upstreams int) (gypsumhoist.Importance, time.Duration) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.forecast.CutOffAge(now, tg, upstreams)
}

// CutOff returns the importance below which nearly all upstreams of a target refuse,
// for a node to pass on to its callers.
func (fc *Forecaster) CutOff(tg Target, upstreams int) gypsumhoist.Importance {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.forecast.CutOff(now, tg, upstreams)
}
