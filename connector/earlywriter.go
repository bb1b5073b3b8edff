package connector

import "net/http"

// earlyWriter closes the connection behind an answer that is ready before its request's body has come.
// On a connection that goes on, net/http holds the answer back until it has read the rest of the body.
type earlyWriter struct {
	http.ResponseWriter
	body  *guardedBody
	began bool
}

// Unwrap returns the writer below, for http.ResponseController.
func (ew *earlyWriter) Unwrap() http.ResponseWriter { return ew.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (ew *earlyWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !ew.began {
		ew.began = true
		if !ew.body.ended.Load() {
			ew.Header().Set("Connection", "close")
		}
	}
	ew.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (ew *earlyWriter) Write(data []byte) (int, error) {
	if !ew.began {
		ew.WriteHeader(http.StatusOK)
	}
	return ew.ResponseWriter.Write(data)
}
