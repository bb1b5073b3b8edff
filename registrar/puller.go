package registrar

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	// pullMargin is how long after the end of its hold an answer may arrive.
	pullMargin = 500 * time.Millisecond
	// fullPullTimeout bounds a pull that must transfer the whole table.
	fullPullTimeout = 5 * time.Second
	// startupPullTimeout bounds each pull of a starting instance.
	startupPullTimeout = time.Second
	// startupPulls is how many sources a starting instance pulls from at the same time.
	startupPulls = 4
	// failedPullsMax bounds the failed pulls that an event lists.
	failedPullsMax = 8
	// minPullInterval is the least time between the starts of two pulls. pullRetryDelay is the delay after a pull that
	// failed or brought a stale table, and between two checks while there is nothing to pull.
	minPullInterval = 50 * time.Millisecond
	pullRetryDelay  = 250 * time.Millisecond
	// staleAfter is the age above which a pulled table counts as a failure of its source.
	staleAfter = 2 * time.Second
	// applyWithin is how long after its acceptance an edit is to be in force wherever control is in reach.
	applyWithin = 2 * time.Second
)

// puller pulls updates from one source at a time, and manages the reporters of its instance.
type puller struct {
	ds        *Distributor
	selector  *sourceSelector
	sources   []Source
	reporters map[gypsumhoist.Instance]*reporter
	// failed holds the sources of the pulls since the last good one, with their outcome.
	failed *ringer.Ring[string]
}

func newPuller(ds *Distributor) *puller {
	return &puller{ds: ds, selector: newSourceSelector(ds.self), reporters: map[gypsumhoist.Instance]*reporter{},
		failed: ringer.New[string](failedPullsMax)}
}

// run pulls until the distributor stops.
func (pl *puller) run() error {
	pl.pullAtStartup()
	for pl.ds.tm.Alive() {
		pl.updateSources()
		delay := pullRetryDelay
		sc, probe, ok := pl.selector.next(time.Now())
		if ok && !pl.ownLogConfirms() {
			delay = pl.pullOnce(sc, probe)
		}
		pause(pl.ds.tm.Context(context.Background()), delay)
	}
	return nil
}

// ownLogConfirms is true on control instances as long as their own log confirms the table, so that they need not pull.
func (pl *puller) ownLogConfirms() bool {
	if pl.ds.barrier == nil {
		return false
	}
	confirmed := pl.ds.startedAt.Add(time.Duration(pl.ds.ownConfirmed.Load()))
	return clocker.Since(confirmed) < staleAfter
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
	for _, sc := range sources {
		pl.ds.tm.Go(func() error {
			_, err := pl.ds.pull(sc, 0, startupPullTimeout)
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
	pl.markReadyIfSynced()
}

func (pl *puller) markReadyIfSynced() {
	if pl.ds.holder.Current() != nil || pl.ds.holder.Age() != AgeUnknown {
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

// pullOnce pulls from one source, records the result and returns the delay until the next pull.
func (pl *puller) pullOnce(sc Source, probe bool) time.Duration {
	began := time.Now()
	hold, timeout := holdMax, holdMax+pullMargin
	if probe {
		hold, timeout = 0, pullMargin
	}
	if pl.ds.holder.Current() == nil {
		timeout = fullPullTimeout
	}
	ageBefore, revisionBefore := pl.ds.holder.Age(), pl.ds.holder.Current().Revision()
	age, err := pl.ds.pull(sc, hold, timeout)
	pl.logLateness(sc, ageBefore+time.Since(began), revisionBefore, age, err)
	if err != nil || age > staleAfter {
		pl.selector.recordFailure(sc.Instance, time.Now())
	} else {
		pl.selector.recordSuccess(sc.Instance)
	}
	if err != nil {
		return pullRetryDelay
	}
	pl.markReadyIfSynced()
	if age <= staleAfter || len(pl.reporters) == 0 {
		pl.reportToParent(sc)
	}
	if age > staleAfter {
		return pullRetryDelay
	}
	return max(minPullInterval-time.Since(began), 0)
}

// logLateness logs a pull that confirmed a table after it had been unconfirmed for longer than applyWithin.
func (pl *puller) logLateness(sc Source, ageBefore time.Duration, revisionBefore uint64, age time.Duration, err error) {
	switch {
	case err != nil:
		pl.failed.PushEvict(string(sc.Instance) + ":no_answer")
	case age > staleAfter:
		pl.failed.PushEvict(string(sc.Instance) + ":stale")
	default:
		var failed []string
		for it, ok := pl.failed.Pop(); ok; it, ok = pl.failed.Pop() {
			failed = append(failed, it)
		}
		if ageBefore > applyWithin {
			pl.ds.metrics.late.Inc()
			pl.ds.log.Log(eventLate, "age", ageBefore, "revision_before", revisionBefore,
				"revision", pl.ds.holder.Current().Revision(), "source", sc.Instance, "failed", strings.Join(failed, ","))
		}
	}
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

// pull sends one request to a source, applies its delta and confirmation, and returns the age of the source's table.
func (ds *Distributor) pull(sc Source, hold, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ds.tm.Context(context.Background()), timeout)
	defer cancel()
	rq := &registrarpb.PullRequest{
		Instance: string(ds.self.Instance),
		Revision: ds.holder.Current().Revision(),
		HoldMs:   uint32(hold.Milliseconds()),
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
		return AgeUnknown, fmt.Errorf("pull from %s: %w", sc.Instance, err)
	}
	if err := ds.applyDelta(rs.Msg.GetDelta()); err != nil {
		ds.metrics.failures.Inc()
		ds.log.Log(eventDeltaUnusable, "source", sc.Instance, "err", err)
		return AgeUnknown, err
	}
	if rs.Msg.AgeUs == nil {
		return AgeUnknown, nil
	}
	// The source read the age after the hold, so that asOf is no later than the true time.
	held := time.Duration(rs.Msg.GetHeldUs()) * time.Microsecond
	age := time.Duration(rs.Msg.GetAgeUs()) * time.Microsecond
	asOf := sentAt.Add(min(held, clocker.Since(sentAt)) - age)
	ds.holder.Confirm(rs.Msg.GetRevision(), asOf)
	return clocker.Since(asOf), nil
}

// applyDelta puts the table of a delta into force. A delta that no longer applies, as another source was faster, is ignored.
func (ds *Distributor) applyDelta(dl *registrarpb.Delta) error {
	tb := ds.holder.Current()
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
