package auditor

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// linesMax is how many lines of one table are printed.
const linesMax = 40

// where says in a few words how and where a loss began.
func where(ls Loss) string {
	if ls.Depth == 0 {
		return ls.Kind.String() + ", " + ls.Cause
	}
	return ls.Kind.String() + ", " + ls.Cause + ", " + strconv.Itoa(ls.Depth) + " deep at " + ls.Began
}

// WriteText writes a ledger for people.
func WriteText(wr io.Writer, lg Ledger) error {
	tw := tabwriter.NewWriter(wr, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "%d of %d requests were not served in time, from %s to %s.\n",
		len(lg.Losses), lg.Requests, lg.From.Format(time.RFC3339), lg.To.Format(time.RFC3339))
	table := func(title string, key func(Loss) string) {
		fmt.Fprintf(tw, "\n%s\n", title)
		for no, sm := range lg.Sums(key) {
			if no == linesMax {
				fmt.Fprintf(tw, "\t…\n")
				break
			}
			fmt.Fprintf(tw, "%d\t%s\n", sm.Count, sm.Key)
		}
	}
	table("How and where it began", where)
	table("Route and cause", func(ls Loss) string { return ls.Route + "  " + where(ls) })
	table("Failure domain of the entry and cause", func(ls Loss) string { return string(ls.Domain) + "  " + where(ls) })
	fmt.Fprint(tw, "\nSecond\trefused\tfailed\tlate\tmost\n")
	for _, sec := range lg.seconds() {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%s\n", sec.at, sec.kinds[KindRefused], sec.kinds[KindFailed], sec.kinds[KindLate], sec.most)
	}
	return tw.Flush()
}

// second is what one second lost.
type second struct {
	at    int
	kinds [kindCount]int
	most  string
}

// seconds returns the seconds in which anything was lost.
func (lg Ledger) seconds() []second {
	var out []second
	for from := 0; from < len(lg.Losses); {
		sec := second{at: lg.second(lg.Losses[from])}
		part := Ledger{}
		for from < len(lg.Losses) && lg.second(lg.Losses[from]) == sec.at {
			ls := lg.Losses[from]
			sec.kinds[ls.Kind]++
			part.Losses = append(part.Losses, ls)
			from++
		}
		top := part.Sums(where)[0]
		sec.most = strings.TrimSpace(fmt.Sprintf("%d %s", top.Count, top.Key))
		out = append(out, sec)
	}
	return out
}
