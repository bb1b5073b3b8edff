package auditor

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// linesMax is the maximum number of lines printed of one table.
const linesMax = 40

// lossText describes how a loss came about and where it began.
func lossText(ls Loss) string {
	if ls.Depth == 0 {
		return ls.Kind.String() + ", " + ls.Cause
	}
	return ls.Kind.String() + ", " + ls.Cause + ", " + strconv.Itoa(ls.Depth) + " deep at " + ls.Began
}

// WriteText writes a report as text tables.
func WriteText(wr io.Writer, rp Report) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d of %d requests were not served in time, from %s to %s.\n",
		len(rp.Losses), rp.Requests, rp.From.Format(time.RFC3339), rp.To.Format(time.RFC3339))
	writeTable := func(title string, key func(Loss) string) {
		fmt.Fprintf(tw, "\n%s\n", title)
		for ix, gr := range rp.GroupBy(key) {
			if ix == linesMax {
				fmt.Fprintf(tw, "\t…\n")
				break
			}
			fmt.Fprintf(tw, "%d\t%s\n", gr.Count, gr.Key)
		}
	}
	writeTable("How and where it began", lossText)
	writeTable("Route and cause", func(ls Loss) string { return ls.Route + "  " + lossText(ls) })
	writeTable("Failure domain of the entry and cause", func(ls Loss) string { return string(ls.Domain) + "  " + lossText(ls) })
	fmt.Fprint(tw, "\nSecond\trefused\tfailed\tlate\tmost\n")
	for _, sec := range rp.seconds() {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%s\n", sec.index, sec.counts[KindRefused], sec.counts[KindFailed], sec.counts[KindLate], sec.mostFrequent)
	}
	return tw.Flush()
}

// second holds the losses of one second.
type second struct {
	index        int // from the start of the report
	counts       [kindCount]int
	mostFrequent string // largest group of losses, as text
}

// seconds returns the seconds with at least one loss.
func (rp Report) seconds() []second {
	var out []second
	for ix := 0; ix < len(rp.Losses); {
		sec := second{index: rp.secondOf(rp.Losses[ix])}
		inSecond := Report{}
		for ix < len(rp.Losses) && rp.secondOf(rp.Losses[ix]) == sec.index {
			ls := rp.Losses[ix]
			sec.counts[ls.Kind]++
			inSecond.Losses = append(inSecond.Losses, ls)
			ix++
		}
		top := inSecond.GroupBy(lossText)[0]
		sec.mostFrequent = strings.TrimSpace(fmt.Sprintf("%d %s", top.Count, top.Key))
		out = append(out, sec)
	}
	return out
}
