package checker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// RowLimit is what one row allows.
type RowLimit struct {
	Workspace gypsumhoist.Workspace
	Route     string
	// Rate is in requests per second, Burst in requests.
	Rate  float64
	Burst float64
}

// rowID identifies a row.
type rowID struct {
	workspace gypsumhoist.Workspace
	route     string
}

// Window is a time interval of a scenario.
type Window struct{ From, Until time.Time }

// Seconds returns the length of the window.
func (wn Window) Seconds() float64 { return wn.Until.Sub(wn.From).Seconds() }

// Measures describe the service that callers got in one window.
type Measures struct {
	Operations int
	// Goodput is the operations done per second, GoodputShare its share of what the limits and the capacity allow.
	Goodput      float64
	GoodputShare float64
	// WorstShare is the smallest share of its demand within limits that a workspace got, WorstWorkspace the one that got it.
	WorstShare     float64
	WorstWorkspace gypsumhoist.Workspace
	// WrongfulShare is the share of operations within their row's limits that were refused or failed.
	WrongfulShare float64
	// RunsPerOperation is the mean number of runs at the entry service per operation.
	RunsPerOperation float64
	// ClassShares is the share of operations done, by importance class.
	ClassShares map[string]float64
	Refusals    map[gypsumhoist.Reason]int
}

// String returns the measures in one line.
func (ms Measures) String() string {
	var classes []string
	for _, name := range slices.Sorted(maps.Keys(ms.ClassShares)) {
		classes = append(classes, fmt.Sprintf("%s=%.3f", name, ms.ClassShares[name]))
	}
	var reasons []string
	for _, name := range slices.Sorted(maps.Keys(ms.Refusals)) {
		reasons = append(reasons, fmt.Sprintf("%s=%d", name, ms.Refusals[name]))
	}
	return fmt.Sprintf("orders=%d goodput=%.1f/s share=%.3f worst=%.3f(%s) wrongful=%.4f attempts=%.3f classes[%s] refused[%s]",
		ms.Operations, ms.Goodput, ms.GoodputShare, ms.WorstShare, ms.WorstWorkspace, ms.WrongfulShare, ms.RunsPerOperation,
		strings.Join(classes, " "), strings.Join(reasons, " "))
}

// Measure computes the measures of the operations sent in a window.
// Capacity is how many operations per second the upstreams can answer; zero or less means no bound.
func Measure(hs *History, wn Window, capacity float64, limits []RowLimit) Measures {
	ms := Measures{ClassShares: map[string]float64{}, Refusals: map[gypsumhoist.Reason]int{}, WorstShare: 1}
	within, done := map[rowID]float64{}, map[rowID]float64{}
	withinLimits := operationsWithinLimits(hs.Operations(), limits)
	sentByClass, doneByClass := map[string]float64{}, map[string]float64{}
	entryServices := map[string]gypsumhoist.Service{}
	total := 0.0
	for _, op := range hs.Operations() {
		if op.Sent.Before(wn.From) || !op.Sent.Before(wn.Until) {
			continue
		}
		ms.Operations++
		entryServices[op.Name] = op.Service
		row := rowID{op.Workspace, op.Route}
		if withinLimits[op.Name] {
			within[row]++
		}
		sentByClass[op.Class]++
		if op.Done {
			total++
			done[row]++
			doneByClass[op.Class]++
		} else {
			ms.Refusals[op.RefusalReason()]++
		}
	}
	ms.Goodput = total / wn.Seconds()
	ms.RunsPerOperation = countEntryRuns(hs.Runs(), entryServices) / max(float64(ms.Operations), 1)
	ms.computeShares(within, done, wn, capacity)
	for name, num := range sentByClass {
		ms.ClassShares[name] = doneByClass[name] / num
	}
	return ms
}

// operationsWithinLimits returns the operations with an attempt that one token bucket of the row's rate and burst would admit.
// Every attempt counts as a request. All operations of rows without a limit are within it.
func operationsWithinLimits(operations []*Operation, limits []RowLimit) map[string]bool {
	byRow := map[rowID][]arrival{}
	for _, op := range operations {
		row := rowID{op.Workspace, op.Route}
		for _, att := range op.Attempts {
			byRow[row] = append(byRow[row], arrival{att.Sent, op.Name})
		}
	}
	byRowLimit := map[rowID]RowLimit{}
	for _, rl := range limits {
		byRowLimit[rowID{rl.Workspace, rl.Route}] = rl
	}
	out := map[string]bool{}
	for row, ars := range byRow {
		admitArrivals(ars, byRowLimit[row], out)
	}
	return out
}

// arrival is one attempt of an operation.
type arrival struct {
	at        time.Time
	operation string
}

func admitArrivals(arrivals []arrival, rl RowLimit, out map[string]bool) {
	slices.SortFunc(arrivals, func(ra, rb arrival) int { return ra.at.Compare(rb.at) })
	level, last := rl.Burst, arrivals[0].at
	for _, ar := range arrivals {
		level = min(level+rl.Rate*ar.at.Sub(last).Seconds(), rl.Burst)
		last = ar.at
		if rl.Rate <= 0 || level >= 1 {
			level--
			out[ar.operation] = true
		}
	}
}

func countEntryRuns(runs []Run, entryServices map[string]gypsumhoist.Service) float64 {
	num := 0.0
	for _, rn := range runs {
		if sv, ok := entryServices[rn.Operation]; ok && sv == rn.Service {
			num++
		}
	}
	return num
}

// computeShares computes what each workspace got of its demand within limits, scaled down to the capacity.
func (ms *Measures) computeShares(within, done map[rowID]float64, wn Window, capacity float64) {
	sum, missed := 0.0, 0.0
	for _, num := range within {
		sum += num
	}
	if sum == 0 {
		return
	}
	scale := 1.0
	if most := capacity * wn.Seconds(); capacity > 0 && sum > most {
		scale = most / sum
	}
	ms.GoodputShare = min(ms.Goodput*wn.Seconds()/(sum*scale), 1)
	wanted, got := map[gypsumhoist.Workspace]float64{}, map[gypsumhoist.Workspace]float64{}
	for row, num := range within {
		wanted[row.workspace] += num * scale
		got[row.workspace] += done[row]
		missed += max(num-done[row], 0)
	}
	for _, ws := range slices.Sorted(maps.Keys(wanted)) {
		if share := got[ws] / wanted[ws]; share < ms.WorstShare {
			ms.WorstShare, ms.WorstWorkspace = share, ws
		}
	}
	// Refusals beyond the capacity are not wrongful.
	ms.WrongfulShare = max(missed-sum*(1-scale), 0) / (sum * scale)
}

// recoverySlot is the length of the intervals in which Recovery samples the goodput.
const recoverySlot = 500 * time.Millisecond

// Recovery returns how long after the end of a cause the operations sent within their limits are done again at 95% of the share
// before it, in two consecutive half-second intervals. The second result is false if that does not happen before the end.
func Recovery(hs *History, before Window, cause, end time.Time, limits []RowLimit) (time.Duration, bool) {
	operations := hs.Operations()
	within := operationsWithinLimits(operations, limits)
	base := successShare(operations, within, before)
	good := 0
	for at := cause; at.Add(recoverySlot).Before(end); at = at.Add(recoverySlot) {
		if successShare(operations, within, Window{at, at.Add(recoverySlot)}) < recoveryThreshold*base {
			good = 0
			continue
		}
		good++
		if good == 2 {
			return at.Sub(cause) - recoverySlot, true
		}
	}
	return end.Sub(cause), false
}

// recoveryThreshold is the share of the earlier goodput that counts as recovered.
const recoveryThreshold = 0.95

func successShare(operations []*Operation, within map[string]bool, wn Window) float64 {
	sent, done := 0.0, 0.0
	for _, op := range operations {
		if !within[op.Name] || op.Sent.Before(wn.From) || !op.Sent.Before(wn.Until) {
			continue
		}
		sent++
		if op.Done {
			done++
		}
	}
	if sent == 0 {
		return 1
	}
	return done / sent
}
