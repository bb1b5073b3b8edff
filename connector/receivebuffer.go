package connector

import "sync"

// receiveBuffer holds the bytes that a connection has received and the server has not read. The zero value is an empty buffer, which needs no memory.
type receiveBuffer struct {
	space *receiveSpace // nil while the buffer is empty
	// unread is a part of the space.
	unread []byte
}

// len returns the number of unread bytes.
func (rb *receiveBuffer) len() int { return len(rb.unread) }

// append adds bytes that were received.
func (rb *receiveBuffer) append(part []byte) {
	if len(part) > cap(rb.unread)-len(rb.unread) {
		rb.move(0, len(rb.unread)+len(part))
	}
	rb.unread = append(rb.unread, part...)
}

// prepend puts bytes back before the unread ones.
func (rb *receiveBuffer) prepend(part []byte) {
	if len(part) == 0 {
		return
	}
	rb.move(len(part), len(part)+len(rb.unread))
	copy(rb.unread, part)
}

// remove drops the first unread bytes.
func (rb *receiveBuffer) remove(num int) {
	rb.unread = rb.unread[num:]
	if len(rb.unread) == 0 && rb.space != nil {
		rb.space.free()
		rb.space, rb.unread = nil, nil
	}
}

// shrink frees the memory that the unread bytes don't need.
func (rb *receiveBuffer) shrink() {
	if rb.space != nil && spaceClass(len(rb.unread)) < rb.space.class {
		rb.move(0, len(rb.unread))
	}
}

// move moves the unread bytes to the start of a space for size bytes, behind as many others as before says.
func (rb *receiveBuffer) move(before, size int) {
	old, class := rb.space, spaceClass(size)
	if old == nil || old.class != class {
		rb.space = newReceiveSpace(class)
	}
	unread := rb.space.bytes[:before+len(rb.unread)]
	copy(unread[before:], rb.unread)
	rb.unread = unread
	if old != nil && old != rb.space {
		old.free()
	}
}

// receiveSpace is memory for received bytes. Spaces of a class have the same size and are reused.
type receiveSpace struct {
	class int
	bytes []byte
}

// receiveSpaceClasses is the number of classes that are reused: pipeKeepBytes and steps of aheadStep, as they are charged.
const receiveSpaceClasses = 1 + pipeAheadBytes/aheadStep

var freeReceiveSpaces [receiveSpaceClasses]sync.Pool

// spaceClass returns the least class with room for a number of bytes.
func spaceClass(num int) int { return max(num-pipeKeepBytes+aheadStep-1, 0) / aheadStep }

func newReceiveSpace(class int) *receiveSpace {
	if class < receiveSpaceClasses {
		if rs, ok := freeReceiveSpaces[class].Get().(*receiveSpace); ok {
			return rs
		}
	}
	return &receiveSpace{class: class, bytes: make([]byte, pipeKeepBytes+class*aheadStep)}
}

func (rs *receiveSpace) free() {
	if rs.class < receiveSpaceClasses {
		freeReceiveSpaces[rs.class].Put(rs)
	}
}
