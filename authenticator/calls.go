package authenticator

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// Call is a request that is running at this instance's upstream.
// Its fields are immutable, except for what Budget points to; its methods are safe for concurrent use.
type Call[B any] struct {
	Request    gypsumhoist.RequestID
	Workspace  gypsumhoist.Workspace
	Route      string
	KeyID      string
	Importance gypsumhoist.Importance
	Deadline   time.Time
	Depth      int
	// Budget is the retry budget that the nested calls share.
	Budget B

	// Repeat is set if the call is a retry of one that may have run, or was made on behalf of such a retry.
	Repeat bool
	// Siblings is set if this call, or one above it in its call chain, is one of several nested calls of the same call.
	Siblings bool
	// Committed is set if an earlier nested call of the same call, or of one above it in its call chain, was answered.
	Committed bool
	// Target is when the request at the entry of the call chain is due to meet its target, if waiting could make it miss that; else zero.
	Target time.Time

	// abandoned ends once nobody waits for the answer any more.
	abandoned context.Context
	abandon   context.CancelFunc

	answered atomic.Int32
	nested   atomic.Bool
	refused  atomic.Bool
	// overloaded is set if one of the refusals was for lack of room.
	overloaded atomic.Bool
	failed     atomic.Bool
}

// RecordAnswered records that a nested call of this one was answered successfully.
func (cl *Call[B]) RecordAnswered() { cl.answered.Add(1) }

// Answered returns how many nested calls were answered successfully.
func (cl *Call[B]) Answered() int { return int(cl.answered.Load()) }

// RecordNested records that the upstream made a nested call for this one.
func (cl *Call[B]) RecordNested() { cl.nested.Store(true) }

// Nested reports whether the upstream made a nested call for this one.
func (cl *Call[B]) Nested() bool { return cl.nested.Load() }

// RecordFailed records that a nested call got no answer, or an answer that reports a failure.
func (cl *Call[B]) RecordFailed() { cl.failed.Store(true) }

// Failed reports whether a nested call failed, so that a failure of this call did not arise at this upstream.
func (cl *Call[B]) Failed() bool { return cl.failed.Load() }

// RecordRefused records that a nested call was refused. With room it was refused by an upstream that had room, which says nothing
// about load.
func (cl *Call[B]) RecordRefused(withRoom bool) {
	cl.refused.Store(true)
	if !withRoom {
		cl.overloaded.Store(true)
	}
}

// RefusedWithRoom reports whether nested calls were refused, all of them by upstreams that had room.
func (cl *Call[B]) RefusedWithRoom() bool { return cl.refused.Load() && !cl.overloaded.Load() }

// Refused reports whether a nested call was refused.
func (cl *Call[B]) Refused() bool { return cl.refused.Load() }

// Abandoned returns a context that ends once the call, which Begin has added, is abandoned.
func (cl *Call[B]) Abandoned() context.Context { return cl.abandoned }

// abandonedCallsMax is how many abandoned calls are remembered. Older ones count as unknown.
const abandonedCallsMax = 4096

// Calls maps the tokens that upstreams send along with nested calls to the calls in flight that those belong to.
// It is safe for concurrent use. The zero value is not usable; call NewCalls.
type Calls[B any] struct {
	mu    sync.RWMutex
	calls map[string]*Call[B]
	// abandoned holds the tokens of the last abandonedCallsMax calls that ended by Abandon; order holds them from the oldest on.
	abandoned map[string]struct{}
	order     *ringer.Ring[string]
}

// NewCalls returns an empty set of calls.
func NewCalls[B any]() *Calls[B] {
	return &Calls[B]{calls: map[string]*Call[B]{}, abandoned: map[string]struct{}{}, order: ringer.New[string](abandonedCallsMax)}
}

// Begin adds a call and returns its token of 130 random bits.
func (cs *Calls[B]) Begin(cl *Call[B]) string {
	tok := rand.Text()
	cl.abandoned, cl.abandon = context.WithCancel(context.Background())
	cs.mu.Lock()
	cs.calls[tok] = cl
	cs.mu.Unlock()
	return tok
}

// End removes a call; its token is unknown from then on.
func (cs *Calls[B]) End(tok string) {
	cs.mu.Lock()
	delete(cs.calls, tok)
	cs.mu.Unlock()
}

// Abandon removes a call that nobody waits for any more, and remembers its token.
func (cs *Calls[B]) Abandon(tok string) {
	cs.mu.Lock()
	cl := cs.calls[tok]
	delete(cs.calls, tok)
	if cl != nil {
		cs.remember(tok)
	}
	cs.mu.Unlock()
	if cl != nil {
		cl.abandon()
	}
}

// remember adds a token to the abandoned ones. The mutex is held.
func (cs *Calls[B]) remember(tok string) {
	if cs.order.Len() == abandonedCallsMax {
		if oldest, ok := cs.order.Pop(); ok {
			delete(cs.abandoned, oldest)
		}
	}
	cs.order.Push(tok)
	cs.abandoned[tok] = struct{}{}
}

// IsAbandoned reports whether a token is that of a call that ended by Abandon lately.
func (cs *Calls[B]) IsAbandoned(tok string) bool {
	cs.mu.RLock()
	defer cs.mu.RUnlock()
	_, ok := cs.abandoned[tok]
	return ok
}

// Find returns the call in flight with the given token.
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
