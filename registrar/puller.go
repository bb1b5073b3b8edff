package registrar

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// ApplyWithin is how long after its acceptance an edit is in force at each instance that reaches a control instance with a quorum.
const ApplyWithin = 2 * time.Second

const (
	// holdMargin is how long after the end of its hold an answer may arrive.
	holdMargin = 500 * time.Millisecond
	// fullPullTimeout bounds the held pull of an instance without a table.
	fullPullTimeout = 5 * time.Second
	// startupPullTimeout bounds each pull of an instance without a table that its source does not hold.
	startupPullTimeout = time.Second
	// startupPulls is how many sources a starting instance pulls from at the same time.
	startupPulls = 4
	// minPullInterval is the least time between the starts of two held pulls. pullRetryDelay is the delay after one that
	// failed or brought a late table, and between two checks while there is nothing to pull.
	minPullInterval = 50 * time.Millisecond
	pullRetryDelay  = 250 * time.Millisecond
)

// puller keeps one pull open at the best source, which holds it until there is an update. Once the table is late, it pulls from
// further sources at the same time, so that no source can delay an edit. It also manages the reporters of its instance.
type puller struct {
	ds        *Distributor
	selector  *sourceSelector
	sources   []Source
	reporters map[gypsumhoist.Instance]*reporter
	results   chan pullResult
	inFlight  map[gypsumhoist.Instance]*pullInFlight
	// held is the pull that its source holds; nil if there is none. The next one starts at nextHeld.
	held     *pullInFlight
	nextHeld time.Time
	catchUp  catchUp
	// reviewDue is set while sources may have left out evacuations, and nextReview is when a control instance may be asked for them again.
	reviewDue  bool
	nextReview time.Time
}

// pullInFlight is a pull whose answer is awaited.
type pullInFlight struct {
	source Source
	began  time.Time
	cancel context.CancelFunc
}

// pullResult is the end of a pull: the age of the source's table, or an error.
type pullResult struct {
	pull *pullInFlight
	age  time.Duration
	err  error
	// older is set if the source runs a build that relays tables without their evacuations.
	older bool
}

func newPuller(ds *Distributor) *puller {
	return &puller{
		ds: ds, selector: newSourceSelector(ds.self), reporters: map[gypsumhoist.Instance]*reporter{},
		results: make(chan pullResult), inFlight: map[gypsumhoist.Instance]*pullInFlight{},
		catchUp: newCatchUp(),
	}
}

// run pulls until the distributor stops.
func (pl *puller) run() error {
	pl.pullAtStartup()
	for pl.ds.tm.Alive() {
		pl.updateSources()
		pl.await(pl.startPulls(time.Now()))
	}
	return nil
}

// ownLogConfirms is true on control instances as long as their own log confirms the table, so that they need not pull.
func (pl *puller) ownLogConfirms() bool {
	if pl.ds.barrier == nil {
		return false
	}
	confirmed := pl.ds.startedAt.Add(time.Duration(pl.ds.ownConfirmed.Load()))
	return clocker.Since(confirmed) < lateAfter
}

// pullAtStartup pulls from several sources at the same time, so that the instance is ready with their highest revision.
func (pl *puller) pullAtStartup() {
	for pl.updateSources(); len(pl.selector.sources) == 0; pl.updateSources() {
		select {
		case <-pl.ds.sources.Ready():
		case <-pl.ds.tm.Dying():
			return
		}
	}
	sources := pl.selector.startupSources(startupPulls)
	answers := make(chan bool, len(sources))
	ctx := pl.ds.tm.Context(context.Background())
	for _, sc := range sources {
		pl.ds.tm.Go(func() error {
			_, _, err := pl.ds.pull(ctx, sc, 0, startupPullTimeout)
			answers <- err == nil
			return nil
		})
	}
	for range sources {
		select {
		case ok := <-answers:
			if !ok {
				continue
			}
		case <-pl.ds.tm.Dying():
			return
		}
	}
	pl.markReadyIfConfirmed()
}

// markReadyIfConfirmed doesn't take a table that was not confirmed: after a restart of the whole fleet, the sources may still be replaying the log.
func (pl *puller) markReadyIfConfirmed() {
	if pl.ds.holder.Age() != AgeUnknown {
		pl.ds.markReady()
	}
}

func (pl *puller) updateSources() {
	sources, ok := pl.ds.sources.Pop()
	if !ok {
		return
	}
	pl.sources = sources
	pl.selector.set(sources)
	if pl.ds.self.Control {
		pl.reportToControls()
	}
}

// startPulls starts the pulls that are due and returns the time until it must be called again if none of them ends before.
func (pl *puller) startPulls(now time.Time) time.Duration {
	if pl.ownLogConfirms() {
		pl.catchUp.active = false
		return pullRetryDelay
	}
	if len(pl.selector.sources) == 0 {
		return pullRetryDelay
	}
	if pl.held == nil && !now.Before(pl.nextHeld) {
		if sc, ok := pl.selector.next(pl.isInFlight); ok {
			pl.held = pl.start(sc, holdMax, pl.timeout(holdMax+holdMargin, fullPullTimeout))
		}
	}
	if pl.held != nil {
		if sc, ok := pl.selector.probe(now, pl.held.source.Instance, pl.isInFlight); ok {
			pl.start(sc, 0, pl.timeout(shortPullTimeout, startupPullTimeout))
		}
	}
	wait := min(pl.catchUpIfLate(now), pl.reviewEvacuations(now))
	if pl.held == nil {
		wait = min(wait, max(pl.nextHeld.Sub(now), minPullInterval))
	}
	return wait
}

func (pl *puller) isInFlight(in gypsumhoist.Instance) bool { return pl.inFlight[in] != nil }

// timeout returns the bound of a pull that transfers what has changed, or the whole table.
func (pl *puller) timeout(changes, whole time.Duration) time.Duration {
	if pl.ds.holder.Current() == nil {
		return whole
	}
	return changes
}

// start starts a pull from a source from which none is in flight.
func (pl *puller) start(sc Source, hold, timeout time.Duration) *pullInFlight {
	ctx, cancel := context.WithCancel(pl.ds.tm.Context(context.Background()))
	pf := &pullInFlight{source: sc, began: time.Now(), cancel: cancel}
	pl.inFlight[sc.Instance] = pf
	pl.ds.tm.Go(func() error {
		defer cancel()
		age, older, err := pl.ds.pull(ctx, sc, hold, timeout)
		select {
		case pl.results <- pullResult{pull: pf, age: age, err: err, older: older}:
		case <-pl.ds.tm.Dying():
		}
		return nil
	})
	return pf
}

// await waits for the end of a pull, which it processes, for a new list of sources or for the given time.
func (pl *puller) await(longest time.Duration) {
	tm := time.NewTimer(longest)
	defer tm.Stop()
	select {
	case re := <-pl.results:
		pl.finish(re, time.Now())
	case <-pl.ds.sources.Ready():
	case <-tm.C:
	case <-pl.ds.tm.Dying():
	}
}

// finish records the end of a pull. A pull that was given up has been recorded before.
func (pl *puller) finish(re pullResult, now time.Time) {
	sc := re.pull.source
	if pl.inFlight[sc.Instance] != re.pull {
		return
	}
	delete(pl.inFlight, sc.Instance)
	held := pl.held == re.pull
	if held {
		pl.held = nil
	}
	if re.err == nil {
		pl.markReadyIfConfirmed()
	}
	if re.err != nil || re.age > lateAfter {
		pl.fail(sc, re.err == nil, now)
		if held {
			pl.nextHeld = now.Add(pullRetryDelay)
		}
		if re.err == nil && len(pl.reporters) == 0 {
			pl.reportToParent(sc)
		}
		return
	}
	pl.selector.recordSuccess(sc.Instance)
	if re.older || sc.Control {
		pl.reviewDue = re.older
	}
	if held {
		pl.nextHeld = re.pull.began.Add(minPullInterval)
		pl.reportToParent(sc)
	}
	pl.endCatchUp(sc, now)
}

// reviewInterval is the least time between two pulls for evacuations that sources of older builds have left out. With the longest hold of a pull
// before it, it stays within the 5 s in which an evacuation must be in force.
const reviewInterval = 2 * time.Second

// reviewEvacuations pulls from a control instance, at most every reviewInterval, if a source runs an older build. Control instances
// don't accept evacuations while one of them does. It returns the time until it must be called again.
func (pl *puller) reviewEvacuations(now time.Time) time.Duration {
	if !pl.reviewDue {
		return reviewInterval
	}
	if now.Before(pl.nextReview) {
		return pl.nextReview.Sub(now)
	}
	sc, _, ok := pl.selector.leastFailed(func(sc Source) bool { return sc.Control && !pl.isInFlight(sc.Instance) })
	if ok && len(pl.inFlight) < pullsInFlightMax {
		pl.start(sc, 0, pl.timeout(shortPullTimeout, startupPullTimeout))
	}
	pl.nextReview = now.Add(reviewInterval)
	return reviewInterval
}

// fail records that a source gave no answer or, with late, one that did not bring the table up to date.
func (pl *puller) fail(sc Source, late bool, now time.Time) {
	pl.selector.recordFailure(sc.Instance, now)
	pl.catchUp.recordFailure(sc.Instance, late)
}

// reportToParent makes an instance that is not control report to the source that answered, and to no other one.
func (pl *puller) reportToParent(sc Source) {
	if pl.ds.self.Control || pl.reporters[sc.Instance] != nil && pl.reporters[sc.Instance].to == sc {
		return
	}
	for in, rp := range pl.reporters {
		rp.tm.Kill(nil)
		delete(pl.reporters, in)
	}
	pl.ds.mu.Lock()
	pl.ds.tracker.parent = sc.Instance
	pl.ds.mu.Unlock()
	pl.startReporter(sc)
}

// reportToControls keeps a reporter to each other control instance.
func (pl *puller) reportToControls() {
	wanted := map[gypsumhoist.Instance]Source{}
	for _, sc := range pl.sources {
		if sc.Control && sc.Instance != pl.ds.self.Instance {
			wanted[sc.Instance] = sc
		}
	}
	for in, rp := range pl.reporters {
		if rp.to.Peer != wanted[in].Peer || rp.to.Boot != wanted[in].Boot {
			rp.tm.Kill(nil)
			delete(pl.reporters, in)
		}
	}
	for in, sc := range wanted {
		if pl.reporters[in] == nil {
			pl.startReporter(sc)
		}
	}
}

func (pl *puller) startReporter(sc Source) {
	rp := &reporter{ds: pl.ds, to: sc, tm: &tomb.Tomb{}}
	pl.reporters[sc.Instance] = rp
	rp.tm.Go(rp.run)
	pl.ds.tm.Go(rp.loop)
}

// pull sends one request to a source, applies its delta and confirmation, and returns the age of the source's table, and whether the source
// runs a build that relays tables without their evacuations.
func (ds *Distributor) pull(ctx context.Context, sc Source, hold, timeout time.Duration) (age time.Duration, older bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rq := &registrarpb.PullRequest{
		Instance: string(ds.self.Instance),
		Revision: ds.holder.Current().Revision(),
		HoldMs:   uint32(hold.Milliseconds()),

		EvacuationRevision: ds.holder.Current().evacuationRevision(),
	}
	if age := ds.holder.Age(); age != AgeUnknown {
		us := uint64(age.Microseconds())
		rq.AgeUs = &us
	}
	ds.metrics.pulls.Inc()
	sentAt := clocker.Now()
	rs, err := registrarpb.NewSpreadClient(ds.peers, ds.peers.URL(sc.Peer), connect.WithReadMaxBytes(messageMaxBytes)).
		Pull(ctx, connect.NewRequest(rq))
	if err != nil {
		ds.metrics.failures.Inc()
		return AgeUnknown, false, fmt.Errorf("pull from %s: %w", sc.Instance, err)
	}
	if err := ds.applyDelta(rs.Msg.GetDelta()); err != nil {
		ds.metrics.failures.Inc()
		ds.log.Log(eventDeltaUnusable, "source", sc.Instance, "err", err)
		return AgeUnknown, false, err
	}
	older = leavesOutEvacuations(rq, rs.Msg)
	if rs.Msg.AgeUs == nil {
		return AgeUnknown, older, nil
	}
	// The source read the age after the hold, so that asOf is no later than the true time.
	held := time.Duration(rs.Msg.GetHeldUs()) * time.Microsecond
	age = time.Duration(rs.Msg.GetAgeUs()) * time.Microsecond
	asOf := sentAt.Add(min(held, clocker.Since(sentAt)) - age)
	ds.holder.Confirm(rs.Msg.GetRevision(), asOf)
	return clocker.Since(asOf), older, nil
}

// leavesOutEvacuations reports whether an answer comes from a build that relays tables without their evacuations, as far as it shows: it raises the
// revision without a change, or its source knows of no evacuation though the requester does.
func leavesOutEvacuations(rq *registrarpb.PullRequest, answer *registrarpb.PullAnswer) bool {
	if dl := answer.GetDelta(); dl != nil && isUnexplained(dl) {
		return true
	}
	return answer.GetEvacuationRevision() == 0 && rq.GetEvacuationRevision() > 0 && answer.GetRevision() >= rq.GetRevision()
}

// applyDelta puts the table of a delta into force. A delta that no longer applies, as another source was faster, is ignored.
func (ds *Distributor) applyDelta(dl *registrarpb.Delta) error {
	tb := ds.holder.Current()
	if tb != nil && dl.GetRevision() <= tb.Revision() && dl.GetEvacuations().GetRevision() > tb.evacuationRevision() {
		ds.holder.Update(tb.withEvacuations(dl.GetEvacuations()))
		return nil
	}
	if dl == nil || dl.GetRevision() <= tb.Revision() || !dl.GetFull() && dl.GetFrom() != tb.Revision() {
		return nil
	}
	next, err := tb.withDelta(dl)
	if err != nil {
		return err
	}
	ds.holder.Update(next)
	ds.metrics.changes.Inc()
	if dl.GetFull() {
		ds.metrics.full.Inc()
	}
	return nil
}
