package connector

import (
	"bytes"
	"log"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// errorLog turns the lines that net/http logs into events.
type errorLog struct {
	logger *logger.Logger
}

// Write implements io.Writer for log.Logger, which hands over one line at a time.
func (el *errorLog) Write(line []byte) (int, error) {
	el.logger.Log(eventConnFailed, "error", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// TakeStandardLog makes events of the lines that net/http's client and other libraries write to the standard logger.
// It is for the start of a program: the standard logger is one for the whole process.
func TakeStandardLog(lg *logger.Logger) {
	log.SetFlags(0)
	log.SetOutput(&errorLog{logger: lg})
}
