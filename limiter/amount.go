package limiter

import (
	"math"
	"math/bits"
	"time"

	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Amount is a number of tokens in millionths; one request spends One.
type Amount int64

// One is the token that one request spends.
const One Amount = 1_000_000

// amountPerRate is what a rate of one thousandth of a request per second adds in one second.
const amountPerRate = One / Amount(registrar.RateOne)

// Whole converts a number of whole tokens to an Amount.
func Whole(tokens int64) Amount {
	return Amount(min(tokens, math.MaxInt64/int64(One))) * One
}

// Tokens returns the number of whole tokens in the amount, rounded down.
func (am Amount) Tokens() int64 { return int64(am / One) }

// accrued returns what a rate in amounts per second adds in a time, at most limit.
// carry is the remainder of earlier divisions, in amounts times nanoseconds; the new remainder is returned.
func accrued(rate Amount, passed time.Duration, carry uint64, limit Amount) (Amount, uint64) {
	if passed <= 0 || rate <= 0 || limit <= 0 {
		return 0, carry
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(passed))
	lo, over := bits.Add64(lo, carry, 0)
	hi += over
	if hi >= uint64(time.Second) {
		return limit, 0
	}
	whole, rest := bits.Div64(hi, lo, uint64(time.Second))
	if whole >= uint64(limit) {
		return limit, 0
	}
	return Amount(whole), rest
}

// timeToAccrue returns the time in which a rate adds an amount, rounded up; forever for a rate of zero.
func timeToAccrue(am, rate Amount) time.Duration {
	switch {
	case am <= 0:
		return 0
	case rate <= 0:
		return forever
	}
	hi, lo := bits.Mul64(uint64(am), uint64(time.Second))
	if hi >= uint64(rate) {
		return forever
	}
	whole, rest := bits.Div64(hi, lo, uint64(rate))
	if rest > 0 {
		whole++
	}
	return time.Duration(min(whole, uint64(forever)))
}

// forever is longer than any process runs, and doesn't overflow when it is added to a time.
const forever = 100 * 365 * 24 * time.Hour
