package authenticator

import (
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Call is a request that runs at this instance's upstream now.
// Its fields are immutable but for what Budget points to; its methods are safe for concurrent use.
type Call[B any] struct {
	Request    gypsumhoist.RequestID
	Workspace  gypsumhoist.Workspace
	Route      string
	KeyID      string
	Importance gypsumhoist.Importance
	Deadline   time.Time
	Depth      int
	// Budget is the retry budget that nested calls share.
	Budget B

	// Repeat tells that the call is a retry of one that may have run, or was made for such a retry.
	Repeat bool
	// Siblings tells that the request makes several calls at some step of its chain down to this one.
	Siblings bool

	answered atomic.Int32
	nested   atomic.Bool
	refused  atomic.Bool
	failed   atomic.Bool
}

// NoteAnswered notes that a call of the upstream's own got a good answer.
func (cl *Call[B]) NoteAnswered() { cl.answered.Add(1) }

// Answered returns how many calls of the upstream's own got a good answer.
func (cl *Call[B]) Answered() int { return int(cl.answered.Load()) }

// NoteNested notes that the upstream made a call of its own for this one.
func (cl *Call[B]) NoteNested() { cl.nested.Store(true) }

// Nested reports whether the upstream made a call of its own for this one.
func (cl *Call[B]) Nested() bool { return cl.nested.Load() }

// NoteFailed notes that a call of the upstream's own got no answer, or one that tells of a failure.
func (cl *Call[B]) NoteFailed() { cl.failed.Store(true) }

// Failed reports whether a call of the upstream's own failed, so that the upstream's failure is none of its own.
func (cl *Call[B]) Failed() bool { return cl.failed.Load() }

// NoteRefused notes that a call of the upstream's own was refused.
func (cl *Call[B]) NoteRefused() { cl.refused.Store(true) }

// Refused reports whether a call of the upstream's own was refused.
func (cl *Call[B]) Refused() bool { return cl.refused.Load() }

// Calls maps the tokens that upstreams return on nested calls to the calls in flight.
// It is safe for concurrent use. The zero value is not usable; call NewCalls.
type Calls[B any] struct {
	mu    sync.RWMutex
	calls map[string]*Call[B]
}

// NewCalls returns an empty set of calls.
func NewCalls[B any]() *Calls[B] {
	return &Calls[B]{calls: map[string]*Call[B]{}}
}

// Begin adds a call and returns its token of 130 random bits.
func (cs *Calls[B]) Begin(cl *Call[B]) string {
	tok := rand.Text()
	cs.mu.Lock()
	cs.calls[tok] = cl
	cs.mu.Unlock()
	return tok
}

// End forgets a call; its token is unknown from then on.
func (cs *Calls[B]) End(tok string) {
	cs.mu.Lock()
	delete(cs.calls, tok)
	cs.mu.Unlock()
}

// Find returns the call in flight that a token stands for.
func (cs *Calls[B]) Find(tok string) (*Call[B], bool) {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	cl, ok := cs.calls[tok]
	return cl, ok
}

// Len returns how many calls are in flight.
func (cs *Calls[B]) Len() int {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	return len(cs.calls)
}
