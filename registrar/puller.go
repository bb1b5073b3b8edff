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

const (
	// pullGrace is how long after its hold an answer may come.
	pullGrace = 500 * time.Millisecond
	// firstPullLongest bounds a pull that must bring the whole table.
	firstPullLongest = 5 * time.Second
	// starterLongest bounds the pulls of a starting instance.
	starterLongest = time.Second
	// startersCount is how many sources a starting instance asks at once.
	startersCount = 4
	// pullGap is the least time between the starts of two pulls, badPullGap that after a bad one.
	pullGap    = 50 * time.Millisecond
	badPullGap = 250 * time.Millisecond
	// staleAfter is the age from which a table that a source brought counts against the source.
	staleAfter = 2 * time.Second
)

// puller asks one source after the other for news, and keeps the uplink to the one that answers.
type puller struct {
	sp      *Spreader
	chooser *chooser
	sources []Source
	uplinks map[gypsumhoist.Instance]*uplink
}

func newPuller(sp *Spreader) *puller {
	return &puller{sp: sp, chooser: newChooser(sp.self), uplinks: map[gypsumhoist.Instance]*uplink{}}
}

// run pulls until the spreader stops.
func (pl *puller) run() error {
	pl.start()
	for pl.sp.tm.Alive() {
		pl.takeSources()
		gap := badPullGap
		sc, probation, ok := pl.chooser.next(time.Now())
		if ok && !pl.ownLogServes() {
			gap = pl.pullOnce(sc, probation)
		}
		pause(pl.sp.tm.Context(context.Background()), gap)
	}
	return nil
}

// ownLogServes is true on control instances as long as their own log confirms the table.
func (pl *puller) ownLogServes() bool {
	if pl.sp.barrier == nil {
		return false
	}
	confirmed := pl.sp.startedAt.Add(time.Duration(pl.sp.ownConfirmed.Load()))
	return clocker.Since(confirmed) < staleAfter
}

// start asks several sources at once, so that the first table in force is the highest of theirs.
func (pl *puller) start() {
	for pl.takeSources(); len(pl.chooser.list) == 0; pl.takeSources() {
		select {
		case <-pl.sp.sources.Ready():
		case <-pl.sp.tm.Dying():
			return
		}
	}
	starters := pl.chooser.starters(startersCount)
	answers := make(chan bool, len(starters))
	for _, sc := range starters {
		pl.sp.tm.Go(func() error {
			_, err := pl.sp.pull(sc, 0, starterLongest)
			answers <- err == nil
			return nil
		})
	}
	for range starters {
		select {
		case ok := <-answers:
			if !ok {
				continue
			}
		case <-pl.sp.tm.Dying():
			return
		}
	}
	pl.readyIfTold()
}

func (pl *puller) readyIfTold() {
	if pl.sp.holder.Current() != nil || pl.sp.holder.Age() != AgeUnknown {
		pl.sp.markReady()
	}
}

func (pl *puller) takeSources() {
	sources, ok := pl.sp.sources.Pop()
	if !ok {
		return
	}
	pl.sources = sources
	pl.chooser.set(sources)
	if pl.sp.self.Control {
		pl.linkControls()
	}
}

// pullOnce asks one source, judges it and returns the time until the next pull.
func (pl *puller) pullOnce(sc Source, probation bool) time.Duration {
	began := time.Now()
	hold, longest := holdLongest, holdLongest+pullGrace
	if probation {
		hold, longest = 0, pullGrace
	}
	if pl.sp.holder.Current() == nil {
		longest = firstPullLongest
	}
	age, err := pl.sp.pull(sc, hold, longest)
	if err != nil || age > staleAfter {
		pl.chooser.bad(sc.Instance, time.Now())
	} else {
		pl.chooser.good(sc.Instance)
	}
	if err != nil {
		return badPullGap
	}
	pl.readyIfTold()
	if age <= staleAfter || len(pl.uplinks) == 0 {
		pl.linkParent(sc)
	}
	if age > staleAfter {
		return badPullGap
	}
	return max(pullGap-time.Since(began), 0)
}

// linkParent moves the uplink of an instance that is not control to the source that answered.
func (pl *puller) linkParent(sc Source) {
	if pl.sp.self.Control || pl.uplinks[sc.Instance] != nil && pl.uplinks[sc.Instance].to == sc {
		return
	}
	for in, up := range pl.uplinks {
		up.tm.Kill(nil)
		delete(pl.uplinks, in)
	}
	pl.sp.mu.Lock()
	pl.sp.ledger.parent = sc.Instance
	pl.sp.mu.Unlock()
	pl.link(sc)
}

// linkControls keeps an uplink to each other control instance.
func (pl *puller) linkControls() {
	wanted := map[gypsumhoist.Instance]Source{}
	for _, sc := range pl.sources {
		if sc.Control && sc.Instance != pl.sp.self.Instance {
			wanted[sc.Instance] = sc
		}
	}
	for in, up := range pl.uplinks {
		if up.to.Peer != wanted[in].Peer || up.to.Boot != wanted[in].Boot {
			up.tm.Kill(nil)
			delete(pl.uplinks, in)
		}
	}
	for in, sc := range wanted {
		if pl.uplinks[in] == nil {
			pl.link(sc)
		}
	}
}

func (pl *puller) link(sc Source) {
	up := &uplink{sp: pl.sp, to: sc, tm: &tomb.Tomb{}}
	pl.uplinks[sc.Instance] = up
	up.tm.Go(up.run)
	pl.sp.tm.Go(up.loop)
}

// pull asks a source once, takes what it brings and returns the age of the table that the source vouches for.
func (sp *Spreader) pull(sc Source, hold, longest time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(sp.tm.Context(context.Background()), longest)
	defer cancel()
	rq := &registrarpb.PullRequest{
		Instance: string(sp.self.Instance),
		Revision: sp.holder.Current().Revision(),
		HoldMs:   uint32(hold.Milliseconds()),
	}
	if age := sp.holder.Age(); age != AgeUnknown {
		us := uint64(age.Microseconds())
		rq.AgeUs = &us
	}
	sp.counts.pulls.Inc()
	asked := clocker.Now()
	rs, err := registrarpb.NewSpreadClient(sp.peers, sp.peers.URL(sc.Peer), connect.WithReadMaxBytes(messageMax)).
		Pull(ctx, connect.NewRequest(rq))
	if err != nil {
		sp.counts.failures.Inc()
		return AgeUnknown, fmt.Errorf("pull from %s: %w", sc.Instance, err)
	}
	if err := sp.take(rs.Msg.GetDelta()); err != nil {
		sp.counts.failures.Inc()
		sp.log.Log(eventDelta, "source", sc.Instance, "err", err)
		return AgeUnknown, err
	}
	if rs.Msg.AgeUs == nil {
		return AgeUnknown, nil
	}
	// The answer left after it was held, and the age was taken after that.
	held := time.Duration(rs.Msg.GetHeldUs()) * time.Microsecond
	age := time.Duration(rs.Msg.GetAgeUs()) * time.Microsecond
	asOf := asked.Add(min(held, clocker.Since(asked)) - age)
	sp.holder.Confirm(rs.Msg.GetRevision(), asOf)
	return clocker.Since(asOf), nil
}

// take puts a delta into force. One that no longer fits, as another source was faster, is passed over.
func (sp *Spreader) take(dl *registrarpb.Delta) error {
	tb := sp.holder.Current()
	if dl == nil || dl.GetRevision() <= tb.Revision() || !dl.GetFull() && dl.GetFrom() != tb.Revision() {
		return nil
	}
	next, err := tb.after(dl)
	if err != nil {
		return err
	}
	sp.holder.Take(next)
	sp.counts.changes.Inc()
	if dl.GetFull() {
		sp.counts.full.Inc()
	}
	return nil
}
