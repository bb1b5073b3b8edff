package retrier

import "sync/atomic"

// MaxBudget is the largest number of retries that one request can carry.
const MaxBudget = 100

// Fraction of a balance that an attempt carries.
const (
	shareNum = 3
	shareDen = 4
)

// Budget is the balance of retries of one call in flight at a node.
// All nested calls made on its behalf share it. It is safe for concurrent use.
// The zero value holds no retries.
type Budget struct {
	left atomic.Int64
}

// NewBudget returns a budget with a number of retries, clamped to the range from 0 to MaxBudget.
func NewBudget(retries int) *Budget {
	bg := &Budget{}
	bg.left.Store(int64(clamp(retries, MaxBudget)))
	return bg
}

// Left returns the retries that have not been drawn. A nil budget has none.
func (bg *Budget) Left() int {
	if bg == nil {
		return 0
	}
	return int(bg.left.Load())
}

// Draw takes up to a number of retries out of the budget. The returned share may hold fewer, even none.
// A negative number counts as zero, and a nil budget yields an empty share.
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

// DrawShare draws the share that the next attempt carries to its upstream's node: most of the balance,
// as calls deep in a chain need it, but not all, so that some retries remain if the answer is lost.
func (bg *Budget) DrawShare() Share {
	return bg.Draw(bg.Left() * shareNum / shareDen)
}

// Share is a number of retries drawn from a budget for one attempt.
// It is not safe for concurrent use. The zero value is empty.
type Share struct {
	budget  *Budget
	retries int
}

// Retries returns the number of retries that the share holds.
func (sh *Share) Retries() int { return sh.retries }

// Return puts unspent retries of the share back into the budget and empties the share.
// The number is clamped to the range from 0 to what the share holds.
// A share that is never returned, because the answer was lost, counts as spent.
func (sh *Share) Return(unspent int) {
	if sh.budget != nil {
		sh.budget.left.Add(int64(clamp(unspent, sh.retries)))
	}
	*sh = Share{}
}

func clamp(retries, most int) int { return max(0, min(retries, most)) }
