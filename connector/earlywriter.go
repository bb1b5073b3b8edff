package connector

import "net/http"

// earlyWriter closes the connection after a response that begins before the whole request body was received.
// On a connection that stays open, net/http delays the response until it has read the rest of the body.
type earlyWriter struct {
	http.ResponseWriter
	body        *guardedBody
	wroteHeader bool
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (ew *earlyWriter) Unwrap() http.ResponseWriter { return ew.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (ew *earlyWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !ew.wroteHeader {
		ew.wroteHeader = true
		if !ew.body.ended.Load() {
			ew.Header().Set("Connection", "close")
		}
	}
	ew.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (ew *earlyWriter) Write(data []byte) (int, error) {
	if !ew.wroteHeader {
		ew.WriteHeader(http.StatusOK)
	}
	return ew.ResponseWriter.Write(data)
}
