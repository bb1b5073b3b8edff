package registrar

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// AgeUnknown is the age of a table that nobody has confirmed yet.
const AgeUnknown time.Duration = math.MaxInt64

// Holder holds the table that is in force in a process. It never takes a lower revision.
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

// Age returns how long ago, at most, the table in force was the newest one that control had accepted.
// Rows with CutOffRefuse are refused while it exceeds CutOffLease.
func (hd *Holder) Age() time.Duration {
	at := hd.asOf.Load()
	if at == nil {
		return AgeUnknown
	}
	return max(clocker.Since(*at), 0)
}

// Changed returns a channel that is closed when the next table comes into force.
// Take it before Current, so that no change is missed.
func (hd *Holder) Changed() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.changed
}

// Take puts a table into force unless its revision is lower than, or the same as, the present one.
// It reports whether the table came into force.
func (hd *Holder) Take(tb *Table) bool {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	if tb.Revision() <= hd.current.Load().Revision() {
		return false
	}
	hd.current.Store(tb)
	close(hd.changed)
	hd.changed = make(chan struct{})
	hd.renew()
	return true
}

// Confirm notes that revision was the newest accepted one at the given time.
// It counts only when the table in force has at least that revision; an earlier time changes nothing.
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
	hd.renew()
	return true
}

// renewals returns a channel that is closed at the next Take or Confirm that counts.
func (hd *Holder) renewals() <-chan struct{} {
	hd.mu.Lock()
	defer hd.mu.Unlock()
	return hd.renewed
}

// renew wakes those that wait for renewals; the lock is held.
func (hd *Holder) renew() {
	close(hd.renewed)
	hd.renewed = make(chan struct{})
}
