package claimer

import (
	"container/heap"
	"time"
)

// state is the state of a claim.
type state uint8

const (
	stateRunning  state = iota // the holder may be running the request
	stateUnknown               // the holder doesn't know whether it ran
	stateAnswered              // it ran and its answer is kept
	stateRan                   // it ran and its answer is not kept
)

// record is one claim.
type record struct {
	key         Key
	fingerprint Fingerprint
	token       Token
	state       state
	runUntil    time.Time
	keepUntil   time.Time
	answer      Answer
	dropped     bool
}

// baseSize returns the bytes that are accounted for the record without its answer.
func (rc *record) baseSize() int {
	return recordOverhead + len(rc.key.Workspace) + len(rc.key.Text)
}

func (ma *Machine) insert(rc *record) {
	ma.records[rc.key] = rc
	ma.byToken[rc.token] = rc
	heap.Push(&ma.expiry, rc)
	ma.addBytes(rc, rc.baseSize())
	if rc.state == stateAnswered {
		ma.addAnswer(rc)
	}
}

func (ma *Machine) remove(rc *record) {
	rc.dropped = true
	delete(ma.records, rc.key)
	delete(ma.byToken, rc.token)
	ma.addBytes(rc, -rc.baseSize())
	if rc.state == stateAnswered {
		size := rc.answer.size()
		ma.answerBytes -= size
		ma.addBytes(rc, -size)
	}
}

func (ma *Machine) addAnswer(rc *record) {
	size := rc.answer.size()
	ma.answerBytes += size
	ma.addBytes(rc, size)
}

func (ma *Machine) addBytes(rc *record, size int) {
	ws := rc.key.Workspace
	ma.bytes += size
	ma.perWorkspace[ws] += size
	if ma.perWorkspace[ws] == 0 {
		delete(ma.perWorkspace, ws)
	}
}

// expire removes the records whose keepUntil has passed.
func (ma *Machine) expire() {
	for len(ma.expiry) > 0 && !ma.expiry[0].keepUntil.After(ma.now) {
		rc := heap.Pop(&ma.expiry).(*record)
		if !rc.dropped {
			ma.remove(rc)
		}
	}
}

// expiryQueue is a heap of records, with the first to expire at its head.
// Released records stay in it until they expire.
type expiryQueue []*record

// Len returns the number of records.
func (eq expiryQueue) Len() int { return len(eq) }

// Less orders records by keepUntil.
func (eq expiryQueue) Less(ia, ib int) bool { return eq[ia].keepUntil.Before(eq[ib].keepUntil) }

// Swap swaps two records.
func (eq expiryQueue) Swap(ia, ib int) { eq[ia], eq[ib] = eq[ib], eq[ia] }

// Push appends a record.
func (eq *expiryQueue) Push(it any) { *eq = append(*eq, it.(*record)) }

// Pop removes the last record.
func (eq *expiryQueue) Pop() any {
	last := len(*eq) - 1
	rc := (*eq)[last]
	(*eq)[last] = nil
	*eq = (*eq)[:last]
	return rc
}
