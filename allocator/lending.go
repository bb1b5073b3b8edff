package allocator

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Timing of loans. A loan is a domain's share of centralized rows, lent to their home.
const (
	// loanDuration is how long a domain does not use its share after it last lent it to a home. In a partition, the domain's
	// requests can use neither the share nor the home for this long.
	loanDuration = 600 * time.Millisecond
	// loanHold is how long a home counts a share as lent to it. It is shorter, so that the home stops before the domain resumes.
	loanHold = loanDuration - 100*time.Millisecond
	// homeTimeout is how long a home may be silent before the domain stops lending to it.
	homeTimeout = 300 * time.Millisecond
	// lendInterval is the interval at which a domain renews its loans.
	lendInterval = 200 * time.Millisecond
)

// loanOut is the state of the loan to one home. The home counts a loan for loanHold. It may have received a loan whose
// answer was lost, so the domain uses its share again only loanDuration after it last sent one.
type loanOut struct {
	answered, sent time.Time
}

// SetHomes sets the home domains of the centralized rows.
func (kp *Keeper) SetHomes(homes map[Key]gypsumhoist.FailureDomain) { kp.homes = homes }

// isLent reports whether the domain's share of a row is lent to the row's home.
func (kp *Keeper) isLent(now time.Time, ky Key) bool {
	home, centralized := kp.homes[ky]
	if !centralized {
		return false
	}
	if home == kp.self {
		return true
	}
	lo := kp.loansOut[home]
	return lo != nil && now.Sub(lo.sent) < loanDuration
}

// Lend starts or renews the loan to a home, and returns the share of every row that the domain lends. The share is 0 for a home that
// has not answered within homeTimeout, until it answers again.
func (kp *Keeper) Lend(now time.Time, home gypsumhoist.FailureDomain) float64 {
	lo := kp.loansOut[home]
	if lo == nil {
		lo = &loanOut{}
		kp.loansOut[home] = lo
	}
	share := kp.Share(now)
	if share == 0 || now.Sub(lo.answered) > homeTimeout {
		return 0
	}
	lo.sent = now
	return share
}

// HomeAnswered records that a home has answered the call sent at a time.
func (kp *Keeper) HomeAnswered(sent time.Time, home gypsumhoist.FailureDomain) {
	if lo := kp.loansOut[home]; lo != nil {
		lo.answered = sent
	}
}
