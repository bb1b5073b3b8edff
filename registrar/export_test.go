package registrar

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// PreferredSources exports preferredSources: the sources in the order in which an instance pulls from them.
func PreferredSources(self Source, sources []Source) []Source { return preferredSources(self, sources) }

// SourceSelector exports sourceSelector.
type SourceSelector struct{ selector *sourceSelector }

// NewSourceSelector returns a selector over the given sources.
func NewSourceSelector(self Source, sources []Source) SourceSelector {
	sl := newSourceSelector(self)
	sl.set(sources)
	return SourceSelector{sl}
}

// Pick selects the source of the next pull, records whether good accepts it, and returns the source and that result.
func (sl SourceSelector) Pick(now time.Time, good func(Source) bool) (Source, bool) {
	sc, ok := sl.selector.next(func(gypsumhoist.Instance) bool { return false })
	return sc, ok && sl.record(now, sc, good)
}

// Probe records whether good accepts a better source that is due to be probed. It returns false only if there is one that is not accepted.
func (sl SourceSelector) Probe(now time.Time, current gypsumhoist.Instance, good func(Source) bool) bool {
	sc, due := sl.selector.probe(now, current, func(gypsumhoist.Instance) bool { return false })
	return !due || sl.record(now, sc, good)
}

func (sl SourceSelector) record(now time.Time, sc Source, good func(Source) bool) bool {
	if good(sc) {
		sl.selector.recordSuccess(sc.Instance)
		return true
	}
	sl.selector.recordFailure(sc.Instance, now)
	return false
}

// RevisionTracker exports the tracker of an instance with its session to a parent.
type RevisionTracker struct {
	tracker *revisionTracker
	session *outboundSession
}

// NewRevisionTracker returns the tracker of an instance.
func NewRevisionTracker(self Source, now time.Time) *RevisionTracker {
	return &RevisionTracker{tracker: newRevisionTracker(self, now), session: &outboundSession{number: 1}}
}

// Confirm records the revision in force at the instance.
func (rt *RevisionTracker) Confirm(revision uint64) { rt.tracker.confirm(revision) }

// NextReport returns the next report.
func (rt *RevisionTracker) NextReport() *registrarpb.ReportRequest {
	return rt.tracker.nextReport(rt.session)
}

// Reset starts a new session.
func (rt *RevisionTracker) Reset() { rt.session = &outboundSession{number: rt.session.number + 1} }

// Receive processes a report and returns false if the sender must start a new session.
func (rt *RevisionTracker) Receive(rq *registrarpb.ReportRequest, now time.Time) bool {
	return rt.tracker.receive(rq, now)
}

// Expire drops outdated sessions and instances.
func (rt *RevisionTracker) Expire(now time.Time) { rt.tracker.expire(now) }

// InForce evaluates where a revision is in force, given the sources.
func (rt *RevisionTracker) InForce(revision uint64, sources []Source, now time.Time) InForce {
	if !slices.Equal(rt.tracker.sources, sources) {
		rt.tracker.setSources(sources)
	}
	return rt.tracker.inForce(Change{Revision: revision}, nil, now)
}

// Known returns the known boot and revision of an instance.
func (rt *RevisionTracker) Known(in gypsumhoist.Instance) (boot, revision uint64) {
	mb := rt.tracker.known[in]
	return mb.boot, mb.revision
}

// ApplyDelta updates an old table to a new one by a delta and reports whether the delta was full.
func ApplyDelta(old, next *Table) (got *Table, full bool, err error) {
	dl := next.deltaFrom(old.Revision())
	got, err = old.withDelta(dl)
	return got, dl.GetFull(), err
}

// ApplyOlderDelta is ApplyDelta with a delta as a build without evacuations sends it.
func ApplyOlderDelta(old, next *Table) (*Table, error) {
	dl := next.deltaFrom(old.Revision())
	dl.Evacuations = nil
	return old.withDelta(dl)
}

// EvacuationsSize returns by how many bytes the list of evacuations makes the delta from a revision to the table longer.
func EvacuationsSize(tb *Table, from uint64) int {
	dl := tb.deltaFrom(from)
	with := len(marshal(dl))
	dl.Evacuations = nil
	return with - len(marshal(dl))
}
