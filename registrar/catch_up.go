package registrar

import (
	"strings"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// An edit reaches an instance at the latest lateAfter + k*catchUpInterval and a round trip after it was accepted, where k control
// instances are silent or late: 1.75 s if five of eleven are, which leaves 0.25 s of ApplyWithin for the round trip.
const (
	// lateAfter is the age from which a table is late. Confirmed sources renew theirs at least every
	// minRefresh + barrierInterval, so only tables that depend on a failed instance become late.
	lateAfter = ApplyWithin * 9 / 16
	// catchUpInterval is the time between two steps of catching up; it doubles with each failure of all sources.
	catchUpInterval    = ApplyWithin / 16
	catchUpIntervalMax = time.Second
	// shortPullTimeout bounds a pull that its source does not hold.
	shortPullTimeout = ApplyWithin / 4
	// pullsInFlightMax bounds the pulls in flight of an instance: the held one, a probe and those of five steps.
	pullsInFlightMax = 12
	// failedPullsMax bounds the failed pulls that an event lists.
	failedPullsMax = 8
)

// catchUp is the state of a puller while its table is late.
type catchUp struct {
	active bool
	// asOf and revision are those of the table when it became late; asOf is zero if there was none. nextStep is when the next
	// sources are pulled from.
	asOf     time.Time
	revision uint64
	nextStep time.Time
	// failed holds the latest sources of pulls that failed or brought a late table, with what was wrong.
	failed *ringer.Ring[string]
}

func newCatchUp() catchUp { return catchUp{failed: ringer.New[string](failedPullsMax)} }

func (cu *catchUp) recordFailure(in gypsumhoist.Instance, late bool) {
	what := ":no_answer"
	if late {
		what = ":late"
	}
	cu.failed.PushEvict(string(in) + what)
}

// popFailed removes and returns the recorded failures.
func (cu *catchUp) popFailed() []string {
	var list []string
	for it, ok := cu.failed.Pop(); ok; it, ok = cu.failed.Pop() {
		list = append(list, it)
	}
	return list
}

// catchUpIfLate pulls from a control instance and another source if the table is late, at most every catchUpInterval.
// It returns the time until it must be called again.
func (pl *puller) catchUpIfLate(now time.Time) time.Duration {
	cu := &pl.catchUp
	age := pl.ds.holder.Age()
	if age <= lateAfter {
		return lateAfter - age + time.Millisecond
	}
	if now.Before(cu.nextStep) {
		return cu.nextStep.Sub(now)
	}
	if !cu.active {
		cu.active, cu.revision = true, pl.ds.holder.Current().Revision()
		cu.asOf = time.Time{}
		if age != AgeUnknown {
			cu.asOf = now.Add(-age)
		}
	}
	failures := -1
	for _, control := range []bool{true, false} {
		sc, failed, ok := pl.selector.leastFailed(func(sc Source) bool { return sc.Control == control && !pl.isInFlight(sc.Instance) })
		if ok && len(pl.inFlight) < pullsInFlightMax {
			pl.start(sc, 0, pl.timeout(shortPullTimeout, startupPullTimeout))
		}
		if ok && (failures < 0 || failed < failures) {
			failures = failed
		}
	}
	wait := min(catchUpInterval<<min(max(failures, 0), 10), catchUpIntervalMax)
	cu.nextStep = now.Add(wait)
	return wait
}

// endCatchUp ends catching up once a source has brought the table up to date. A held pull that could have done so is given up.
func (pl *puller) endCatchUp(from Source, now time.Time) {
	cu := &pl.catchUp
	failed := cu.popFailed()
	if !cu.active || pl.ds.holder.Age() > lateAfter {
		return
	}
	cu.active, cu.nextStep = false, time.Time{}
	if hp := pl.held; hp != nil && now.Sub(hp.began) > shortPullTimeout {
		failed = append(failed, string(hp.source.Instance)+":given_up")
		hp.cancel()
		delete(pl.inFlight, hp.source.Instance)
		pl.selector.recordFailure(hp.source.Instance, now)
		pl.held, pl.nextHeld = nil, now
	}
	pl.logCaughtUp(from, now, failed)
}

// logCaughtUp logs that the table is up to date again after it was late. The first table of an instance is late for no one.
func (pl *puller) logCaughtUp(from Source, now time.Time, failed []string) {
	cu := &pl.catchUp
	if cu.asOf.IsZero() {
		return
	}
	pl.ds.metrics.catchUps.Inc()
	event, age := eventCaughtUp, now.Sub(cu.asOf)
	if age > ApplyWithin {
		event = eventLate
		pl.ds.metrics.late.Inc()
	}
	pl.ds.log.Log(event, "age", age, "revision_before", cu.revision, "revision", pl.ds.holder.Current().Revision(),
		"source", from.Instance, "failed", strings.Join(failed, ","))
}
