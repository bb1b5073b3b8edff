package registrar

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Bounds of the time for which a failed source is skipped while pulls from another one succeed.
const (
	minBackoff = 500 * time.Millisecond
	maxBackoff = 15 * time.Second
)

// sourceBackoff holds the recent failures of a source.
type sourceBackoff struct {
	failures int // failed pulls and stale answers since the last success
	until    time.Time
}

// sourceSelector selects the source of the next pull. It does no I/O, reads no clock and is not safe for concurrent use.
type sourceSelector struct {
	self     Source
	sources  []Source
	backoffs map[gypsumhoist.Instance]sourceBackoff
	// lastFailed is true when the latest pull failed or brought a stale table.
	lastFailed bool
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

// next returns the source to pull from now. probe is true if the source failed before, so that the pull should be
// a short probe; ok is false if there is no source.
//
// While pulls succeed, that is the best source that is not backed off. After a failure it is the source with the
// fewest failures, so that all are tried in turn and a single group of failed sources can't take every pull.
func (sl *sourceSelector) next(now time.Time) (sc Source, probe, ok bool) {
	best := -1
	for ix, it := range sl.sources {
		sb := sl.backoffs[it.Instance]
		if !sl.lastFailed && sb.failures > 0 && now.Before(sb.until) {
			continue
		}
		if !sl.lastFailed {
			best = ix
			break
		}
		if best < 0 || sb.failures < sl.backoffs[sl.sources[best].Instance].failures {
			best = ix
		}
	}
	if best < 0 && len(sl.sources) > 0 {
		best = 0
	}
	if best < 0 {
		return Source{}, false, false
	}
	it := sl.sources[best]
	return it, sl.backoffs[it.Instance].failures > 0, true
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

// recordSuccess records a pull that brought a fresh table.
func (sl *sourceSelector) recordSuccess(in gypsumhoist.Instance) {
	delete(sl.backoffs, in)
	sl.lastFailed = false
}

// recordFailure records a pull that failed or brought a stale table.
func (sl *sourceSelector) recordFailure(in gypsumhoist.Instance, now time.Time) {
	sb := sl.backoffs[in]
	wait := min(minBackoff<<min(sb.failures, 10), maxBackoff)
	sl.backoffs[in] = sourceBackoff{failures: sb.failures + 1, until: now.Add(wait)}
	sl.lastFailed = true
}
