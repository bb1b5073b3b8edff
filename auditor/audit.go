package auditor

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/explainer"
)

// Audit collects the log lines of a fleet. It is for one goroutine. The zero value is not usable; call New.
type Audit struct {
	chains  map[gypsumhoist.RequestID]*chain
	domains map[gypsumhoist.Instance]gypsumhoist.FailureDomain
}

// New returns an audit that has read nothing.
func New() *Audit {
	return &Audit{chains: map[gypsumhoist.RequestID]*chain{}, domains: map[gypsumhoist.Instance]gypsumhoist.FailureDomain{}}
}

// Read takes the saved lines of any instances. The error is that of the reader.
func (au *Audit) Read(rd io.Reader) error {
	return explainer.ScanLog(rd, au.take, func(in gypsumhoist.Instance, dm gypsumhoist.FailureDomain) { au.domains[in] = dm })
}

func (au *Audit) take(rc *explainer.Record) {
	ch := au.chains[rc.Request]
	if ch == nil {
		ch = &chain{}
		au.chains[rc.Request] = ch
	}
	ch.add(rc)
}

// Ledger is what was lost, and out of how many requests.
type Ledger struct {
	From, To time.Time // of the requests' ends
	Requests int
	Losses   []Loss // in the order of their times
}

// Ledger returns what was lost between two times; a zero time leaves that side open.
func (au *Audit) Ledger(from, to time.Time) Ledger {
	var lg Ledger
	for _, ch := range au.chains {
		if ch.entry == nil {
			continue
		}
		end := ch.entry.Started.Add(ch.entry.Took)
		if !from.IsZero() && end.Before(from) || !to.IsZero() && end.After(to) {
			continue
		}
		lg.Requests++
		if lg.From.IsZero() || end.Before(lg.From) {
			lg.From = end
		}
		if end.After(lg.To) {
			lg.To = end
		}
		if ls, ok := ch.loss(); ok {
			ls.Domain = cmp.Or(au.domains[ch.entry.Instance], "unknown")
			lg.Losses = append(lg.Losses, ls)
		}
	}
	slices.SortFunc(lg.Losses, func(la, lb Loss) int {
		return cmp.Or(la.At.Compare(lb.At), cmp.Compare(la.Route, lb.Route), cmp.Compare(la.Cause, lb.Cause))
	})
	return lg
}

// Sum counts losses that are alike.
type Sum struct {
	Key   string
	Count int
}

// Sums counts the losses by a key, the most frequent first.
func (lg Ledger) Sums(key func(Loss) string) []Sum {
	counts := map[string]int{}
	for _, ls := range lg.Losses {
		counts[key(ls)]++
	}
	var out []Sum
	for ky, num := range counts {
		out = append(out, Sum{Key: ky, Count: num})
	}
	slices.SortFunc(out, func(sa, sb Sum) int { return cmp.Or(cmp.Compare(sb.Count, sa.Count), cmp.Compare(sa.Key, sb.Key)) })
	return out
}

// second returns in which second of the ledger a loss stands.
func (lg Ledger) second(ls Loss) int { return int(ls.At.Sub(lg.From) / time.Second) }
