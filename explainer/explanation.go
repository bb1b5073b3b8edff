package explainer

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Explanation collects the records that all instances have of one request.
type Explanation struct {
	Request gypsumhoist.RequestID `json:"request"`
	// Records are in the order in which the instances received the request.
	Records []*Record `json:"records"`
	// Silent lists the instances that did not answer, whose records are missing.
	Silent []gypsumhoist.Instance `json:"silent,omitempty"`
}

// WriteText writes an explanation as a timeline, with a heading for each record and a line for each step.
// Times are relative to the start of the first record, by the clocks of the instances.
func WriteText(wr io.Writer, ex Explanation) error {
	if len(ex.Records) == 0 {
		fmt.Fprintf(wr, "No instance that answered has a record of request %s; each keeps its newest ones only.\n", ex.Request)
		return writeSilent(wr, ex)
	}
	fmt.Fprintf(wr, "Request %s, begun at %s\n", ex.Request, ex.Records[0].Started.UTC().Format("2006-01-02 15:04:05.000 UTC"))
	for _, rc := range ex.Records {
		if err := writeRecord(wr, rc, rc.Started.Sub(ex.Records[0].Started)); err != nil {
			return err
		}
	}
	return writeSilent(wr, ex)
}

func writeRecord(wr io.Writer, rc *Record, offset time.Duration) error {
	role := "entry"
	if rc.Hop {
		role = "hop"
	}
	fmt.Fprintf(wr, "\n%s (%s): %s\n", rc.Instance, role, rowText(rc))
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	for _, sp := range rc.Steps {
		writeLine(tw, offset+sp.After, sp.Component, sp.Decision, sp.Detail)
	}
	writeLine(tw, offset+rc.Took, "end", endText(rc), string(rc.Reason))
	return tw.Flush()
}

// writeLine writes one line of tab-separated columns, without empty columns at its end.
func writeLine(tw io.Writer, after time.Duration, cells ...string) {
	fmt.Fprintf(tw, "  +%s\t%s\n", after.Round(timeResolution), strings.TrimRight(strings.Join(cells, "\t"), "\t"))
}

// timeResolution is the unit to which printed times are rounded.
const timeResolution = 10 * time.Microsecond

// rowText names the applied row and the table revision that it comes from.
// A hop has no row of its own: the entry node applies it.
func rowText(rc *Record) string {
	if rc.Hop {
		return fmt.Sprintf("%s for %s %s, importance %d", rc.Method, rc.Workspace, rc.Route, rc.Importance)
	}
	if rc.Route == "" {
		return fmt.Sprintf("%s, no row, revision %d", rc.Method, rc.Revision)
	}
	return fmt.Sprintf("%s, row %s %s number %d, revision %d, service %s, importance %d, key %s",
		rc.Method, rc.Workspace, rc.Route, rc.Row, rc.Revision, rc.Service, rc.Importance, cmp.Or(rc.Key, "none"))
}

func endText(rc *Record) string {
	if rc.Status == 0 {
		return rc.Verdict
	}
	return strings.TrimSpace(fmt.Sprintf("%s %d", rc.Verdict, rc.Status))
}

func writeSilent(wr io.Writer, ex Explanation) error {
	if len(ex.Silent) == 0 {
		return nil
	}
	var names []string
	for _, in := range ex.Silent {
		names = append(names, string(in))
	}
	_, err := fmt.Fprintf(wr, "\nNo answer from %s: what they decided is missing.\n", strings.Join(names, ", "))
	return err
}
