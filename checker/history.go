// Package checker evaluates a scenario run: it keeps the history of operations, runs and events, finds violations of the
// guarantees, and measures the service that callers got, such as goodput and the share of wrongful refusals.
package checker

import (
	"net/http"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Run is one request that an upstream ran.
type Run struct {
	Instance gypsumhoist.Instance
	Service  gypsumhoist.Service
	Method   string
	// Operation, Attempt and Workspace are taken from headers that the caller wrote.
	Operation string
	Attempt   string
	Workspace gypsumhoist.Workspace
	Header    http.Header
	Began     time.Time
	// Completed is true if the upstream wrote its whole answer.
	Completed bool
}

// Attempt is one HTTP request of a caller for an operation.
type Attempt struct {
	Name    string
	Sent    time.Time
	Ended   time.Time
	Status  int
	Verdict string
	Reason  gypsumhoist.Reason
	// Detail is the refusal's message for people.
	Detail string
	// Complete is true if the whole answer arrived, Matching if it names this operation.
	Complete bool
	Matching bool
}

// Operation is what a caller wants done once, with all its attempts.
type Operation struct {
	Name      string
	Load      string
	Workspace gypsumhoist.Workspace
	KeyID     string
	// Route is the route of the row, Service its service.
	Route              string
	Service            gypsumhoist.Service
	Method             string
	UsesIdempotencyKey bool // all attempts carry the same Idempotency-Key
	Class              string
	Sent               time.Time
	Ended              time.Time
	Done               bool // an attempt got a complete successful answer in time
	Attempts           []Attempt
}

// RefusalReason returns the reason of the refusal of the last attempt, or "" if there was none.
func (op *Operation) RefusalReason() gypsumhoist.Reason {
	if op.Done || len(op.Attempts) == 0 {
		return ""
	}
	return op.Attempts[len(op.Attempts)-1].Reason
}

// Event is an act of an operator or a change in the fleet.
type Event interface{ event() }

// WithdrawalInForce records that the withdrawal of a key was reported as in force everywhere.
type WithdrawalInForce struct {
	KeyID string
	At    time.Time
}

// DrainStarted records that an upstream began to drain.
type DrainStarted struct {
	Instance gypsumhoist.Instance
	At       time.Time
}

// InstanceStarted records that an instance started; guarantees that bound its earlier process no longer apply.
type InstanceStarted struct {
	Instance gypsumhoist.Instance
	At       time.Time
}

// LimitInForce records the time during which a row with a rate (requests per second) and a burst was in force;
// a zero Until means until the end of the scenario.
type LimitInForce struct {
	Workspace gypsumhoist.Workspace
	Route     string
	Rate      float64
	Burst     float64
	From      time.Time
	Until     time.Time
}

// RevisionObserved records which revision was in force at an instance.
type RevisionObserved struct {
	Instance gypsumhoist.Instance
	Boot     int
	Revision uint64
	At       time.Time
}

// EditAccepted records that an edit was accepted as a revision; Text is the row's content at that revision.
type EditAccepted struct {
	Revision uint64
	Text     string
	At       time.Time
}

// RowRead records what an operator read later for the same row, and at which revision.
type RowRead struct {
	Revision uint64
	Text     string
	At       time.Time
}

func (WithdrawalInForce) event() {}
func (DrainStarted) event()      {}
func (InstanceStarted) event()   {}
func (LimitInForce) event()      {}
func (RevisionObserved) event()  {}
func (EditAccepted) event()      {}
func (RowRead) event()           {}

// History holds the operations, runs and events of a scenario. It is safe for concurrent use; the zero value is empty.
type History struct {
	mu         sync.Mutex
	runs       []Run
	operations []*Operation
	events     []Event
}

// AddRun adds a run.
func (hs *History) AddRun(rn Run) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.runs = append(hs.runs, rn)
}

// AddOperation adds an operation that has ended. The caller must not change it afterwards.
func (hs *History) AddOperation(op *Operation) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.operations = append(hs.operations, op)
}

// AddEvent adds an event.
func (hs *History) AddEvent(ev Event) {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	hs.events = append(hs.events, ev)
}

// Operations returns the operations that have ended.
func (hs *History) Operations() []*Operation {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return append([]*Operation(nil), hs.operations...)
}

// Runs returns the runs.
func (hs *History) Runs() []Run {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return append([]Run(nil), hs.runs...)
}

// Events returns the events.
func (hs *History) Events() []Event {
	hs.mu.Lock()
	defer hs.mu.Unlock()
	return append([]Event(nil), hs.events...)
}
