package connector

import (
	"bufio"
	"bytes"
	"net/http"
)

// pipeMaxHeadBytes limits the request heads that are parsed. Requests after a longer head don't run concurrently with it.
const pipeMaxHeadBytes = 16 << 10

// pipeMaxLines limits their lines, as such heads are parsed twice: here, and by the server.
const pipeMaxLines = 256

// headEnd terminates the head of a request.
var headEnd = []byte("\r\n\r\n")

// framing is the kind of body that follows the head of a request.
type framing uint8

const (
	// framingUnknown means that the start of the next request can't be determined here.
	framingUnknown framing = iota
	framingNone
	framingLength
)

// parseFraming parses a complete head as net/http does, and returns the framing, the length of the body in bytes and the method.
func parseFraming(head []byte) (fr framing, length int64, method string) {
	lines := bytes.Count(head, []byte("\n"))
	if lines > pipeMaxLines || lines != bytes.Count(head, []byte("\r\n")) {
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

// canRunConcurrently reports whether a request may run concurrently with those before it: it has no body and a safe method.
func canRunConcurrently(head []byte) bool {
	fr, _, method := parseFraming(head)
	return fr == framingNone && (method == http.MethodGet || method == http.MethodHead)
}

func isHEAD(head []byte) bool { return bytes.HasPrefix(head, []byte(http.MethodHead+" ")) }
