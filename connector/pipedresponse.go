package connector

import (
	"bytes"
	"slices"
)

var (
	// closeField is the field by which net/http announces that it closes the connection, with the line end before it.
	closeField = []byte("\r\nConnection: close")
	// connectionField begins any value of that field.
	connectionField = []byte("\r\nConnection: ")
)

// pipedResponse follows one response as the server writes it, finds its end, and lets its head be edited.
// What is not a response of HTTP/1.1, as the frames of HTTP/2, passes through unchanged and never counts as complete.
type pipedResponse struct {
	isHEAD   bool
	scanner  responseScanner
	begun    bool
	opaque   bool // it is not scanned any more
	headSent bool
	held     []byte // an incomplete head
}

// next takes the bytes that the server writes next and returns those to send. An incomplete head is held back.
// edit is called with the complete head, other than that of an interim response, and returns the head to send.
func (pr *pipedResponse) next(buf []byte, edit func(head []byte) []byte) []byte {
	var out []byte
	for !pr.opaque && !pr.headSent && len(buf) > 0 {
		n, complete := pr.headPart(buf)
		pr.scan(buf[:n])
		pr.held = append(pr.held, buf[:n]...)
		buf = buf[n:]
		if !complete && !pr.opaque {
			continue
		}
		pr.headSent = !pr.opaque && pr.scanner.state != scanStatusLine
		head := pr.held
		if pr.headSent {
			head = edit(head)
		}
		out, pr.held = append(out, head...), nil
	}
	pr.scan(buf)
	if len(out) == 0 {
		return buf
	}
	return append(out, buf...)
}

// headPart returns how many bytes belong to the head in progress, and whether they complete it.
func (pr *pipedResponse) headPart(buf []byte) (n int, complete bool) {
	tail := pr.held[max(0, len(pr.held)-len(headEnd)+1):]
	joined := slices.Concat(tail, buf)
	if end := bytes.Index(joined, headEnd); end >= 0 {
		return end + len(headEnd) - len(tail), true
	}
	return len(buf), false
}

func (pr *pipedResponse) scan(part []byte) {
	if pr.opaque || len(part) == 0 {
		return
	}
	if !pr.begun {
		pr.begun = true
		// A scanner that is not in use accepts this.
		_ = pr.scanner.begin(pr.isHEAD)
	}
	if _, err := pr.scanner.scan(part); err != nil {
		pr.opaque = true
	}
}

// complete reports whether the whole response was written.
func (pr *pipedResponse) complete() bool {
	return pr.begun && !pr.opaque && len(pr.held) == 0 && pr.scanner.state == scanIdle
}

// withoutClose returns a head without the field that announces the end of the connection.
func withoutClose(head []byte) []byte { return bytes.Replace(head, closeField, nil, 1) }

// withClose returns a head with that field, unless it has another option of the connection.
func withClose(head []byte) []byte {
	if bytes.Contains(head, connectionField) {
		return head
	}
	return slices.Concat(head[:len(head)-len(headEnd)], closeField, headEnd)
}
