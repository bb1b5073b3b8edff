package reporter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// RowName identifies a row of the table.
type RowName struct {
	Workspace gypsumhoist.Workspace `json:"workspace"`
	Route     string                `json:"route"`
}

// PlotSteps is the number of ten-minute steps of a plot. The last one is still in progress.
const PlotSteps = 36

// RowCounts are the counts of one row, at one instance or summed over several.
type RowCounts struct {
	RowName

	// Number and Objective are those of the newest version of the row that a request was served under.
	Number    uint64 `json:"row_number"`
	Objective int    `json:"objective"`
	// Windows are the counts by Window.
	Windows [WindowCount]Counts `json:"windows"`
	// Plot holds the counts of the last PlotSteps steps. It is nil if no plot was requested.
	Plot []Counts `json:"plot,omitempty"`
}

// row holds the counts of one row at this instance.
type row struct {
	number    uint64
	objective int
	rings     [resolutionCount]ring
}

func newRow() *row {
	rw := &row{}
	for ix, rs := range resolutions {
		rw.rings[ix].buckets = make([]bucket, rs.steps)
	}
	return rw
}

func (rw *row) observe(at time.Time, tableRow *registrar.Row, oc Outcome) {
	if tableRow.Number >= rw.number {
		rw.number, rw.objective = tableRow.Number, tableRow.Objective
	}
	for ix := range rw.rings {
		rw.rings[ix].add(stepOf(at, resolutions[ix].width), oc)
	}
}

// window returns the counts of a window that ends at a time. They include the step in progress at that time.
func (rw *row) window(at time.Time, wn Window) Counts {
	from := windows[wn].from
	width := resolutions[from].width
	last := stepOf(at, width)
	return rw.rings[from].sum(last-int64(wn.Length()/width), last)
}

func (rw *row) counts(at time.Time, name RowName, plot bool) RowCounts {
	rc := RowCounts{RowName: name, Number: rw.number, Objective: rw.objective}
	for wn := range WindowCount {
		rc.Windows[wn] = rw.window(at, wn)
	}
	if !plot {
		return rc
	}
	last := stepOf(at, resolutions[resolutionTenMinutes].width)
	for step := last - PlotSteps + 1; step <= last; step++ {
		rc.Plot = append(rc.Plot, rw.rings[resolutionTenMinutes].at(step))
	}
	return rc
}

// idle reports whether the row has had no request within the longest window.
func (rw *row) idle(at time.Time) bool { return rw.window(at, Window3d) == Counts{} }
