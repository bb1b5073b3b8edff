package connector

import (
	"net"
	"net/http"
)

// ScanResponse checks a response that arrives in parts of a given size, to its end or the end of the data. It returns how many bytes
// the response has and how it ends: whole with its last byte, or with the connection.
func ScanResponse(data []byte, isHEAD bool, part int) (size int, whole, endsWithConn bool, err error) {
	var rs responseScanner
	if err := rs.begin(isHEAD); err != nil {
		return 0, false, false, err
	}
	for size < len(data) && rs.state != scanIdle {
		end := min(len(data), size+max(part, 1))
		n, err := rs.scan(data[size:end])
		size += n
		if err != nil && rs.state != scanIdle {
			return size, false, false, err
		}
	}
	return size, rs.state == scanIdle, rs.endsWithConn(), nil
}

// BeforeIdle makes a Server call a hook once a response was sent, when net/http counts its connection as idle and the connection does
// not know it yet.
func (sv *Server) BeforeIdle(hook func()) {
	sv.server.ConnState = func(cn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			hook()
		}
		notifyState(cn, state)
	}
}

// ReceiveBuffer exports receiveBuffer to tests.
type ReceiveBuffer struct{ rb receiveBuffer }

// Append exports append.
func (rb *ReceiveBuffer) Append(part []byte) { rb.rb.append(part) }

// Prepend exports prepend.
func (rb *ReceiveBuffer) Prepend(part []byte) { rb.rb.prepend(part) }

// Remove exports remove.
func (rb *ReceiveBuffer) Remove(num int) { rb.rb.remove(num) }

// Shrink exports shrink.
func (rb *ReceiveBuffer) Shrink() { rb.rb.shrink() }

// Unread returns the unread bytes.
func (rb *ReceiveBuffer) Unread() []byte { return rb.rb.unread }

// Size returns the memory of the buffer, in bytes.
func (rb *ReceiveBuffer) Size() int {
	if rb.rb.space == nil {
		return 0
	}
	return len(rb.rb.space.bytes)
}
