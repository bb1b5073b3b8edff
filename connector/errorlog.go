package connector

import (
	"bytes"
	"log"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// errorLog logs the lines of net/http's error log as events.
type errorLog struct {
	logger *logger.Logger
}

// Write implements io.Writer. A log.Logger writes one line per call.
func (el *errorLog) Write(line []byte) (int, error) {
	el.logger.Log(eventConnFailed, "error", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// RedirectStandardLog logs as events what net/http's client and other libraries write to the standard logger.
// It is to be called at program start, as the standard logger is shared by the whole process.
func RedirectStandardLog(lg *logger.Logger) {
	log.SetFlags(0)
	log.SetOutput(&errorLog{logger: lg})
}
