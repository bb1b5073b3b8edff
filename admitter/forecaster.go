package admitter

import (
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Forecaster keeps the cut-offs that came with answers and refuses at the entry what nearly all
// upstreams would refuse. It is safe for concurrent use. The zero value is not usable;
// call NewForecaster.
type Forecaster struct {
	start time.Time
	mu    sync.Mutex
	core  *Forecast
}

// NewForecaster returns a forecaster that has heard nothing and refuses nothing.
func NewForecaster() *Forecaster {
	return &Forecaster{start: time.Now(), core: NewForecast()}
}

// Note takes the cut-off that came with an answer of an upstream. Zero says that it sheds nothing.
func (fc *Forecaster) Note(tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.core.Note(now, tg, from, cut)
}

// NoteOld is Note for a cut-off that another node passed on some time after it had heard of it.
func (fc *Forecaster) NoteOld(tg Target, from gypsumhoist.Instance, cut gypsumhoist.Importance, age time.Duration) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.core.NoteOld(now, tg, from, cut, age)
}

// Refuse returns a refusal if nearly all upstreams of a target would refuse a fresh request of
// an importance now, and nil otherwise. Upstreams is how many the service has in view.
// A small share of the requests is let through all the same, as probes.
func (fc *Forecaster) Refuse(tg Target, im gypsumhoist.Importance, upstreams int) *gypsumhoist.Refusal {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.core.Refuse(now, tg, im, upstreams)
}

// Overloaded reports whether nearly all upstreams of a target refuse calls of an importance and depth now.
// It is Refuse without probes, for decisions on retries.
func (fc *Forecaster) Overloaded(tg Target, im gypsumhoist.Importance, depth, upstreams int) bool {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.core.Overloaded(now, tg, im, depth, upstreams)
}

// CutOffAge is CutOff with the age of the newest note that it rests on, for NoteOld at another node.
func (fc *Forecaster) CutOffAge(tg Target, upstreams int) (gypsumhoist.Importance, time.Duration) {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.core.CutOffAge(now, tg, upstreams)
}

// CutOff returns the importance below which nearly all upstreams of a target refuse,
// for a node to pass on towards its callers.
func (fc *Forecaster) CutOff(tg Target, upstreams int) gypsumhoist.Importance {
	now := time.Since(fc.start)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return fc.core.CutOff(now, tg, upstreams)
}
