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
	Least, Most time.Duration
	// Unknown is the timeout before the first sample.
	Unknown time.Duration
}

// RoundTrip estimates how long a response takes. It is not safe for concurrent use. The zero value has no sample.
type RoundTrip struct {
	mean, deviation time.Duration
	measured        bool
}

// Learn adds a sample.
func (rt *RoundTrip) Learn(took time.Duration) {
	if !rt.measured {
		rt.mean, rt.deviation, rt.measured = took, took/2, true
		return
	}
	rt.deviation += ((took - rt.mean).Abs() - rt.deviation) / deviationDivisor
	rt.mean += (took - rt.mean) / meanDivisor
}

// Bound returns the time after which a response is overdue, clamped to limits.
func (rt *RoundTrip) Bound(lm Limits) time.Duration {
	if !rt.measured {
		return lm.Unknown
	}
	return min(max(rt.mean+deviationFactor*rt.deviation, lm.Least), lm.Most)
}
