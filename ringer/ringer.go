// Package ringer provides bounded ring buffers that pass items between goroutines.
package ringer

import "sync"

// Ring is a first-in first-out queue of bounded length for many senders and one receiver.
// It is safe for concurrent use. The zero value is not usable; call New.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	length  int
	dropped uint64
	ready   chan struct{}
}

// New returns an empty ring that holds up to size items.
// A size below one counts as one.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// Push appends an item and reports whether there was room for it.
func (rn *Ring[T]) Push(it T) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.length == len(rn.items) {
		rn.dropped++
		return false
	}
	rn.append(it)
	return true
}

// PushEvict appends an item; a full ring evicts its oldest item for it.
// It reports whether an item was evicted.
func (rn *Ring[T]) PushEvict(it T) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	full := rn.length == len(rn.items)
	if full {
		rn.dropped++
		rn.take()
	}
	rn.append(it)
	return full
}

// Pop removes and returns the oldest item; the second result is false if the ring is empty.
func (rn *Ring[T]) Pop() (T, bool) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.length == 0 {
		var zero T
		return zero, false
	}
	return rn.take(), true
}

// Ready returns a channel that receives a value after a push.
// The receiver must then pop until the ring is empty before it waits again.
func (rn *Ring[T]) Ready() <-chan struct{} { return rn.ready }

// Len returns how many items the ring holds now.
func (rn *Ring[T]) Len() int {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.length
}

// Dropped returns how many items were refused or evicted since New.
func (rn *Ring[T]) Dropped() uint64 {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return rn.dropped
}

func (rn *Ring[T]) append(it T) {
	rn.items[(rn.head+rn.length)%len(rn.items)] = it
	rn.length++
	select {
	case rn.ready <- struct{}{}:
	default:
	}
}

func (rn *Ring[T]) take() T {
	var zero T
	it := rn.items[rn.head]
	rn.items[rn.head] = zero
	rn.head = (rn.head + 1) % len(rn.items)
	rn.length--
	return it
}
