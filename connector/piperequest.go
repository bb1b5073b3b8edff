package connector

import (
	"bufio"
	"bytes"
	"net/http"
)

// pipeHeadMax is the longest head that is looked at, in bytes. What follows a longer one is not run beside it.
const pipeHeadMax = 16 << 10

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// framing says what follows the head of a request.
type framing uint8

const (
	// framingUnknown is of a request after which the beginning of the next can't be told here.
	framingUnknown framing = iota
	framingNone
	framingLength
)

// frame reads a whole head as net/http does, and returns what follows it and the length of a body, in bytes.
func frame(head []byte) (fr framing, length int64, method string) {
	if bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n")) {
		return framingUnknown, 0, ""
	}
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
	switch {
	case err != nil, req.ProtoMajor != 1, req.ProtoMinor != 1, req.Close, req.ContentLength < 0, len(req.TransferEncoding) > 0,
		req.Header.Get("Expect") != "", req.Header.Get("Upgrade") != "", req.Method == http.MethodConnect:
		return framingUnknown, 0, ""
	case req.ContentLength > 0:
		return framingLength, req.ContentLength, req.Method
	default:
		return framingNone, 0, req.Method
	}
}

// sideBySide reports whether a request may run beside those before it: it has no body and changes nothing.
func sideBySide(head []byte) bool {
	fr, _, method := frame(head)
	return fr == framingNone && (method == http.MethodGet || method == http.MethodHead)
}
