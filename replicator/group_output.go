package replicator

import (
	"slices"
	"time"
)

// processOutput saves, sends and applies the core's output, and repeats that after each snapshot it has made.
func (gp *Group) processOutput(now time.Time) error {
	for {
		out := gp.core.TakeOutput()
		if err := gp.save(out.Batch); err != nil {
			return err
		}
		gp.publish(now)
		gp.host.send(gp.name, out.Messages)
		if err := gp.restore(out.Restore); err != nil {
			return err
		}
		gp.apply(out.Committed)
		gp.completeReads(out.Reads)
		if !gp.compact() {
			return nil
		}
	}
}

func (gp *Group) save(bt Batch) error {
	if bt.Empty() {
		return nil
	}
	began := time.Now()
	err := gp.journal.Save(bt)
	gp.meters.save.UpdateDuration(began)
	return err
}

func (gp *Group) restore(sn *Snapshot) error {
	if sn == nil {
		return nil
	}
	if err := gp.stateMachine.Restore(sn.Data); err != nil {
		return err
	}
	gp.host.lg.Log(eventSnapshotRestored, "group", gp.name, "index", sn.Index)
	gp.appliedIndex, gp.snapshotIndex, gp.snapshotSize, gp.bytesSinceSnapshot = sn.Index, sn.Index, len(sn.Data), 0
	for index, cl := range gp.pending {
		if index <= sn.Index {
			cl.finish(result{err: &ErrUnknownOutcome{Group: gp.name, Cause: errCoveredBySnapshot}})
			delete(gp.pending, index)
		}
	}
	return nil
}

func (gp *Group) apply(ens []Entry) {
	for _, en := range ens {
		var answer []byte
		switch en.Kind {
		case KindCommand:
			answer = gp.stateMachine.Apply(en)
		case KindConfiguration:
			voters, learners := en.Configuration.ids()
			gp.host.lg.Log(eventConfiguration, "group", gp.name, "index", en.Index, "voters", voters, "learners", learners)
		}
		gp.appliedIndex = en.Index
		gp.bytesSinceSnapshot += en.size()
		gp.completeProposal(en, answer)
	}
	gp.unappliedReads = slices.DeleteFunc(gp.unappliedReads, func(cl *call) bool {
		if cl.index > gp.appliedIndex {
			return false
		}
		cl.finish(result{})
		return true
	})
}

// completeProposal completes the call that proposed an entry, if it was proposed at this member.
func (gp *Group) completeProposal(en Entry, answer []byte) {
	cl, ok := gp.pending[en.Index]
	if !ok {
		return
	}
	delete(gp.pending, en.Index)
	if cl.term != en.Term {
		cl.finish(result{err: gp.noLeader("entry overwritten by another leader")})
		return
	}
	cl.finish(result{answer: answer})
}

func (gp *Group) completeReads(reads []ReadDone) {
	for _, rd := range reads {
		cl, ok := gp.pendingReads[rd.ID]
		if !ok {
			continue
		}
		delete(gp.pendingReads, rd.ID)
		switch {
		case !rd.OK:
			cl.finish(result{err: gp.noLeader("no known leader")})
		case rd.Index <= gp.appliedIndex:
			cl.finish(result{})
		default:
			cl.index = rd.Index
			gp.unappliedReads = append(gp.unappliedReads, cl)
		}
	}
}

// compact replaces the applied entries by a snapshot if there are enough of them and they have at least as many bytes
// as the last snapshot, so that the amortized cost per entry doesn't grow with the size of the state machine.
// It reports whether it made one.
func (gp *Group) compact() bool {
	many := gp.appliedIndex >= gp.snapshotIndex+gp.snapshotEvery || gp.bytesSinceSnapshot >= snapshotEveryBytes
	if !many || gp.bytesSinceSnapshot < gp.snapshotSize {
		return false
	}
	data := gp.stateMachine.Snapshot()
	gp.core.Compact(gp.appliedIndex, data)
	gp.snapshotIndex, gp.snapshotSize, gp.bytesSinceSnapshot = gp.appliedIndex, len(data), 0
	return true
}

// publish makes a change of the lease or the leader visible to readers. It must precede the sending of messages that result from it.
func (gp *Group) publish(now time.Time) {
	ls := gp.core.Lease(now)
	old := gp.lease.Load()
	if old == nil || *old != ls {
		gp.lease.Store(&ls)
	}
	if old != nil && old.Held != ls.Held {
		gp.logLease(ls)
	}
	mb, ok := gp.core.Leader()
	seen := gp.leader.Load()
	switch {
	case !ok && seen != nil:
		gp.leader.Store(nil)
	case ok && (seen == nil || *seen != mb):
		gp.leader.Store(&mb)
		gp.meters.leaders.Inc()
	}
	if gp.core.Role() == RoleRemoved && gp.removed.CompareAndSwap(false, true) {
		gp.host.lg.Log(eventRemoved, "group", gp.name, "member", gp.self.ID())
	}
}

func (gp *Group) logLease(ls Lease) {
	if ls.Held {
		gp.host.lg.Log(eventLeaseTaken, "group", gp.name, "epoch", ls.Epoch)
		return
	}
	gp.host.lg.Log(eventLeaseLost, "group", gp.name, "epoch", ls.Epoch)
}
