package registrar

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of the time after which a failed source is probed again while pulls from another one succeed.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 15 * time.Second
	// probeInterval is the least time between two probes.
	probeInterval = 2 * time.Second
)

// sourceBackoff holds the recent failures of a source.
type sourceBackoff struct {
	failures int // failed pulls and late tables since the last success
	until    time.Time
}

// sourceSelector selects the source of the next pull. It does no I/O, reads no clock and is not safe for concurrent use.
type sourceSelector struct {
	self     Source
	sources  []Source
	backoffs map[gypsumhoist.Instance]sourceBackoff
	// nextProbe is when a failed source may be probed again.
	nextProbe time.Time
}

func newSourceSelector(self Source) *sourceSelector {
	return &sourceSelector{self: self, backoffs: map[gypsumhoist.Instance]sourceBackoff{}}
}

// set replaces the known sources and keeps the backoff of those that remain.
func (sl *sourceSelector) set(sources []Source) {
	sl.sources = preferredSources(sl.self, sources)
	kept := map[gypsumhoist.Instance]sourceBackoff{}
	for _, sc := range sl.sources {
		if sb, ok := sl.backoffs[sc.Instance]; ok {
			kept[sc.Instance] = sb
		}
	}
	sl.backoffs = kept
}

// next returns the source to pull from now, unless there is none: the best of those that have failed least often since they last
// succeeded, so that all are tried in turn while all fail. Sources that are busy are left out.
func (sl *sourceSelector) next(busy func(gypsumhoist.Instance) bool) (Source, bool) {
	sc, _, ok := sl.leastFailed(func(sc Source) bool { return !busy(sc.Instance) })
	return sc, ok
}

// leastFailed returns the best of the wanted sources that have failed least often, and how often that is.
func (sl *sourceSelector) leastFailed(wanted func(Source) bool) (sc Source, failures int, ok bool) {
	for _, it := range sl.sources {
		if fl := sl.backoffs[it.Instance].failures; wanted(it) && (!ok || fl < failures) {
			sc, failures, ok = it, fl, true
		}
	}
	return sc, failures, ok
}

// probe returns a failed source that is better than the current one and should be tried again now, if there is one.
func (sl *sourceSelector) probe(now time.Time, current gypsumhoist.Instance, busy func(gypsumhoist.Instance) bool) (Source, bool) {
	for _, sc := range sl.sources {
		if sc.Instance == current || now.Before(sl.nextProbe) {
			break
		}
		sb := sl.backoffs[sc.Instance]
		if sb.failures > 0 && !now.Before(sb.until) && !busy(sc.Instance) {
			sl.nextProbe = now.Add(probeInterval)
			return sc, true
		}
	}
	return Source{}, false
}

// startupSources returns up to count sources from which a starting instance pulls at the same time:
// one control instance, the rest from its own domain as far as there are enough.
func (sl *sourceSelector) startupSources(count int) []Source {
	var list, rest []Source
	controls := 0
	for _, sc := range sl.sources {
		if sc.Control && controls == 1 || !sc.Control && sc.Domain != sl.self.Domain {
			rest = append(rest, sc)
			continue
		}
		if sc.Control {
			controls++
		}
		list = append(list, sc)
	}
	list = append(list, rest...)
	return list[:min(count, len(list))]
}

// recordSuccess records a pull that brought the table up to date.
func (sl *sourceSelector) recordSuccess(in gypsumhoist.Instance) {
	delete(sl.backoffs, in)
}

// recordFailure records a pull that failed or brought a late table.
func (sl *sourceSelector) recordFailure(in gypsumhoist.Instance, now time.Time) {
	sb := sl.backoffs[in]
	wait := min(minBackoff<<min(sb.failures, 10), maxBackoff)
	sl.backoffs[in] = sourceBackoff{failures: sb.failures + 1, until: now.Add(wait)}
}
