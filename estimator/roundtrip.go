package estimator

import "time"

// Weights of a sample in the mean and in the deviation, and how many deviations an answer may be late (RFC 6298).
const (
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4
)

// Limits bound what a RoundTrip says.
type Limits struct {
	Least, Most time.Duration
	// Unknown stands for a bound that nobody has measured.
	Unknown time.Duration
}

// RoundTrip estimates how long an answer takes. It is for one goroutine at a time. The zero value knows nothing.
type RoundTrip struct {
	mean, deviation time.Duration
	known           bool
}

// Learn takes a measured time.
func (rt *RoundTrip) Learn(took time.Duration) {
	if !rt.known {
		rt.mean, rt.deviation, rt.known = took, took/2, true
		return
	}
	rt.deviation += ((took - rt.mean).Abs() - rt.deviation) / deviationWeight
	rt.mean += (took - rt.mean) / meanWeight
}

// Bound returns after how long an answer is overdue, within limits.
func (rt *RoundTrip) Bound(lm Limits) time.Duration {
	if !rt.known {
		return lm.Unknown
	}
	return min(max(rt.mean+deviations*rt.deviation, lm.Least), lm.Most)
}
