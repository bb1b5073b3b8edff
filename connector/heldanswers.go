package connector

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// What a response holds while a write of it waits for the client, in bytes.
const (
	// heldAnswerMax is for a long response: the buffer that it is copied through, and what its sender may send ahead.
	heldAnswerMax = 192 << 10
	// heldAnswerMin is the size up to which a response is not counted; the buffers of a connection hold it.
	heldAnswerMin = 16 << 10
)

// heldAnswerWait is how long a write must have waited before its response may be ended. A client that reads makes room sooner.
const heldAnswerWait = 50 * time.Millisecond

// heldAnswer is a response while a write of it waits for the client.
type heldAnswer struct {
	cost  int64
	since time.Time
	// evict ends the response. It is called without the mutex of heldAnswers.
	evict func()
}

// heldAnswers counts the responses of a process whose clients don't take them. Beyond its limit it ends those that have waited longest.
// A response whose writes don't wait counts nothing, however long it is.
type heldAnswers struct {
	limit int64

	mu        sync.Mutex
	waiting   map[*heldAnswer]struct{}
	total     int64
	scheduled bool // a call of check
}

func newHeldAnswers(limit int64) *heldAnswers {
	return &heldAnswers{limit: limit, waiting: map[*heldAnswer]struct{}{}}
}

// bytes returns what the responses that wait hold now.
func (ha *heldAnswers) bytes() int64 {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	return ha.total
}

// begin records that a write of a response begins.
func (ha *heldAnswers) begin(an *heldAnswer) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	an.since = time.Now()
	ha.waiting[an] = struct{}{}
	ha.total += an.cost
	ha.schedule()
}

// end records that the write has ended.
func (ha *heldAnswers) end(an *heldAnswer) {
	ha.mu.Lock()
	defer ha.mu.Unlock()
	ha.remove(an)
}

// remove ends the count of a response, once. The mutex is held.
func (ha *heldAnswers) remove(an *heldAnswer) {
	if _, ok := ha.waiting[an]; ok {
		delete(ha.waiting, an)
		ha.total -= an.cost
	}
}

// schedule calls check after heldAnswerWait if the limit is exceeded. The mutex is held.
func (ha *heldAnswers) schedule() {
	if ha.total > ha.limit && !ha.scheduled {
		ha.scheduled = true
		time.AfterFunc(heldAnswerWait, ha.check)
	}
}

// check ends responses until the others are within the limit.
func (ha *heldAnswers) check() {
	ha.mu.Lock()
	victims := ha.victims(time.Now().Add(-heldAnswerWait))
	for _, an := range victims {
		ha.remove(an)
	}
	ha.scheduled = false
	ha.schedule()
	ha.mu.Unlock()
	for _, an := range victims {
		an.evict()
	}
}

// victims returns the responses to end, among those that wait since the given time or longer. The mutex is held.
func (ha *heldAnswers) victims(until time.Time) []*heldAnswer {
	if ha.total <= ha.limit {
		return nil
	}
	var out []*heldAnswer
	for an := range ha.waiting {
		if !an.since.After(until) {
			out = append(out, an)
		}
	}
	slices.SortFunc(out, func(a, b *heldAnswer) int { return cmp.Compare(a.since.UnixNano(), b.since.UnixNano()) })
	excess := ha.total - ha.limit
	for ix, an := range out {
		if excess <= 0 {
			return out[:ix]
		}
		excess -= an.cost
	}
	return out
}
