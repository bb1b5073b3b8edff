// Package explainer keeps a trace of the decisions that a node took about its most recent requests,
// so that an operator can find out why a request was served or refused.
package explainer

import (
	"strings"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// methodBytesMax is how much of an unknown method a record keeps.
const methodBytesMax = 32

// Limits on the steps of one record.
const (
	stepsMax      = 24
	stepsCapacity = 4 // initial capacity: enough for a request served at the first attempt
)

// Step is one decision about a request, or one event in its handling.
type Step struct {
	// After is the time since the request arrived at this node.
	After time.Duration `json:"after_ns"`
	// Component is the package that reports the step.
	Component string `json:"duty"`
	// Decision is the decision or event, a short text such as "picked" or "stored answer".
	Decision string `json:"what"`
	Detail   string `json:"detail,omitempty"`
}

// Record holds the decisions of one node about one request.
// Only one goroutine may use it until it is added to a store, and none may modify it afterwards.
type Record struct {
	Request  gypsumhoist.RequestID `json:"request"`
	Instance gypsumhoist.Instance  `json:"instance"`
	// Hop is true for the node of the upstream, false for the node that the request entered at.
	Hop bool `json:"hop"`
	// Depth is the number of upstream calls that led to the request, 0 for a caller's own request.
	// Late is true if the answer took longer than the row's target latency.
	Depth      int                    `json:"depth"`
	Late       bool                   `json:"late,omitempty"`
	Started    time.Time              `json:"started"`
	Took       time.Duration          `json:"took_ns"`
	Workspace  gypsumhoist.Workspace  `json:"workspace"`
	Route      string                 `json:"route"`
	Row        uint64                 `json:"row_number"`
	Revision   uint64                 `json:"revision"`
	Method     string                 `json:"method"`
	Status     int                    `json:"status"`
	Verdict    string                 `json:"verdict"`
	Reason     gypsumhoist.Reason     `json:"reason,omitempty"`
	Key        string                 `json:"key_id,omitempty"`
	Service    gypsumhoist.Service    `json:"service,omitempty"`
	Importance gypsumhoist.Importance `json:"importance"`
	Steps      []Step                 `json:"steps"`
}

// Note appends a step, unless the record is at its limit of steps. It is a no-op on a nil record.
func (rc *Record) Note(component, decision, detail string) {
	if rc == nil || len(rc.Steps) >= stepsMax {
		return
	}
	if rc.Steps == nil {
		rc.Steps = make([]Step, 0, stepsCapacity)
	}
	rc.Steps = append(rc.Steps, Step{After: time.Since(rc.Started), Component: component, Decision: decision, Detail: detail})
}

// Store holds a bounded number of a node's most recent records: a ring buffer with an index by request id.
// It is safe for concurrent use. The zero value is not usable; call New.
type Store struct {
	mu      sync.Mutex
	records []*Record // ring buffer
	next    int       // position of the oldest record, which Add overwrites
	byID    map[gypsumhoist.RequestID][]*Record
}

// New returns an empty store for up to size records; a size below one is taken as one.
func New(size int) *Store {
	size = max(size, 1)
	return &Store{records: make([]*Record, size), byID: make(map[gypsumhoist.RequestID][]*Record, size)}
}

// Add sets the duration of a finished record and stores it, evicting the oldest record if the store is full.
// It is a no-op on a nil store.
func (st *Store) Add(rc *Record) {
	if st == nil {
		return
	}
	rc.Took = time.Since(rc.Started)
	// The method of a request is a part of its request line, and would keep the whole line in memory.
	rc.Method = strings.Clone(rc.Method[:min(len(rc.Method), methodBytesMax)])
	st.mu.Lock()
	defer st.mu.Unlock()
	if old := st.records[st.next]; old != nil {
		st.unindex(old)
	}
	st.records[st.next] = rc
	st.next = (st.next + 1) % len(st.records)
	st.byID[rc.Request] = append(st.byID[rc.Request], rc)
}

// Find returns the records of one request in the order in which they were added. It returns none for an unknown request.
func (st *Store) Find(id gypsumhoist.RequestID) []*Record {
	if st == nil {
		return nil
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return append([]*Record(nil), st.byID[id]...)
}

// unindex removes a record, the oldest of its request, from the index.
func (st *Store) unindex(old *Record) {
	rest := st.byID[old.Request][1:]
	if len(rest) == 0 {
		delete(st.byID, old.Request)
		return
	}
	st.byID[old.Request] = rest
}
