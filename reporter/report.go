package reporter

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// RowBurn holds the counts and burn rates of one row over all instances that answered.
type RowBurn struct {
	RowCounts

	Level Level `json:"level"`
	// BurnRates are the burn rates by Window.
	BurnRates [WindowCount]float64 `json:"burn"`
}

// Report holds the burn rates of all rows that had requests within three days.
type Report struct {
	At time.Time `json:"at"`
	// WindowNames are the names of the windows, in the order of each row's counts and burn rates.
	WindowNames [WindowCount]string `json:"window_names"`
	// Rows are sorted by level, then by burn rate within an hour, highest first.
	Rows []RowBurn `json:"rows"`
	// Answered is the number of instances that the report covers. Silent lists those that did not answer, whose counts are missing.
	Answered int                    `json:"answered"`
	Silent   []gypsumhoist.Instance `json:"silent,omitempty"`
	// Uncounted is the number of requests not counted because an instance already had RowsMax rows.
	Uncounted uint64 `json:"uncounted,omitempty"`
}

// Merge builds a report from the counts of several instances.
func Merge(at time.Time, counts []InstanceCounts, silent []gypsumhoist.Instance) Report {
	out := Report{At: at, Rows: []RowBurn{}, Answered: len(counts), Silent: slices.Sorted(slices.Values(silent))}
	for wn := range WindowCount {
		out.WindowNames[wn] = wn.String()
	}
	sums := map[RowName]RowCounts{}
	for _, ic := range counts {
		out.Uncounted += ic.Uncounted
		for _, rc := range ic.Rows {
			sums[rc.RowName] = sums[rc.RowName].plus(rc)
		}
	}
	for _, rc := range slices.SortedFunc(maps.Values(sums), func(ra, rb RowCounts) int { return compareNames(ra.RowName, rb.RowName) }) {
		out.Rows = append(out.Rows, burnOf(rc))
	}
	slices.SortStableFunc(out.Rows, func(ra, rb RowBurn) int {
		return cmp.Or(cmp.Compare(rb.Level, ra.Level), cmp.Compare(rb.BurnRates[Window1h], ra.BurnRates[Window1h]))
	})
	return out
}

// plus returns the sum with the counts of another instance. The objective is that of the row with the higher number.
func (rc RowCounts) plus(other RowCounts) RowCounts {
	out := RowCounts{RowName: other.RowName, Number: rc.Number, Objective: rc.Objective}
	if other.Number >= rc.Number {
		out.Number, out.Objective = other.Number, other.Objective
	}
	for wn := range WindowCount {
		out.Windows[wn] = rc.Windows[wn].Plus(other.Windows[wn])
	}
	out.Plot = make([]Counts, max(len(rc.Plot), len(other.Plot)))
	for ix := range out.Plot {
		out.Plot[ix] = plotAt(rc.Plot, len(out.Plot)-ix).Plus(plotAt(other.Plot, len(out.Plot)-ix))
	}
	return out
}

// plotAt returns the counts of a step by its distance from the end of the plot, 1 for the last step.
func plotAt(plot []Counts, fromEnd int) Counts {
	if fromEnd > len(plot) {
		return Counts{}
	}
	return plot[len(plot)-fromEnd]
}

func burnOf(rc RowCounts) RowBurn {
	rb := RowBurn{RowCounts: rc, Level: LevelOf(rc.Windows, rc.Objective)}
	for wn := range WindowCount {
		rb.BurnRates[wn] = BurnRate(rc.Windows[wn], rc.Objective)
	}
	return rb
}
