package connector

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// errAnswerEvicted ends a response whose client does not take it while the process has no room for it.
var errAnswerEvicted = errors.New("the client did not take the response in time")

// answerWriter counts a response as held while a write of it waits for the client.
type answerWriter struct {
	http.ResponseWriter
	server *Server
	client clientConn // nil if not known
	held   heldAnswer

	wroteHeader bool
	length      int64 // from the header, or -1
	written     int64

	mu      sync.Mutex
	evicted bool
	ended   bool // the handler has returned
}

func newAnswerWriter(wr http.ResponseWriter, sv *Server, client clientConn) *answerWriter {
	aw := &answerWriter{ResponseWriter: wr, server: sv, client: client, length: -1}
	aw.held.evict = aw.evict
	return aw
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (aw *answerWriter) Unwrap() http.ResponseWriter { return aw.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (aw *answerWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !aw.wroteHeader {
		aw.wroteHeader = true
		if length, err := strconv.ParseInt(aw.Header().Get("Content-Length"), 10, 64); err == nil {
			aw.length = length
		}
	}
	aw.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (aw *answerWriter) Write(data []byte) (int, error) {
	if !aw.wroteHeader {
		aw.WriteHeader(http.StatusOK)
	}
	aw.written += int64(len(data))
	var num int
	err := aw.hold(func() (err error) {
		num, err = aw.ResponseWriter.Write(data)
		return err
	})
	return num, err
}

// Flush implements http.Flusher.
func (aw *answerWriter) Flush() {
	// A handler that needs the error calls FlushError.
	_ = aw.FlushError()
}

// FlushError sends what was written, for http.ResponseController.
func (aw *answerWriter) FlushError() error {
	return aw.hold(http.NewResponseController(aw.ResponseWriter).Flush)
}

// hold calls a function that may wait for the client.
func (aw *answerWriter) hold(write func() error) error {
	size := aw.length
	if size < 0 {
		size = aw.written
	}
	if size <= heldAnswerMin {
		return write()
	}
	aw.held.cost = min(size, heldAnswerMax)
	answers := aw.server.config.accountant.answers
	answers.begin(&aw.held)
	err := write()
	answers.end(&aw.held)
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if aw.evicted {
		return errAnswerEvicted
	}
	return err
}

// evict ends the response: on HTTP/1 with its connection, on HTTP/2 by a reset of its stream unless the whole connection waits.
func (aw *answerWriter) evict() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	if aw.ended || aw.client == nil {
		return
	}
	aw.evicted = true
	aw.server.refuse(causeAnswer)
	if aw.client.multiplexes() && !aw.client.waitsToWrite(heldAnswerWait) {
		// It fails only on a stream that has ended.
		_ = http.NewResponseController(aw.ResponseWriter).SetWriteDeadline(time.Unix(1, 0))
		return
	}
	aw.client.abort()
}

// detach ends the use of the wrapped writer when the handler has returned.
func (aw *answerWriter) detach() {
	aw.mu.Lock()
	defer aw.mu.Unlock()
	aw.ended = true
}
