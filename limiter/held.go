package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Held returns how many tokens of a row the node holds, and what Spend would do with the next request now. It changes nothing.
func (lm *Limiter) Held(rw *registrar.Row) (int64, gypsumhoist.SpendOutlook) {
	if rw.Rate <= 0 || rw.Burst <= 0 {
		return 0, gypsumhoist.SpendRefused
	}
	rl := (*lm.rows.Load())[KeyOf(rw)]
	if rl == nil {
		return 0, gypsumhoist.SpendAsksKeeper
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.bucket.held(time.Now())
}

// held returns the tokens that can be spent, and what Spend would do. A bucket whose leader is lost counts its standby tokens.
func (nb *NodeBucket) held(now time.Time) (int64, gypsumhoist.SpendOutlook) {
	tokens := int64(0)
	for ix := range nb.grants {
		if !nb.grants[ix].expired(now) {
			tokens += nb.grants[ix].remaining
		}
	}
	if nb.unready {
		sb := nb.standby
		sb.fill(now)
		tokens += sb.level.Tokens()
	}
	if tokens > 0 && len(nb.waiters) == 0 {
		return tokens, gypsumhoist.SpendTakesToken
	}
	return tokens, gypsumhoist.SpendAsksKeeper
}
