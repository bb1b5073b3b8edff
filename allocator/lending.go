package allocator

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Times of what a domain lends to the home of rows that are kept whole.
const (
	// lendLife is how long a domain leaves its part to a home after it last lent anything: as long as a cut keeps both from it.
	lendLife = 600 * time.Millisecond
	// lendHold is how long a home counts what it was lent.
	lendHold = lendLife - 100*time.Millisecond
	// lendDoubt is how long a home may be silent until the domain lends nothing more.
	lendDoubt = 300 * time.Millisecond
	// lendEvery is how often a domain tells a home what it lends.
	lendEvery = 200 * time.Millisecond
)

// lender is what a domain has lent to one home. A home counts what it was lent for lendHold; it may have got what it did
// not answer, so that the domain goes on by itself only lendLife after it last lent anything.
type lender struct {
	answered, sent time.Time
}

// SetHomes takes the failure domains that keep rows whole.
func (kp *Keeper) SetHomes(homes map[Key]gypsumhoist.FailureDomain) { kp.homes = homes }

// lent reports whether the domain has left its part of a row to the row's home.
func (kp *Keeper) lent(now time.Time, ky Key) bool {
	home, whole := kp.homes[ky]
	if !whole {
		return false
	}
	if home == kp.self {
		return true
	}
	ln := kp.lenders[home]
	return ln != nil && now.Sub(ln.sent) < lendLife
}

// Lend returns the part of every row that the domain tells a home that it lends, from now on. Nothing is lent to a home that has
// not answered for a while, until it answers again.
func (kp *Keeper) Lend(now time.Time, home gypsumhoist.FailureDomain) float64 {
	ln := kp.lenders[home]
	if ln == nil {
		ln = &lender{}
		kp.lenders[home] = ln
	}
	part := kp.Part(now)
	if part == 0 || now.Sub(ln.answered) > lendDoubt {
		return 0
	}
	ln.sent = now
	return part
}

// Lent notes that a home has answered what was sent to it at a time.
func (kp *Keeper) Lent(sent time.Time, home gypsumhoist.FailureDomain) {
	if ln := kp.lenders[home]; ln != nil {
		ln.answered = sent
	}
}
