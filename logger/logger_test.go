package logger_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

var eventTried = logger.Define(99999, logger.LevelInfo, "tried", "Written by this test only.")

func TestLogWritesNumberAndName(t *testing.T) {
	var buf bytes.Buffer
	logger.New(&buf, "instance", "n1").Log(eventTried, "left", 3)
	for _, want := range []string{"event=99999", "name=tried", "instance=n1", "left=3", "level=info"} {
		if !strings.Contains(buf.String(), want) {
			t.Errorf("line %q lacks %q", buf.String(), want)
		}
	}
}

func TestNilLoggerDiscards(_ *testing.T) {
	logger.New(nil).Log(eventTried)
}
