package auditor

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// Audit collects the requests that a fleet's log lines record. It is not safe for concurrent use.
// The zero value is not usable; call New.
type Audit struct {
	chains  map[gypsumhoist.RequestID]*chain
	domains map[gypsumhoist.Instance]gypsumhoist.FailureDomain
}

// New returns an audit without any log lines.
func New() *Audit {
	return &Audit{chains: map[gypsumhoist.RequestID]*chain{}, domains: map[gypsumhoist.Instance]gypsumhoist.FailureDomain{}}
}

// Read adds saved log lines, which may be of several instances. Any error comes from the reader.
func (au *Audit) Read(rd io.Reader) error {
	return explainer.ScanLog(rd, au.add, func(in gypsumhoist.Instance, dm gypsumhoist.FailureDomain) { au.domains[in] = dm })
}

func (au *Audit) add(rc *explainer.Record) {
	ch := au.chains[rc.Request]
	if ch == nil {
		ch = &chain{}
		au.chains[rc.Request] = ch
	}
	ch.add(rc)
}

// Report lists the lost requests, and tells how many callers' requests there were.
type Report struct {
	From, To time.Time // when the first and the last of the requests ended
	Requests int
	Losses   []Loss // sorted by time
}

// Report returns a report on the requests that ended between two times, both included. A zero time sets no limit on its side.
func (au *Audit) Report(from, to time.Time) Report {
	var rp Report
	for _, ch := range au.chains {
		if ch.entry == nil {
			continue
		}
		end := ch.entry.Started.Add(ch.entry.Took)
		if !from.IsZero() && end.Before(from) || !to.IsZero() && end.After(to) {
			continue
		}
		rp.Requests++
		if rp.From.IsZero() || end.Before(rp.From) {
			rp.From = end
		}
		if end.After(rp.To) {
			rp.To = end
		}
		if ls, ok := ch.loss(); ok {
			ls.Domain = cmp.Or(au.domains[ch.entry.Instance], "unknown")
			rp.Losses = append(rp.Losses, ls)
		}
	}
	slices.SortFunc(rp.Losses, func(la, lb Loss) int {
		return cmp.Or(la.At.Compare(lb.At), cmp.Compare(la.Route, lb.Route), cmp.Compare(la.Cause, lb.Cause))
	})
	return rp
}

// Group is the number of losses with the same key.
type Group struct {
	Key   string
	Count int
}

// GroupBy groups the losses by a key, the largest group first.
func (rp Report) GroupBy(key func(Loss) string) []Group {
	counts := map[string]int{}
	for _, ls := range rp.Losses {
		counts[key(ls)]++
	}
	var out []Group
	for ky, num := range counts {
		out = append(out, Group{Key: ky, Count: num})
	}
	slices.SortFunc(out, func(ga, gb Group) int { return cmp.Or(cmp.Compare(gb.Count, ga.Count), cmp.Compare(ga.Key, gb.Key)) })
	return out
}

// secondOf returns the second of a loss, counted from the start of the report.
func (rp Report) secondOf(ls Loss) int { return int(ls.At.Sub(rp.From) / time.Second) }
