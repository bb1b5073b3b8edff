package gypsumhoist

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// HeaderLoad carries on an upstream's answer what the upstream says of its load at this moment, as a LoadReport in text:
// "running=12, waiting=3, slots=94, pace_percent=250".
const HeaderLoad = "Gypsumhoist-Load"

// LoadFigureMax is the highest value of a figure of a LoadReport; a report with a higher one is invalid.
const LoadFigureMax = 1_000_000

// PaceUsual is the value of LoadReport.PacePercent at which work takes as long as usual.
const PaceUsual = 100

// LoadReport is what an upstream says of its load. The zero value says nothing.
type LoadReport struct {
	Running int // requests that hold a slot
	Waiting int // requests that wait for one
	Slots   int // requests that can run concurrently
	// PacePercent is how long work takes at this moment, in percent of the usual time; zero if the upstream does not say.
	PacePercent int
}

// errLoadReport is the error of an invalid LoadReport.
var errLoadReport = errors.New("load report is not of the form running=12, waiting=3, slots=94, pace_percent=250")

// ParseLoadReport parses a HeaderLoad value. An empty value is a report that says nothing. Unknown fields are ignored.
func ParseLoadReport(txt string) (LoadReport, error) {
	var lr LoadReport
	if txt == "" {
		return lr, nil
	}
	for field := range strings.SplitSeq(txt, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(field), "=")
		num, err := strconv.Atoi(val)
		switch {
		case err != nil:
			return LoadReport{}, errLoadReport
		case name == "running":
			lr.Running = num
		case name == "waiting":
			lr.Waiting = num
		case name == "slots":
			lr.Slots = num
		case name == "pace_percent":
			lr.PacePercent = num
		}
	}
	if !lr.Valid() {
		return LoadReport{}, errLoadReport
	}
	return lr, nil
}

// Valid reports whether all figures are within their ranges. A valid report has at least one slot.
func (lr LoadReport) Valid() bool {
	return lr.Running >= 0 && lr.Waiting >= 0 && lr.Slots > 0 && lr.PacePercent >= 0 &&
		max(lr.Running, lr.Waiting, lr.Slots, lr.PacePercent) <= LoadFigureMax
}

// Known reports whether the report says anything.
func (lr LoadReport) Known() bool { return lr.Slots > 0 }

// HasRoom reports whether another request could start at once.
func (lr LoadReport) HasRoom() bool { return lr.Waiting == 0 && lr.Running < lr.Slots }

// String returns the report as a HeaderLoad value, empty if it says nothing.
func (lr LoadReport) String() string {
	if !lr.Known() {
		return ""
	}
	txt := fmt.Sprintf("running=%d, waiting=%d, slots=%d", lr.Running, lr.Waiting, lr.Slots)
	if lr.PacePercent > 0 {
		txt += fmt.Sprintf(", pace_percent=%d", lr.PacePercent)
	}
	return txt
}
