package reporter

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// plotsMax is the maximum number of plots on a page. The first rows of the report get them.
const plotsMax = 12

// Sizes of a plot, in SVG units.
const (
	plotWidth  = 720
	plotHeight = 120
	plotTop    = 10 // burn rate at the upper edge
	plotGap    = 2
)

// page is the input of the template.
type page struct {
	Notes []string
	Heads []string
	Rows  []pageRow
	Plots []plot
}

type pageRow struct {
	Level string
	Cells []string
}

// plot is a bar chart of one row's burn rate in steps of ten minutes.
type plot struct {
	Title  string
	Text   string
	Width  int
	Height int
	Bars   []bar
	One    int // y coordinate of the line at burn rate 1
}

// bar is one step of a plot.
type bar struct {
	X, Y, Width, Height int
	Text                string
}

// WriteHTML writes a report as one self-contained HTML page, without external resources.
func WriteHTML(wr io.Writer, rp Report) error {
	pg := page{Notes: notes(rp), Heads: []string{"level", "workspace", "route", "objective"}}
	for wn := range WindowCount {
		pg.Heads = append(pg.Heads, "burn "+wn.String())
	}
	pg.Heads = append(pg.Heads, "bad 3d", "requests 3d", "left out 3d")
	for _, rb := range rp.Rows {
		pg.Rows = append(pg.Rows, pageRow{Level: rb.Level.String(), Cells: rowText(rb)})
		if len(rb.Plot) > 0 && len(pg.Plots) < plotsMax {
			pg.Plots = append(pg.Plots, newPlot(rb))
		}
	}
	return pageTemplate.Execute(wr, pg)
}

func newPlot(rb RowBurn) plot {
	pl := plot{
		Title: fmt.Sprintf("%s %s", rb.Workspace, rb.Route), Width: plotWidth, Height: plotHeight,
		One: plotHeight - barHeight(1),
	}
	highest := 0.0
	width := plotWidth / len(rb.Plot)
	for ix, ct := range rb.Plot {
		burn := BurnRate(ct, rb.Objective)
		highest = max(highest, burn)
		height := barHeight(burn)
		pl.Bars = append(pl.Bars, bar{
			X: ix * width, Y: plotHeight - height, Width: width - plotGap, Height: height,
			Text: fmt.Sprintf("%s: burn %.2f, %d bad of %d", stepText(len(rb.Plot)-1-ix), burn, ct.Bad, ct.Valid()),
		})
	}
	pl.Text = fmt.Sprintf("objective %s, highest burn of ten minutes %.2f", objectiveText(rb.Objective), highest)
	return pl
}

// barHeight returns a height proportional to the burn rate, capped at plotTop.
func barHeight(burn float64) int { return int(min(burn, plotTop) / plotTop * plotHeight) }

// stepText describes a step by its age in minutes.
func stepText(stepsAgo int) string {
	if stepsAgo == 0 {
		return "now"
	}
	return strings.TrimSpace(fmt.Sprintf("%d min ago", stepsAgo*10))
}
