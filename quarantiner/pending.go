package quarantiner

import "sync/atomic"

// pendingMessages counts messages being sent and closes done when the last has ended.
// It starts at one, for the goroutine that adds the messages. A nil *pendingMessages counts nothing.
type pendingMessages struct {
	left atomic.Int64
	done chan struct{}
}

func newPendingMessages() *pendingMessages {
	pd := &pendingMessages{done: make(chan struct{})}
	pd.left.Store(1)
	return pd
}

func (pd *pendingMessages) add() {
	if pd != nil {
		pd.left.Add(1)
	}
}

func (pd *pendingMessages) finish() {
	if pd != nil && pd.left.Add(-1) == 0 {
		close(pd.done)
	}
}
