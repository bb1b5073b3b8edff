package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// AgeUnknown is the age of a table that has not been confirmed yet.
const AgeUnknown time.Duration = math.MaxInt64

// Holder holds the table in force in a process. Its revision never decreases.
// It is safe for concurrent use; Current and Age don't lock.
type Holder struct {
	current atomic.Pointer[Table]
	asOf    atomic.Pointer[time.Time]

	mu      sync.Mutex
	changed chan struct{}
	renewed chan struct{}
}

// NewHolder returns a holder with no table: revision 0, no rows, AgeUnknown.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{}), renewed: make(chan struct{})}
}

// Current returns the table in force. It may be nil, which is an empty table.
func (hd *Holder) Current() *Table { return hd.current.Load() }

// Age returns an upper bound of the time since the table in force was the newest one that control had accepted.
// Rows with CutOffRefuse are refused while it exceeds CutOffLease.
func (hd *Holder) Age() time.Duration {
	at := hd.asOf.Load()
	if at == nil {
		return AgeUnknown
	}
	return max(clocker.Since(*at), 0)
}

// Changed returns a channel that is closed when the next table comes into force.
// Call it before Current, so that no change is missed.
func (hd *Holder) Changed() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.changed
}

// Update puts a table into force if its revision, or that of its evacuations, is higher than the current one, and reports whether it did.
// A table that lacks evacuations, as an older build has relayed it, gets those of the current one.
func (hd *Holder) Update(tb *Table) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	current := hd.current.Load()
	if tb.Revision() < current.Revision() || tb.Revision() == current.Revision() && tb.evacuationRevision() <= current.evacuationRevision() {
		return false
	}
	if tb.evacuationRevision() < current.evacuationRevision() {
		tb = tb.withEvacuations(current.contents.evacuations.message())
	}
	hd.current.Store(tb)
	close(hd.changed)
	hd.changed = make(chan struct{})
	hd.signalRenewal()
	return true
}

// Confirm records that revision was the newest accepted one at asOf, and reports whether it did. It has no effect
// if the table in force has a lower revision, or if asOf is not later than the time already recorded.
func (hd *Holder) Confirm(revision uint64, asOf time.Time) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if hd.current.Load().Revision() < revision {
		return false
	}
	if old := hd.asOf.Load(); old != nil && !asOf.After(*old) {
		return false
	}
	hd.asOf.Store(&asOf)
	hd.signalRenewal()
	return true
}

// renewal returns a channel that is closed at the next Update or Confirm that has an effect.
func (hd *Holder) renewal() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.renewed
}

// signalRenewal closes the channel that renewal returned; the lock is held.
func (hd *Holder) signalRenewal() {
	close(hd.renewed)
	hd.renewed = make(chan struct{})
}
