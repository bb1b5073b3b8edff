// Package explainer keeps the recent decisions of a node, so that an operator can ask why
// a request was served or refused as it was.
package explainer

import (
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of the steps kept of one request.
const (
	stepsMax   = 24
	stepsUsual = 4 // of a request that is served at once
)

// Step is one decision about a request.
type Step struct {
	// After is the time since the request came to this node.
	After time.Duration `json:"after_ns"`
	// Duty is the package that decided, What its decision.
	Duty   string `json:"duty"`
	What   string `json:"what"`
	Detail string `json:"detail,omitempty"`
}

// Record holds what one node decided about one request.
// It is for one goroutine until it is added to a Book, and must not change after.
type Record struct {
	Request  gypsumhoist.RequestID `json:"request"`
	Instance gypsumhoist.Instance  `json:"instance"`
	Hop      bool                  `json:"hop"`
	// Depth is how many calls deep in its chain the request came, Late that its answer took longer than the row's target.
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

// Note adds a step. Steps beyond the bound are left out. A nil record takes nothing.
func (rc *Record) Note(duty, what, detail string) {
	if rc == nil || len(rc.Steps) >= stepsMax {
		return
	}
	if rc.Steps == nil {
		rc.Steps = make([]Step, 0, stepsUsual)
	}
	rc.Steps = append(rc.Steps, Step{After: time.Since(rc.Started), Duty: duty, What: what, Detail: detail})
}

// Book keeps the newest records of a node up to a bound.
// It is safe for concurrent use. The zero value is not usable; call New.
type Book struct {
	mu      sync.Mutex
	records []*Record
	next    int
	byID    map[gypsumhoist.RequestID][]*Record
}

// New returns an empty book for up to size records; a size below one counts as one.
func New(size int) *Book {
	size = max(size, 1)
	return &Book{records: make([]*Record, size), byID: make(map[gypsumhoist.RequestID][]*Record, size)}
}

// Add takes a finished record; the oldest one makes room. A nil book keeps nothing.
func (bk *Book) Add(rc *Record) {
	if bk == nil {
		return
	}
	rc.Took = time.Since(rc.Started)
	bk.mu.Lock()
	defer bk.mu.Unlock()
	if old := bk.records[bk.next]; old != nil {
		bk.forget(old)
	}
	bk.records[bk.next] = rc
	bk.next = (bk.next + 1) % len(bk.records)
	bk.byID[rc.Request] = append(bk.byID[rc.Request], rc)
}

// Find returns the records of one request in the order they were added, none for an unknown one.
func (bk *Book) Find(id gypsumhoist.RequestID) []*Record {
	if bk == nil {
		return nil
	}
	bk.mu.Lock()
	defer bk.mu.Unlock()
	return append([]*Record(nil), bk.byID[id]...)
}

func (bk *Book) forget(old *Record) {
	left := bk.byID[old.Request][1:]
	if len(left) == 0 {
		delete(bk.byID, old.Request)
		return
	}
	bk.byID[old.Request] = left
}
