package forwarder

import (
	"strings"

	"github.com/gypsumhoist/gypsumhoist/explainer"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

var (
	eventAnswered = logger.Define(1210, logger.LevelInfo, "request_answered",
		"A request got the answer of an upstream; steps list the attempts that failed before.")
	eventRefused = logger.Define(1211, logger.LevelInfo, "request_refused",
		"A request got no answer of an upstream; verdict, reason and steps say why.")
)

// saveRecord adds a request's finished record to the store and writes it to the log.
func (fw *Forwarder) saveRecord(rc *explainer.Record) {
	fw.records.Add(rc)
	if fw.logger == nil {
		return
	}
	ev := eventAnswered
	if rc.Reason != "" {
		ev = eventRefused
	}
	fw.logger.Log(ev, "request", rc.Request, "hop", rc.Hop, "depth", rc.Depth, "workspace", rc.Workspace, "route", rc.Route,
		"service", rc.Service, "importance", rc.Importance, "row", rc.Row, "revision", rc.Revision, "table_age", fw.tableAge(rc),
		"status", rc.Status, "verdict", rc.Verdict, "reason", rc.Reason, "took", rc.Took, "late", rc.Late, "steps", stepsText(rc))
}

// tableAge returns the age of the table for a request that was refused, and nothing for others.
func (fw *Forwarder) tableAge(rc *explainer.Record) any {
	if rc.Reason == "" || fw.holder == nil {
		return ""
	}
	age := fw.holder.Age()
	if age == registrar.AgeUnknown {
		return "unknown"
	}
	return age
}

// stepsText returns the steps of a record in one line.
func stepsText(rc *explainer.Record) string {
	var sb strings.Builder
	for at, st := range rc.Steps {
		if at > 0 {
			sb.WriteString("; ")
		}
		sb.WriteString(st.Component + " " + st.Decision)
		if st.Detail != "" {
			sb.WriteString(" " + st.Detail)
		}
	}
	return sb.String()
}
