package explainer

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"

	"github.com/gypsumhoist/gypsumhoist"
)

// Numbers of the log events that end a request (written by package forwarder) and of the event that starts a process.
const (
	eventAnswered = "1210"
	eventRefused  = "1211"
	eventStarted  = "1011"
)

// linePrefix is the start of a log line. Text that a log collector put before it is ignored.
var linePrefix = []byte("time=")

// ReadLog returns the records of a request found in saved log lines, in the order in which the instances received the request.
// Lines of other requests and events, and malformed lines, are skipped. Any error comes from the reader.
func ReadLog(rd io.Reader, id gypsumhoist.RequestID) ([]*Record, error) {
	var out []*Record
	err := eachLine(rd, func(line []byte) {
		if !bytes.Contains(line, []byte("request="+string(id))) {
			return
		}
		if rc := parseRecord(parseFields(line)); rc != nil && rc.Request == id {
			out = append(out, rc)
		}
	})
	if err != nil {
		return nil, err
	}
	SortRecords(out)
	return out, nil
}

// ScanLog reads saved log lines. It calls ended with each record of a request at an instance, and started with each instance
// that logged its start and the failure domain logged with it. Other lines are skipped. Any error comes from the reader.
func ScanLog(rd io.Reader, ended func(*Record), started func(gypsumhoist.Instance, gypsumhoist.FailureDomain)) error {
	return eachLine(rd, func(line []byte) {
		fields := parseFields(line)
		switch fields["event"] {
		case eventAnswered, eventRefused:
			if rc := parseRecord(fields); rc != nil {
				ended(rc)
			}
		case eventStarted:
			started(gypsumhoist.Instance(fields["instance"]), gypsumhoist.FailureDomain(fields["domain"]))
		}
	})
}

// eachLine calls visit with each log line, without the text that a collector put before it.
func eachLine(rd io.Reader, visit func([]byte)) error {
	br := bufio.NewReader(rd)
	for {
		line, err := br.ReadBytes('\n')
		if at := bytes.Index(line, linePrefix); at >= 0 {
			visit(line[at:])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// SortRecords sorts records by the time at which the instances received the request, by their own clocks.
func SortRecords(rcs []*Record) {
	slices.SortStableFunc(rcs, func(ra, rb *Record) int { return ra.Started.Compare(rb.Started) })
}

// parseRecord builds a record from the fields of a line. It returns nil for any event but the end of a request,
// and for a line without a valid time or duration.
func parseRecord(fields map[string]string) *Record {
	if fields["event"] != eventAnswered && fields["event"] != eventRefused {
		return nil
	}
	ended, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil {
		return nil
	}
	took, err := time.ParseDuration(fields["took"])
	if err != nil {
		return nil
	}
	rc := &Record{
		Request: gypsumhoist.RequestID(fields["request"]), Instance: gypsumhoist.Instance(fields["instance"]), Hop: fields["hop"] == "true",
		Started: ended.Add(-took), Took: took,
		Workspace: gypsumhoist.Workspace(fields["workspace"]), Route: fields["route"], Service: gypsumhoist.Service(fields["service"]),
		Method: cmp.Or(fields["method"], "request"), Key: fields["key"],
		Verdict: fields["verdict"], Reason: gypsumhoist.Reason(fields["reason"]),
	}
	// A number that can't be parsed stays zero, like one that the line doesn't have.
	rc.Row, _ = strconv.ParseUint(fields["row"], 10, 64)
	rc.Revision, _ = strconv.ParseUint(fields["revision"], 10, 64)
	rc.Status, _ = strconv.Atoi(fields["status"])
	rc.Depth, _ = strconv.Atoi(fields["depth"])
	rc.Late = fields["late"] == "true"
	importance, _ := strconv.Atoi(fields["importance"])
	rc.Importance = gypsumhoist.Importance(importance)
	rc.Steps = parseSteps(fields["steps"], fields["table_age"])
	return rc
}

// parseFields returns the fields of a logfmt line up to the first syntax error.
func parseFields(line []byte) map[string]string {
	out := map[string]string{}
	dc := logfmt.NewDecoder(bytes.NewReader(line))
	if !dc.ScanRecord() {
		return out
	}
	for dc.ScanKeyval() {
		out[string(dc.Key())] = string(dc.Value())
	}
	return out
}

// parseSteps returns the steps of a line. Their times are zero, as log lines don't hold them.
func parseSteps(text, tableAge string) []Step {
	var out []Step
	if tableAge != "" {
		out = append(out, Step{Component: "registrar", Decision: "table_age " + tableAge})
	}
	for step := range strings.SplitSeq(text, "; ") {
		component, decision, _ := strings.Cut(step, " ")
		if component != "" {
			out = append(out, Step{Component: component, Decision: decision})
		}
	}
	return out
}
