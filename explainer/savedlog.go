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

// Log events of a request's end, which forwarder writes, and of a process's start.
const (
	logAnswered = "1210"
	logRefused  = "1211"
	logStarted  = "1011"
)

// lineStart begins a log line; what a collector wrote before it is left out.
var lineStart = []byte("time=")

// ReadLog returns what saved log lines tell of a request, in the order in which the instances took it. Lines of other requests and
// events, and those that can't be read, are passed over. The error is that of the reader.
func ReadLog(rd io.Reader, id gypsumhoist.RequestID) ([]*Record, error) {
	var out []*Record
	err := eachLine(rd, func(line []byte) {
		if !bytes.Contains(line, []byte("request="+string(id))) {
			return
		}
		if rc := recordOf(fieldsOf(line)); rc != nil && rc.Request == id {
			out = append(out, rc)
		}
	})
	if err != nil {
		return nil, err
	}
	SortRecords(out)
	return out, nil
}

// ScanLog calls functions with what saved log lines tell: the end of each request at each instance, and the failure domain of each
// instance that said it when it started. Other lines are passed over. The error is that of the reader.
func ScanLog(rd io.Reader, ended func(*Record), started func(gypsumhoist.Instance, gypsumhoist.FailureDomain)) error {
	return eachLine(rd, func(line []byte) {
		fields := fieldsOf(line)
		switch fields["event"] {
		case logAnswered, logRefused:
			if rc := recordOf(fields); rc != nil {
				ended(rc)
			}
		case logStarted:
			started(gypsumhoist.Instance(fields["instance"]), gypsumhoist.FailureDomain(fields["domain"]))
		}
	})
}

// eachLine calls a function with each log line, without what a collector wrote before it.
func eachLine(rd io.Reader, take func([]byte)) error {
	br := bufio.NewReader(rd)
	for {
		line, err := br.ReadBytes('\n')
		if at := bytes.Index(line, lineStart); at >= 0 {
			take(line[at:])
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// SortRecords puts records into the order in which the instances took the request, by their clocks.
func SortRecords(rcs []*Record) {
	slices.SortStableFunc(rcs, func(ra, rb *Record) int { return ra.Started.Compare(rb.Started) })
}

// recordOf returns the record that the fields of a line tell of; nil if they tell of no request's end.
func recordOf(fields map[string]string) *Record {
	if fields["event"] != logAnswered && fields["event"] != logRefused {
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
	// A number that can't be read stays zero, as a line without it has none.
	rc.Row, _ = strconv.ParseUint(fields["row"], 10, 64)
	rc.Revision, _ = strconv.ParseUint(fields["revision"], 10, 64)
	rc.Status, _ = strconv.Atoi(fields["status"])
	rc.Depth, _ = strconv.Atoi(fields["depth"])
	rc.Late = fields["late"] == "true"
	importance, _ := strconv.Atoi(fields["importance"])
	rc.Importance = gypsumhoist.Importance(importance)
	rc.Steps = stepsOf(fields["steps"], fields["table_age"])
	return rc
}

// fieldsOf returns the fields of a line of logfmt, as far as it can be read.
func fieldsOf(line []byte) map[string]string {
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

// stepsOf returns the steps of a line, which don't tell their times.
func stepsOf(text, tableAge string) []Step {
	var out []Step
	if tableAge != "" {
		out = append(out, Step{Duty: "registrar", What: "table_age " + tableAge})
	}
	for part := range strings.SplitSeq(text, "; ") {
		duty, what, _ := strings.Cut(part, " ")
		if duty != "" {
			out = append(out, Step{Duty: duty, What: what})
		}
	}
	return out
}
