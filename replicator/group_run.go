package replicator

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist/clocker"
)

// run is the group's goroutine.
func (gp *Group) run() error {
	defer gp.settleAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	dying := gp.tb.Dying()
	var stopAt time.Time
	for {
		select {
		case <-dying:
			dying = nil
			if !gp.core.Transfer(clocker.Now()) {
				return nil
			}
			stopAt = clocker.Now().Add(gp.timings.ElectionMin)
		case <-gp.ring.Ready():
		case <-timer.C:
		}
		if err := gp.turn(); err != nil {
			gp.host.lg.Log(eventJournalFailed, "group", gp.name, "error", err)
			return err
		}
		now := clocker.Now()
		if dying == nil && (gp.core.Role() != RoleLeader || !now.Before(stopAt)) {
			return nil
		}
		timer.Reset(gp.wait(now, stopAt))
	}
}

func (gp *Group) wait(now, stopAt time.Time) time.Duration {
	if gp.core.Role() == RoleRemoved {
		return time.Hour
	}
	at := gp.core.Deadline()
	if !stopAt.IsZero() && stopAt.Before(at) {
		at = stopAt
	}
	return max(at.Sub(now), 0)
}

// turn takes in all that waits and acts on it.
func (gp *Group) turn() error {
	for {
		now := clocker.Now()
		more := gp.drain(now)
		if !now.Before(gp.core.Deadline()) {
			gp.core.Tick(now)
		}
		if err := gp.act(now); err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// drain feeds the core from the ring and reports whether more is there. Commands that stand
// next to each other are proposed together.
func (gp *Group) drain(now time.Time) bool {
	var batch []*call
	for range drainBound {
		ev, ok := gp.ring.Pop()
		if !ok {
			gp.propose(now, batch)
			return false
		}
		switch ev := ev.(type) {
		case messageIn:
			gp.propose(now, batch)
			batch = batch[:0]
			gp.core.Step(now, ev.message)
		case callIn:
			if ev.call.kind == callPropose {
				batch = append(batch, ev.call)
				continue
			}
			gp.propose(now, batch)
			batch = batch[:0]
			gp.serve(now, ev.call)
		}
	}
	gp.propose(now, batch)
	return true
}

func (gp *Group) serve(now time.Time, cl *call) {
	switch cl.kind {
	case callChange:
		gp.serveChange(now, cl)
	case callRead:
		gp.sweepReads()
		gp.nextRead++
		gp.reading[gp.nextRead] = cl
		gp.core.Read(now, gp.nextRead)
	case callStatus:
		cl.finish(result{status: gp.core.Status(now)})
	default:
	}
}

func (gp *Group) propose(now time.Time, batch []*call) {
	if len(batch) == 0 {
		return
	}
	if gp.core.Role() == RoleLeader && !gp.core.Lease(now).Held {
		// It may have been replaced: refusing now is better than an unknown outcome later.
		gp.refuse(batch, "the leader has no lease")
		return
	}
	taken := batch[:0]
	commands := make([][]byte, 0, len(batch))
	for _, cl := range batch {
		if cl.take() {
			taken = append(taken, cl)
			commands = append(commands, cl.command)
		}
	}
	index, ok := gp.core.Propose(now, commands...)
	if !ok {
		gp.refuse(taken, "this member does not lead")
		return
	}
	for ix, cl := range taken {
		gp.await(index+uint64(ix), cl)
	}
	gp.meters.proposals.Add(len(taken))
}

func (gp *Group) refuse(calls []*call, detail string) {
	for _, cl := range calls {
		cl.finish(result{err: gp.noLeader(detail)})
	}
}

func (gp *Group) serveChange(now time.Time, cl *call) {
	if !cl.take() {
		return
	}
	if gp.core.Role() != RoleLeader {
		cl.finish(result{err: gp.noLeader("this member does not lead")})
		return
	}
	index, err := gp.core.Change(now, cl.change)
	if err != nil {
		cl.finish(result{err: err})
		return
	}
	gp.await(index, cl)
}

func (gp *Group) await(index uint64, cl *call) {
	cl.term = gp.core.Term()
	gp.waiting[index] = cl
}

func (gp *Group) noLeader(detail string) error {
	mb, _ := gp.core.Leader()
	if mb.ID() == gp.self.ID() {
		mb = Member{}
	}
	return &ErrNoLeader{Group: gp.name, Leader: mb, Detail: detail}
}

// sweepReads forgets reads that nobody may wait for any more once there are many.
func (gp *Group) sweepReads() {
	const bound = 4096
	if len(gp.reading) > bound {
		for id, cl := range gp.reading {
			cl.finish(result{err: gp.noLeader("too many reads wait")})
			delete(gp.reading, id)
		}
	}
}

// settleAll ends every call that still waits.
func (gp *Group) settleAll() {
	gp.lease.Store(&Lease{Epoch: gp.core.Term()})
	gp.leader.Store(nil)
	for _, cl := range gp.waiting {
		cl.finish(result{err: &ErrUnknownOutcome{Group: gp.name, Cause: ErrStopped}})
	}
	for _, cl := range gp.reading {
		cl.finish(result{err: &ErrNoLeader{Group: gp.name, Detail: ErrStopped.Error()}})
	}
	_ = gp.journal.Close() // all that matters was synced by Save
}
