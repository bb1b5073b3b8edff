package estimator

import "time"

// Parameters of RFC 6298: 1/alpha, 1/beta, and K, the deviations added to the mean.
const (
	meanDivisor      = 8
	deviationDivisor = 4
	deviationFactor  = 4
)

// Limits clamp the timeout of a RoundTrip.
type Limits struct {
	Min, Max time.Duration
	// Initial is the timeout before the first sample.
	Initial time.Duration
}

// RoundTrip estimates how long an answer takes. It is not safe for concurrent use. The zero value has no sample.
type RoundTrip struct {
	mean, deviation time.Duration
	measured        bool
}

// Observe adds a sample.
func (rt *RoundTrip) Observe(took time.Duration) {
	if !rt.measured {
		rt.mean, rt.deviation, rt.measured = took, took/2, true
		return
	}
	rt.deviation += ((took - rt.mean).Abs() - rt.deviation) / deviationDivisor
	rt.mean += (took - rt.mean) / meanDivisor
}

// Timeout returns the time after which an answer is overdue, clamped to limits.
func (rt *RoundTrip) Timeout(lm Limits) time.Duration {
	if !rt.measured {
		return lm.Initial
	}
	return min(max(rt.mean+deviationFactor*rt.deviation, lm.Min), lm.Max)
}
