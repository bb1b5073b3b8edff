package gypsumhoist

import (
	"fmt"
	"math"
	"strconv"
)

// HeaderRateLimit carries on an upstream's answer how many requests per second, a decimal number, the upstream takes from all
// nodes together. It holds until an answer without it.
const HeaderRateLimit = "Gypsumhoist-Rate-Limit"

// RateLimitMax is the highest rate limit in requests per second; greater ones count as no limit.
const RateLimitMax = 1_000_000

// RateLimit is what is known about the requests per second that an upstream takes from all nodes together.
// The zero value means that nothing is known.
type RateLimit struct {
	known   bool
	limited bool
	milli   int64 // requests in 1000 s
}

// NoRateLimit is the rate limit of an upstream that names none.
var NoRateLimit = RateLimit{known: true}

// noRateLimitMilli stands for NoRateLimit in Milli.
const noRateLimitMilli = -1

// RateLimitOf returns a limit in requests per second. One below zero or above RateLimitMax is no limit.
func RateLimitOf(perSecond float64) RateLimit {
	if !(perSecond >= 0 && perSecond <= RateLimitMax) {
		return NoRateLimit
	}
	return RateLimit{known: true, limited: true, milli: int64(math.Round(perSecond * 1000))}
}

// ParseRateLimit parses a HeaderRateLimit value. An empty value is NoRateLimit; an invalid one is an error.
func ParseRateLimit(txt string) (RateLimit, error) {
	if txt == "" {
		return NoRateLimit, nil
	}
	num, err := strconv.ParseFloat(txt, 64)
	if err != nil || num < 0 || math.IsInf(num, 0) || math.IsNaN(num) {
		return RateLimit{}, fmt.Errorf("rate limit %.16q is not a number of requests per second", txt)
	}
	return RateLimitOf(num), nil
}

// RateLimitOfMilli returns the limit for a value of Milli; nil means that nothing is known.
func RateLimitOfMilli(milli *int64) RateLimit {
	switch {
	case milli == nil:
		return RateLimit{}
	case *milli < 0:
		return NoRateLimit
	default:
		return RateLimitOf(float64(*milli) / 1000)
	}
}

// Milli returns the limit for messages between nodes: requests in 1000 s, -1 for NoRateLimit, nil if nothing is known.
func (rl RateLimit) Milli() *int64 {
	milli := rl.milli
	switch {
	case !rl.known:
		return nil
	case !rl.limited:
		milli = noRateLimitMilli
	}
	return &milli
}

// Known reports whether anything is known.
func (rl RateLimit) Known() bool { return rl.known }

// Limited reports whether there is a limit.
func (rl RateLimit) Limited() bool { return rl.limited }

// PerSecond returns the limit in requests per second; zero if there is none.
func (rl RateLimit) PerSecond() float64 { return float64(rl.milli) / 1000 }

// String returns the limit in requests per second, "none" or "unknown".
func (rl RateLimit) String() string {
	switch {
	case !rl.known:
		return "unknown"
	case !rl.limited:
		return "none"
	default:
		return strconv.FormatFloat(rl.PerSecond(), 'f', -1, 64)
	}
}
