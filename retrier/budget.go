package retrier

import "sync/atomic"

// MaxBudget is the largest retry budget that one request can carry, in retries.
const MaxBudget = 100

// The part of a balance that an attempt carries.
const (
	handoutNum = 3
	handoutDen = 4
)

// Budget is the balance of retries of one call in flight at a node.
// All parallel calls made on its behalf share it. It is safe for concurrent use.
// The zero value holds no retries.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget of a number of retries, clipped to the range from 0 to MaxBudget.
func NewBudget(retries int) *Budget {
	bg := &Budget{}
	bg.left.Store(int64(clip(retries, MaxBudget)))
	return bg
}

// Left returns the retries that nobody has drawn.
// A nil budget has none.
func (bg *Budget) Left() int {
	if bg == nil {
		return 0
	}
	return int(bg.left.Load())
}

// Draw takes up to a number of retries out of the budget; it may get fewer, also none.
// A negative number counts as zero, a nil budget gives nothing.
func (bg *Budget) Draw(retries int) Share {
	if bg == nil || retries <= 0 {
		return Share{}
	}
	for {
		old := bg.left.Load()
		taken := min(old, int64(retries))
		if taken == 0 {
			return Share{}
		}
		if bg.left.CompareAndSwap(old, old-taken) {
			return Share{budget: bg, retries: int(taken)}
		}
	}
}

// DrawHandout draws what the next attempt carries to its upstream's node:
// most of the balance, as calls deep in a chain need them, and not all, so that some survive a lost answer.
func (bg *Budget) DrawHandout() Share {
	return bg.Draw(bg.Left() * handoutNum / handoutDen)
}

// Share is a number of retries drawn from a budget for one attempt.
// It is a plain value for one goroutine; the zero value holds nothing.
type Share struct {
	budget  *Budget
	retries int
}

// Retries returns how many retries the share holds.
func (sh *Share) Retries() int { return sh.retries }

// Return puts the unspent part of the share back and empties the share.
// More than the share holds counts as all of it, less than zero as nothing.
// A share that is never returned, as its answer was lost, stays spent.
func (sh *Share) Return(unspent int) {
	if sh.budget != nil {
		sh.budget.left.Add(int64(clip(unspent, sh.retries)))
	}
	*sh = Share{}
}

func clip(retries, most int) int { return max(0, min(retries, most)) }
