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

// Sizes of the chart, in SVG units.
const (
	barWidth    = 8
	chartHeight = 240
)

// kindFills are the fill colours of the bars, by Kind.
var kindFills = [kindCount]string{"#d9822b", "#c23030", "#8aa0b4"}

// page is the input of the template.
type page struct {
	Head          string
	Width, Height int
	Bars          []bar
	Legend        []legendEntry
	Tables        []table
}

type bar struct {
	X, Y, Width, Height int
	Fill, Text          string
}

type legendEntry struct{ Fill, Text string }

type table struct {
	Title string
	Rows  []Group
}

// WriteHTML writes a report as one self-contained HTML page, without external resources.
func WriteHTML(wr io.Writer, rp Report) error {
	secs := rp.seconds()
	pg := page{
		Head: fmt.Sprintf("%d of %d requests were not served in time, from %s to %s.",
			len(rp.Losses), rp.Requests, rp.From.Format(time.RFC3339), rp.To.Format(time.RFC3339)),
		Width: barWidth * (int(rp.To.Sub(rp.From)/time.Second) + 1), Height: chartHeight,
	}
	lossesMax := 1
	for _, sec := range secs {
		lossesMax = max(lossesMax, sec.counts[KindRefused]+sec.counts[KindFailed]+sec.counts[KindLate])
	}
	for _, sec := range secs {
		pg.Bars = append(pg.Bars, sec.bars(lossesMax)...)
	}
	for kd := range kindCount {
		pg.Legend = append(pg.Legend, legendEntry{Fill: kindFills[kd], Text: kd.String()})
	}
	pg.Tables = []table{
		{"How and where it began", rp.GroupBy(lossText)},
		{"Route and cause", rp.GroupBy(func(ls Loss) string { return ls.Route + ": " + lossText(ls) })},
		{"Failure domain of the entry and cause", rp.GroupBy(func(ls Loss) string { return string(ls.Domain) + ": " + lossText(ls) })},
	}
	return pageTemplate.Execute(wr, pg)
}

// bars returns the segments of a second's stacked bar, from the bottom up. A bar of lossesMax losses has the full height.
func (sec second) bars(lossesMax int) []bar {
	var out []bar
	top := chartHeight
	for kd, num := range sec.counts {
		height := num * chartHeight / lossesMax
		top -= height
		out = append(out, bar{
			X: barWidth * sec.index, Y: top, Width: barWidth - 1, Height: height, Fill: kindFills[kd],
			Text: fmt.Sprintf("second %d: %d %s; most: %s", sec.index, num, Kind(kd), sec.mostFrequent),
		})
	}
	return out
}
