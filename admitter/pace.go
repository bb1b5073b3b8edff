package admitter

import (
	"math"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// paceMin in requests per second is kept up under lower limits: only answers tell when a limit ends.
	paceMin = 0.5
	// paceBurst is the time whose requests may be started at once.
	paceBurst = 250 * time.Millisecond
	// paceLiftAnswers is how many answers in a row must name no limit to lift one, as a faulty answer may lack it.
	paceLiftAnswers = 3
)

// pace starts no more requests per second than the upstream takes from all nodes. As all requests to the upstream pass this node,
// the bound holds for the fleet. It is a token bucket that begins empty.
type pace struct {
	limit  gypsumhoist.RateLimit // named by the upstream
	cold   gypsumhoist.RateLimit // applies besides limit while the upstream is cold
	tokens float64
	at     time.Duration // time of tokens
	// confirmed is set if the upstream itself has named the limit; unnamed counts the answers in a row that named none since.
	confirmed bool
	unnamed   int
}

// named applies the limit that an answer of the upstream names, and reports whether the limit has changed.
func (pc *pace) named(now time.Duration, limit gypsumhoist.RateLimit) bool {
	if pc.confirmed && !limit.Limited() {
		pc.unnamed++
		if pc.unnamed < paceLiftAnswers {
			return false
		}
	}
	pc.unnamed, pc.confirmed = 0, limit.Limited()
	return pc.set(now, limit)
}

// set changes the limit that the upstream names and reports whether it differs from the previous one.
func (pc *pace) set(now time.Duration, limit gypsumhoist.RateLimit) bool {
	return pc.apply(now, limit, pc.cold)
}

// setCold changes the limit of the cold upstream and reports whether it differs from the previous one.
func (pc *pace) setCold(now time.Duration, cold gypsumhoist.RateLimit) bool {
	return pc.apply(now, pc.limit, cold)
}

func (pc *pace) apply(now time.Duration, limit, cold gypsumhoist.RateLimit) bool {
	if limit == pc.limit && cold == pc.cold {
		return false
	}
	if pc.effective().Limited() {
		pc.refill(now)
	} else {
		pc.tokens, pc.at = 0, now
	}
	pc.limit, pc.cold = limit, cold
	pc.tokens = min(pc.tokens, pc.burst())
	return true
}

// effective returns the lower of the two limits.
func (pc *pace) effective() gypsumhoist.RateLimit {
	if pc.cold.Limited() && (!pc.limit.Limited() || pc.cold.PerSecond() < pc.limit.PerSecond()) {
		return pc.cold
	}
	return pc.limit
}

func (pc *pace) perSecond() float64 { return max(pc.effective().PerSecond(), paceMin) }

func (pc *pace) burst() float64 { return max(1, pc.perSecond()*paceBurst.Seconds()) }

func (pc *pace) refill(now time.Duration) {
	if now > pc.at {
		pc.tokens = min(pc.burst(), pc.tokens+pc.perSecond()*(now-pc.at).Seconds())
		pc.at = now
	}
}

// next returns when the next request may be started, now at the earliest.
func (pc *pace) next(now time.Duration) time.Duration {
	if !pc.effective().Limited() {
		return now
	}
	pc.refill(now)
	if pc.tokens >= 1 {
		return now
	}
	// Rounded up, so that the token is whole by then.
	return now + time.Duration(math.Ceil((1-pc.tokens)/pc.perSecond()*float64(time.Second))) + time.Microsecond
}

// start counts a request that is started.
func (pc *pace) start(now time.Duration) {
	if pc.effective().Limited() {
		pc.refill(now)
		pc.tokens--
	}
}

// concurrency returns how many requests run at the pace if each takes a service time, one at least; most if there is no limit.
func (pc *pace) concurrency(most int, serviceTime time.Duration) int {
	if !pc.effective().Limited() || serviceTime == 0 {
		return most
	}
	return max(1, min(most, int(math.Ceil(pc.perSecond()*serviceTime.Seconds()))))
}
