package allocator

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Timing of loans. A loan is a domain's share of centralized rows, lent to their home.
const (
	// loanHold is how long a home counts a loan, from when it issued the stamp that came with it. In a partition, the
	// domain's requests can use neither the share nor the home for about as long.
	loanHold = 700 * time.Millisecond
	// legacyLoanHold is how long a home counts a loan of an older build, from its arrival.
	legacyLoanHold = 500 * time.Millisecond
	// homeTimeout is how long a home may be silent before the domain stops lending to it.
	homeTimeout = 300 * time.Millisecond
	// lendInterval is the interval at which a domain renews its loans.
	lendInterval = 200 * time.Millisecond
)

// SetHomes sets the home domains of the centralized rows. The bucket of a row that gets another home starts over empty.
func (kp *Keeper) SetHomes(now time.Time, homes map[Key]gypsumhoist.FailureDomain) {
	kp.advance(now)
	for ky := range kp.limits {
		if homes[ky] == kp.homes[ky] {
			continue
		}
		kp.addedAt[ky] = kp.filled
		if db := kp.buckets[ky]; db != nil {
			db.empty(now, kp.filled)
		}
	}
	kp.homes = homes
}

// isLent reports whether the domain's share of a row is lent to the row's home, or was at any time after the given one.
func (kp *Keeper) isLent(since time.Time, ky Key) bool {
	home, centralized := kp.homes[ky]
	if !centralized {
		return false
	}
	if home == kp.self {
		return true
	}
	lo := kp.loansOut[home]
	return lo != nil && lo.assigned(since)
}

// Loan is what a domain lends to a home: a fraction of every row, and the stamp of the home that comes with it. The fraction is 0, without a stamp, for a
// home that has not answered within homeTimeout, until it answers again, and while another instance may still count the last loan.
type Loan struct {
	Share float64
	Stamp Stamp
}

// Lend starts or renews the loan to the instance that is the home of centralized rows in another domain.
func (kp *Keeper) Lend(now time.Time, domain gypsumhoist.FailureDomain, home gypsumhoist.Instance) Loan {
	lo := kp.loanOut(domain)
	// Nodes that may go over to another keeper before the loan ends don't count.
	share := kp.shareUntil(now, lo.receivedAt.Add(loanHold))
	if share == 0 {
		return Loan{}
	}
	stamp, ok := lo.assign(now, home)
	if !ok {
		return Loan{}
	}
	return Loan{Share: share, Stamp: stamp}
}

func (kp *Keeper) loanOut(domain gypsumhoist.FailureDomain) *assignment {
	lo := kp.loansOut[domain]
	if lo == nil {
		lo = &assignment{hold: loanHold, legacyHold: legacyLoanHold, maxAge: homeTimeout}
		kp.loansOut[domain] = lo
	}
	return lo
}

// HomeAnswered records the answer of a home.
func (kp *Keeper) HomeAnswered(now time.Time, domain gypsumhoist.FailureDomain, home gypsumhoist.Instance, stamp Stamp) {
	kp.loanOut(domain).answered(now, home, stamp)
}
