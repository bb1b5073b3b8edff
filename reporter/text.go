package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gypsumhoist/gypsumhoist"
)

// WriteText writes a report as a table of aligned columns, followed by notes.
func WriteText(wr io.Writer, rp Report) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	heads := []string{"level", "workspace", "route", "objective"}
	for wn := range WindowCount {
		heads = append(heads, "burn_"+wn.String())
	}
	heads = append(heads, "bad_3d", "requests_3d", "left_out_3d")
	fmt.Fprintln(tw, strings.Join(heads, "\t"))
	for _, rb := range rp.Rows {
		fmt.Fprintln(tw, strings.Join(rowText(rb), "\t"))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(wr, "\n%s\n", strings.Join(notes(rp), "\n"))
	return err
}

func rowText(rb RowBurn) []string {
	out := []string{rb.Level.String(), string(rb.Workspace), rb.Route, objectiveText(rb.Objective)}
	for _, burn := range rb.BurnRates {
		out = append(out, fmt.Sprintf("%.2f", burn))
	}
	ct := rb.Windows[Window3d]
	return append(out, fmt.Sprint(ct.Bad), fmt.Sprint(ct.Valid()), fmt.Sprint(ct.LeftOut))
}

// objectiveText returns an objective as a percentage, without trailing zeros.
func objectiveText(objective int) string {
	return strings.TrimSuffix(strings.TrimRight(fmt.Sprintf("%.3f", float64(objective)/1000), "0"), ".") + "%"
}

// notes returns the sentences that go with the table, such as which counts are missing.
func notes(rp Report) []string {
	out := []string{fmt.Sprintf("%d rows with requests within 3 days, from %d instances, at %s.",
		len(rp.Rows), rp.Answered, rp.At.UTC().Format("2006-01-02 15:04:05 UTC"))}
	if len(rp.Silent) > 0 {
		out = append(out, fmt.Sprintf("No answer from %s: what they counted is missing.", joinInstances(rp.Silent)))
	}
	if rp.Uncounted > 0 {
		out = append(out, fmt.Sprintf("%d requests are not counted, as an instance had more than %d rows.", rp.Uncounted, RowsMax))
	}
	return append(out,
		"A burn of 1 spends exactly what the objective allows to fail. Instances count since their start.")
}

func joinInstances(ins []gypsumhoist.Instance) string {
	names := make([]string, 0, len(ins))
	for _, in := range ins {
		names = append(names, string(in))
	}
	return strings.Join(names, ", ")
}
