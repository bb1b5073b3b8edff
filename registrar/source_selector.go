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

// chooser selects the source of the next pull. It does no I/O, reads no clock and is not safe for concurrent use.
type chooser struct {
	self     Source
	sources  []Source
	backoffs map[gypsumhoist.Instance]sourceBackoff
	// lastFailed is true when the latest pull failed or brought a stale table.
	lastFailed bool
}

func newChooser(self Source) *chooser {
	return &chooser{self: self, backoffs: map[gypsumhoist.Instance]sourceBackoff{}}
}

// set replaces the known sources and keeps the backoff of those that remain.
func (ch *chooser) set(sources []Source) {
	ch.sources = preference(ch.self, sources)
	kept := map[gypsumhoist.Instance]sourceBackoff{}
	for _, sc := range ch.sources {
		if sb, ok := ch.backoffs[sc.Instance]; ok {
			kept[sc.Instance] = sb
		}
	}
	ch.backoffs = kept
}

// next returns the source to pull from now. probe is true if the source failed before, so that the pull should be
// a short probe; ok is false if there is no source.
//
// While pulls succeed, that is the best source that is not backed off. After a failure it is the source with the
// fewest failures, so that all are tried in turn and a single group of failed sources can't take every pull.
func (ch *chooser) next(now time.Time) (sc Source, probe, ok bool) {
	best := -1
	for ix, it := range ch.sources {
		sb := ch.backoffs[it.Instance]
		if !ch.lastFailed && sb.failures > 0 && now.Before(sb.until) {
			continue
		}
		if !ch.lastFailed {
			best = ix
			break
		}
		if best < 0 || sb.failures < ch.backoffs[ch.sources[best].Instance].failures {
			best = ix
		}
	}
	if best < 0 && len(ch.sources) > 0 {
		best = 0
	}
	if best < 0 {
		return Source{}, false, false
	}
	it := ch.sources[best]
	return it, ch.backoffs[it.Instance].failures > 0, true
}

// startupSources returns up to count sources from which a starting instance pulls at the same time:
// one control instance, the rest from its own domain as far as there are enough.
func (ch *chooser) startupSources(count int) []Source {
	var list, rest []Source
	controls := 0
	for _, sc := range ch.sources {
		if sc.Control && controls == 1 || !sc.Control && sc.Domain != ch.self.Domain {
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

// good records a pull that brought a fresh table.
func (ch *chooser) good(in gypsumhoist.Instance) {
	delete(ch.backoffs, in)
	ch.lastFailed = false
}

// bad records a pull that failed or brought a stale table.
func (ch *chooser) bad(in gypsumhoist.Instance, now time.Time) {
	sb := ch.backoffs[in]
	wait := min(minBackoff<<min(sb.failures, 10), maxBackoff)
	ch.backoffs[in] = sourceBackoff{failures: sb.failures + 1, until: now.Add(wait)}
	ch.lastFailed = true
}
