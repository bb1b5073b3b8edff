package replicator

import "time"

// run is the group's goroutine.
func (gp *Group) run() error {
	defer gp.failPending()
	timer := time.NewTimer(0)
	defer timer.Stop()
	dying := gp.tb.Dying()
	var stopAt time.Time
	for {
		select {
		case <-dying:
			dying = nil
			if !gp.core.Transfer(gp.now()) {
				return nil
			}
			stopAt = gp.now().Add(gp.timings.ElectionMin)
		case <-gp.ring.Ready():
		case <-timer.C:
		}
		if err := gp.processEvents(); err != nil {
			gp.host.lg.Log(eventJournalFailed, "group", gp.name, "error", err)
			return err
		}
		now := gp.now()
		if dying == nil && (gp.core.Role() != RoleLeader || !now.Before(stopAt)) {
			return nil
		}
		timer.Reset(gp.untilNextWake(now, stopAt))
	}
}

func (gp *Group) untilNextWake(now, stopAt time.Time) time.Duration {
	if gp.core.Role() == RoleRemoved {
		return time.Hour
	}
	at := gp.core.Deadline()
	if !stopAt.IsZero() && stopAt.Before(at) {
		at = stopAt
	}
	return max(at.Sub(now), 0)
}

// processEvents processes all queued events and the core's output.
func (gp *Group) processEvents() error {
	for {
		more := gp.drain()
		now := gp.now()
		if !now.Before(gp.core.Deadline()) {
			gp.core.Tick(now)
		}
		if err := gp.processOutput(now); err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

// drain passes queued events to the core and reports whether there may be more. Consecutive commands are
// proposed in one batch. The clock is read after an event is taken, as the lease must hold when a read arrives, and a promise to a leader
// must not begin before its message, even if this goroutine is suspended at any point.
func (gp *Group) drain() bool {
	var batch []*call
	for range maxDrainEvents {
		ev, ok := gp.ring.Pop()
		now := gp.now()
		if !ok {
			gp.propose(now, batch)
			return false
		}
		switch ev := ev.(type) {
		case messageEvent:
			gp.propose(now, batch)
			batch = batch[:0]
			gp.core.Step(now, ev.message)
		case callEvent:
			if ev.call.kind == callPropose {
				batch = append(batch, ev.call)
				continue
			}
			gp.propose(now, batch)
			batch = batch[:0]
			gp.handleCall(now, ev.call)
		}
	}
	gp.propose(gp.now(), batch)
	return true
}

func (gp *Group) handleCall(now time.Time, cl *call) {
	switch cl.kind {
	case callChange:
		gp.handleChange(now, cl)
	case callRead:
		gp.failExcessReads()
		gp.lastReadID++
		gp.pendingReads[gp.lastReadID] = cl
		gp.core.Read(now, gp.lastReadID)
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
		// Another leader may have been elected: a refusal now is better than an unknown outcome later.
		gp.refuseCalls(batch, "the leader has no lease")
		return
	}
	claimed := batch[:0]
	commands := make([][]byte, 0, len(batch))
	for _, cl := range batch {
		if cl.claim() {
			claimed = append(claimed, cl)
			commands = append(commands, cl.command)
		}
	}
	index, ok := gp.core.Propose(now, commands...)
	if !ok {
		gp.refuseCalls(claimed, "this member is not the leader")
		return
	}
	for ix, cl := range claimed {
		gp.addPending(index+uint64(ix), cl)
	}
	gp.meters.proposals.Add(len(claimed))
}

func (gp *Group) refuseCalls(calls []*call, detail string) {
	for _, cl := range calls {
		cl.finish(result{err: gp.noLeader(detail)})
	}
}

func (gp *Group) handleChange(now time.Time, cl *call) {
	if !cl.claim() {
		return
	}
	if gp.core.Role() != RoleLeader {
		cl.finish(result{err: gp.noLeader("this member is not the leader")})
		return
	}
	index, err := gp.core.Change(now, cl.change)
	if err != nil {
		cl.finish(result{err: err})
		return
	}
	gp.addPending(index, cl)
}

func (gp *Group) addPending(index uint64, cl *call) {
	cl.term = gp.core.Term()
	gp.pending[index] = cl
}

func (gp *Group) noLeader(detail string) error {
	mb, _ := gp.core.Leader()
	if mb.ID() == gp.self.ID() {
		mb = Member{}
	}
	return &ErrNoLeader{Group: gp.name, Leader: mb, Detail: detail}
}

// failExcessReads fails all pending reads once there are too many, as their callers may have given up.
func (gp *Group) failExcessReads() {
	const bound = 4096
	if len(gp.pendingReads) > bound {
		for id, cl := range gp.pendingReads {
			cl.finish(result{err: gp.noLeader("too many pending reads")})
			delete(gp.pendingReads, id)
		}
	}
}

// failPending ends the pending calls with an error and closes the journal.
func (gp *Group) failPending() {
	gp.lease.Store(&Lease{Epoch: gp.core.Term()})
	gp.leader.Store(nil)
	for _, cl := range gp.pending {
		cl.finish(result{err: &ErrUnknownOutcome{Group: gp.name, Cause: ErrStopped}})
	}
	for _, cl := range gp.pendingReads {
		cl.finish(result{err: &ErrNoLeader{Group: gp.name, Detail: ErrStopped.Error()}})
	}
	_ = gp.journal.Close() // Save has synced everything
}
