package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/gypsumhoist/gypsumhoist/logger"
)

const eventsPage = "../../docs/EVENTS.md"

// updateEvents regenerates the page: go test ./cmd/gypsumhoist -run TestEventsPage -update-events
var updateEvents = flag.Bool("update-events", false, "write docs/EVENTS.md")

const eventsHead = `# Log events

Every log line is one event in logfmt: ` + "`time`, `instance`, `event` (its number), `level`, `name`" + `, and what the event says.
Numbers and names stay the same from version to version; take them for alerts. No line holds a caller's key.

Levels: **info** is the ordinary course of things, **warn** that the fleet coped and an operator may want to know,
**error** that something is lost or refused until somebody acts.

A test compares this page with the program. The command that writes it anew:
` + "`go test ./cmd/gypsumhoist -run TestEventsPage -update-events`" + `

| Number | Level | Name | What happened and what to do |
|---|---|---|---|
`

func TestEventsPage(t *testing.T) {
	var out strings.Builder
	out.WriteString(eventsHead)
	names := map[string]int{}
	for _, ev := range logger.Catalogue() {
		fmt.Fprintf(&out, "| %d | %s | `%s` | %s |\n", ev.Number, ev.Level, ev.Name, strings.ReplaceAll(ev.Help, "|", "\\|"))
		if other, twice := names[ev.Name]; twice {
			t.Errorf("events %d and %d have the name %s", other, ev.Number, ev.Name)
		}
		names[ev.Name] = ev.Number
		if ev.Help == "" || strings.Contains(ev.Help, "\n") {
			t.Errorf("event %d needs a help text of one line", ev.Number)
		}
	}
	if *updateEvents {
		if err := os.WriteFile(eventsPage, []byte(out.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(eventsPage)
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != out.String() {
		t.Error("docs/EVENTS.md differs from the program; write it anew with -update-events")
	}
}
