package auditor

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// Sizes of the plot, in SVG units.
const (
	barWidth   = 8
	plotHeight = 240
)

// fills are the colours of the kinds.
var fills = [kindCount]string{"#d9822b", "#c23030", "#8aa0b4"}

// page is what the template shows.
type page struct {
	Head          string
	Width, Height int
	Bars          []bar
	Legend        []legend
	Tables        []table
}

type bar struct {
	X, Y, Width, Height int
	Fill, Text          string
}

type legend struct{ Fill, Text string }

type table struct {
	Title string
	Rows  []Sum
}

// WriteHTML writes a ledger as one page that needs nothing from outside.
func WriteHTML(wr io.Writer, lg Ledger) error {
	secs := lg.seconds()
	pg := page{
		Head: fmt.Sprintf("%d of %d requests were not served in time, from %s to %s.",
			len(lg.Losses), lg.Requests, lg.From.Format(time.RFC3339), lg.To.Format(time.RFC3339)),
		Width: barWidth * (int(lg.To.Sub(lg.From)/time.Second) + 1), Height: plotHeight,
	}
	most := 1
	for _, sec := range secs {
		most = max(most, sec.kinds[KindRefused]+sec.kinds[KindFailed]+sec.kinds[KindLate])
	}
	for _, sec := range secs {
		pg.Bars = append(pg.Bars, sec.bars(most)...)
	}
	for kd := range kindCount {
		pg.Legend = append(pg.Legend, legend{Fill: fills[kd], Text: kd.String()})
	}
	pg.Tables = []table{
		{"How and where it began", lg.Sums(where)},
		{"Route and cause", lg.Sums(func(ls Loss) string { return ls.Route + ": " + where(ls) })},
		{"Failure domain of the entry and cause", lg.Sums(func(ls Loss) string { return string(ls.Domain) + ": " + where(ls) })},
	}
	return pageTemplate.Execute(wr, pg)
}

// bars returns the parts of a second's bar from below; most losses of a second take the whole height.
func (sec second) bars(most int) []bar {
	var out []bar
	foot := plotHeight
	for kd, num := range sec.kinds {
		height := num * plotHeight / most
		foot -= height
		out = append(out, bar{
			X: barWidth * sec.at, Y: foot, Width: barWidth - 1, Height: height, Fill: fills[kd],
			Text: fmt.Sprintf("second %d: %d %s; most: %s", sec.at, num, Kind(kd), sec.most),
		})
	}
	return out
}
