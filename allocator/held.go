package allocator

import (
	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// Held returns how many tokens of a row the node holds, and what Spend would do with the next request now. It changes nothing.
func (al *Allocator) Held(rw *registrar.Row) (int64, gypsumhoist.SpendOutlook) {
	ky := KeyOf(rw)
	sp := al.spendParams(rw)
	_, centralized := (*al.homes.Load())[ky]
	return (*al.buckets.Load())[ky].held(sp, centralized && al.running.Load())
}

// held says on copies of what a decision changes what spend would do. A nil bucket is that of a row without requests.
func (nb *nodeBucket) held(sp spendParams, centralized bool) (int64, gypsumhoist.SpendOutlook) {
	if nb == nil {
		nb = &nodeBucket{}
	}
	nb.mu.Lock()
	defer nb.mu.Unlock()
	if centralized {
		if sp.now < nb.homeEmptyUntil {
			return 0, gypsumhoist.SpendRefused
		}
		return 0, gypsumhoist.SpendAsksKeeper
	}
	tokens := nb.tokens
	if sp.now >= nb.expiresAt {
		tokens = 0
	}
	cp := nodeBucket{
		tokens: tokens, expiresAt: nb.expiresAt, keeperEmpty: nb.keeperEmpty, keeperEmptyAt: nb.keeperEmptyAt,
		standbyTokens: nb.standbyTokens, standbyAt: nb.standbyAt, standbyActive: nb.standbyActive,
	}
	vd := cp.take(sp)
	if !sp.hasLease {
		tokens = int64(cp.standbyTokens)
		if vd == verdictTaken {
			tokens++
		}
	}
	switch vd {
	case verdictTaken, verdictLow:
		return tokens, gypsumhoist.SpendTakesToken
	case verdictAskKeeper:
		return tokens, gypsumhoist.SpendAsksKeeper
	default:
		return tokens, gypsumhoist.SpendRefused
	}
}
