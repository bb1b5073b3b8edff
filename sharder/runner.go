package sharder

import (
	"context"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist/replicator"
)

// groupRunner owns one open group and, while it leads the group, repairs its membership.
type groupRunner struct {
	sharder    *Sharder
	key        Key
	generation uint64
	group      *replicator.Group
	tb         tomb.Tomb
}

// run repairs the group until it is closed or this member is removed.
func (gr *groupRunner) run() error {
	ticker := time.NewTicker(gr.sharder.repairInterval)
	defer ticker.Stop()
	defer gr.close()
	for {
		select {
		case <-gr.tb.Dying():
			return nil
		case <-gr.group.Dead():
			return nil
		case <-ticker.C:
			if gr.group.Removed() {
				return nil
			}
			gr.repair()
		}
	}
}

func (gr *groupRunner) close() {
	gr.group.Stop()
	sh := gr.sharder
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.runners, gr.key)
	sh.lg.Log(eventClosed, "group", gr.group.Name(), "seat", gr.group.Self().ID())
}

// closeIfNotMember closes the group if its leader removed this member before the entry that added it arrived here,
// and has now added it under a new identity. A member that the local copy of the configuration contains never closes.
func (gr *groupRunner) closeIfNotMember() {
	if !gr.isMember() {
		gr.tb.Kill(nil)
	}
}

// isMember reports whether the local copy of the configuration contains this member. If it does not, the member
// was never promoted: it would have received the entry that added it first.
func (gr *groupRunner) isMember() bool {
	_, ok := gr.group.Members().Find(gr.group.Self().ID())
	return ok
}

// repair makes the next membership change that the group needs, if this process leads it.
func (gr *groupRunner) repair() {
	if _, _, held := gr.group.Lease(); !held {
		return
	}
	sh := gr.sharder
	rp := Repair{
		Key: gr.key, Status: gr.group.Status(), Candidates: *sh.candidates.Load(), UnresponsiveAfter: sh.unresponsiveAfter,
	}
	ch, ok := rp.Next(time.Now())
	if !ok || !rp.Status.Lease.Held {
		return
	}
	ctx, cancel := context.WithTimeout(gr.tb.Context(context.Background()), changeTimeout)
	defer cancel()
	if err := gr.change(ctx, ch); err != nil {
		sh.lg.Log(eventChangeFailed, "group", gr.group.Name(), "change", ch.Kind, "seat", ch.Member.ID(), "error", err)
		return
	}
	sh.lg.Log(eventChanged, "group", gr.group.Name(), "change", ch.Kind, "seat", ch.Member.ID())
	sh.metrics.GetOrCreateCounter(`gypsumhoist_sharder_changes_total{kind="` + string(ch.Kind) + `"}`).Inc()
}

func (gr *groupRunner) change(ctx context.Context, ch replicator.Change) error {
	switch ch.Kind {
	case replicator.ChangeAdd:
		return gr.group.Add(ctx, ch.Member)
	case replicator.ChangePromote:
		return gr.group.Promote(ctx, ch.Member)
	default:
		return gr.group.Remove(ctx, ch.Member)
	}
}

// report describes a group that this process leads; false means that it does not lead the group, or that
// a membership change is not committed yet.
func (gr *groupRunner) report() (Report, bool) {
	epoch, _, held := gr.group.Lease()
	if !held {
		return Report{}, false
	}
	su := gr.group.Status()
	if su.ConfigurationIndex > su.Commit {
		return Report{}, false // an uncommitted configuration may yet be lost
	}
	re := Report{
		Key: gr.key, Generation: gr.generation, Epoch: epoch, ConfigurationIndex: su.ConfigurationIndex,
		Leader: gr.group.Self(), ReceivedAt: time.Now(),
	}
	for _, ms := range su.Configuration {
		if ms.Voter {
			re.Voters = append(re.Voters, ms.Member)
		}
	}
	return re, true
}
