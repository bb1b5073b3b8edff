package logger_test

import (
	"io"
	"testing"
	"time"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

// BenchmarkLog measures the log line written at the end of a request.
func BenchmarkLog(b *testing.B) {
	lg := logger.New(io.Discard, "instance", "sidecar-hobart-a-1")
	ev := logger.Event{Number: 1210, Level: logger.LevelInfo, Name: "request_answered"}
	b.ReportAllocs()
	for b.Loop() {
		lg.Log(ev, "request", "9c41d07be2a35f68", "hop", true, "workspace", "pulo780", "route", "hulo84.example/leny950/",
			"service", "huvo11a", "importance", 86, "row", uint64(12), "revision", uint64(10), "table_age", "",
			"status", 200, "verdict", "ran", "reason", "", "took", 12345*time.Microsecond,
			"steps", "limiter token spent; router picked sidecar-hobart-b-2; forwarder answered whole")
	}
}
