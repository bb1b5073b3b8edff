package replicator

import "sync/atomic"

// event is what a group's ring carries: callEvent or messageEvent.
type event interface{ event() }

type callEvent struct{ call *call }

type messageEvent struct{ message Message }

func (callEvent) event()    {}
func (messageEvent) event() {}

type callKind uint8

const (
	callPropose callKind = iota
	callChange
	callRead
	callStatus
)

// call is one request to a group's goroutine.
type call struct {
	kind    callKind
	command []byte
	change  Change
	done    chan result // has a buffer of one

	state atomic.Int32
	term  uint64 // of the call's entry
	index uint64 // that must be applied before a read
}

type result struct {
	answer []byte
	status Status
	err    error
}

// States of a call: the group's goroutine claims it or its caller abandons it, whichever comes first.
const (
	stateOpen int32 = iota
	stateClaimed
	stateAbandoned
)

// claim marks the call as being processed and reports false if its caller has abandoned it.
func (cl *call) claim() bool { return cl.state.CompareAndSwap(stateOpen, stateClaimed) }

// abandon returns the error of a caller that no longer waits.
func (cl *call) abandon(group string, cause error) error {
	if cl.kind == callRead {
		return cause
	}
	if cl.state.CompareAndSwap(stateOpen, stateAbandoned) {
		return &ErrNoLeader{Group: group, Detail: cause.Error()}
	}
	return &ErrUnknownOutcome{Group: group, Cause: cause}
}

func (cl *call) finish(rs result) {
	select {
	case cl.done <- rs:
	default:
	}
}
