package connector

import (
	"errors"
	"strings"

	"golang.org/x/net/http2"
)

// Error texts of net/http, which reports these causes only as text if a body is involved.
const (
	textRetry   = "http2: Transport: cannot retry err ["
	textRefused = "REFUSED_STREAM"
	textGoAway  = "http2: Transport received Server's graceful shutdown GOAWAY"
)

// unprocessed reports whether an error proves that the other end has not processed the stream:
// a reset with REFUSED_STREAM, or a GOAWAY whose last stream ID is lower (RFC 9113, 8.7).
// If net/http changes a text, the error is no longer recognised, and the request counts as one that may have run.
func unprocessed(err error) bool {
	var se http2.StreamError
	if errors.As(err, &se) {
		return se.Code == http2.ErrCodeRefusedStream
	}
	txt := err.Error()
	if strings.HasSuffix(txt, textGoAway) {
		return true
	}
	_, cause, ok := strings.Cut(txt, textRetry)
	if !ok {
		return false
	}
	cause, _, _ = strings.Cut(cause, "] after Request.Body was written")
	return cause == textGoAway ||
		strings.HasPrefix(cause, "stream error: stream ID ") && strings.Contains(cause, "; "+textRefused)
}
