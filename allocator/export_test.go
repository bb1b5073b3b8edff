package allocator

import "github.com/gypsumhoist/gypsumhoist/clocker"

// HomeShare returns the share of the rows that are centralized at this node.
func (al *Allocator) HomeShare() float64 {
	al.mu.Lock()
	defer al.mu.Unlock()
	now := clocker.Now()
	al.home.updateShare(now, al.keeper.Share(now))
	return al.home.share
}
