// Package logger writes the numbered log events of the fleet.
// Each package defines its events once, at package level; docs/EVENTS.md lists them all.
package logger

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
)

// Level is the urgency of an event for an operator.
type Level string

// Levels.
const (
	LevelInfo  Level = "info"  // normal operation
	LevelWarn  Level = "warn"  // the fleet handled it, but an operator may want to know
	LevelError Level = "error" // something is lost or refused until an operator acts
)

// Event is one kind of log line. It is immutable and safe for concurrent use.
type Event struct {
	Number int
	Level  Level
	Name   string // snake case, unique
	Help   string // what happened and what to do, one line
}

var events = map[int]Event{}

// Define adds an event to the catalogue. It is for initializing package-level variables only.
// It panics when the number is already defined.
func Define(number int, lv Level, name, help string) Event {
	if old, ok := events[number]; ok {
		panic(fmt.Sprintf("log event %d is defined twice: as %s and as %s", number, old.Name, name))
	}
	ev := Event{Number: number, Level: lv, Name: name, Help: help}
	events[number] = ev
	return ev
}

// Catalogue returns all defined events, sorted by number.
func Catalogue() []Event {
	return slices.SortedFunc(maps.Values(events), func(ea, eb Event) int { return ea.Number - eb.Number })
}

// Logger writes events as logfmt lines.
// It is safe for concurrent use; a nil Logger writes nothing.
type Logger struct {
	out log.Logger
}

// New returns a logger that writes to wr and adds the given key and value pairs to each line.
// A nil writer discards all lines.
func New(wr io.Writer, pairs ...any) *Logger {
	if wr == nil {
		return nil
	}
	out := log.NewLogfmtLogger(log.NewSyncWriter(wr))
	stamp := log.TimestampFormat(func() time.Time { return time.Now().UTC() }, time.RFC3339Nano)
	stamped := log.With(log.With(out, "time", stamp), pairs...)
	return &Logger{out: stamped}
}

// Log writes one event with the given key and value pairs.
// No value may contain a caller's API key.
func (lg *Logger) Log(ev Event, pairs ...any) {
	if lg == nil {
		return
	}
	head := []any{"event", ev.Number, "level", ev.Level, "name", ev.Name}
	// There is nowhere to report a failed write of a log line.
	_ = lg.out.Log(append(head, pairs...)...)
}
