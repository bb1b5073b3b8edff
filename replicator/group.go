package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist/clocker"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

const (
	groupRingSize        = 8192                  // events
	defaultSnapshotEvery = 1024                  // entries
	snapshotEveryBytes   = 8 << 20               // bytes of applied entries after which a snapshot is due in any case
	statusRetry          = 10 * time.Millisecond // wait while the ring is full
	maxDrainEvents       = 1024                  // events processed before their effects are saved and sent
)

// Group is this process's member of a replicated group. Its goroutine owns the Core, the journal and the state machine.
// All its methods are safe for concurrent use.
type Group struct {
	host           *Host
	name           string
	self           Member
	initialMembers []Member
	journal        Journal
	stateMachine   StateMachine
	timings        Timings
	snapshotEvery  uint64
	seed           uint64
	now            func() time.Time // the clock of the group's goroutine

	tb     tomb.Tomb
	ring   *ringer.Ring[event]
	core   *Core
	meters groupMetrics

	appliedIndex       uint64
	snapshotIndex      uint64 // index of the newest snapshot
	snapshotSize       int    // bytes of that snapshot's data
	bytesSinceSnapshot int    // bytes of entries applied after that snapshot
	pending            map[uint64]*call
	pendingReads       map[uint64]*call
	lastReadID         uint64
	unappliedReads     []*call // reads whose index is not applied yet

	lease   atomic.Pointer[Lease]
	leader  atomic.Pointer[Member]
	removed atomic.Bool
}

// start loads the journal and starts the group's goroutine.
func (gp *Group) start() error {
	sd, err := gp.load()
	if err != nil {
		return errors.Join(err, gp.journal.Close())
	}
	gp.appliedIndex, gp.snapshotIndex, gp.snapshotSize = sd.Snapshot.Index, sd.Snapshot.Index, len(sd.Snapshot.Data)
	rnd := rand.New(rand.NewPCG(gp.seed, gp.seed))
	gp.core = NewCore(gp.self, gp.timings, sd, clocker.Now(), rnd)
	gp.publish(clocker.Now())
	gp.tb.Go(gp.run)
	return nil
}

func (gp *Group) load() (Stored, error) {
	sd, err := gp.journal.Load()
	if err != nil {
		return Stored{}, err
	}
	if sd.Empty() && len(gp.initialMembers) > 0 {
		sn := InitialSnapshot(gp.initialMembers, gp.stateMachine.Snapshot())
		sd = Stored{State: State{Term: sn.Term}, Snapshot: sn}
		return sd, gp.journal.Save(Batch{State: &sd.State, Snapshot: &sn})
	}
	if sd.Snapshot.Index > 0 {
		err = gp.stateMachine.Restore(sd.Snapshot.Data)
	}
	return sd, err
}

// Name returns the group's name.
func (gp *Group) Name() string { return gp.name }

// Self returns this member.
func (gp *Group) Self() Member { return gp.self }

// Propose replicates a command and returns the state machine's result for it.
// A follower forwards it to the leader, once; a leader without a lease refuses it. The error is an *ErrNoLeader if the
// command definitely was not accepted and never will be, and an *ErrUnknownOutcome if it may have been accepted.
func (gp *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return gp.callLeader(ctx, &call{kind: callPropose, command: command})
}

// Add adds a member as a learner. Errors are those of Propose and *ErrChange.
func (gp *Group) Add(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangeAdd, Member: mb})
}

// Promote makes a learner that has caught up a voter. Errors are those of Propose and *ErrChange.
func (gp *Group) Promote(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangePromote, Member: mb})
}

// Demote makes a voter other than the leader a learner, which may be promoted again. Errors are those of Propose and *ErrChange.
func (gp *Group) Demote(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangeDemote, Member: mb})
}

// Remove removes a member for good. Errors are those of Propose and *ErrChange.
func (gp *Group) Remove(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangeRemove, Member: mb})
}

func (gp *Group) change(ctx context.Context, ch Change) error {
	_, err := gp.callLeader(ctx, &call{kind: callChange, change: ch})
	return err
}

// Barrier returns once this member has applied everything that any member had committed before the call,
// so that a subsequent read of its state machine is linearizable. The error is an *ErrNoLeader or the context's.
func (gp *Group) Barrier(ctx context.Context) error {
	for {
		once, cancel := context.WithTimeout(ctx, gp.timings.ElectionMin)
		_, err := gp.callLocal(once, &call{kind: callRead})
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

// Lease returns whether this member is the only one that may act as the group's leader, in which
// epoch, and since when. The epoch increases with each new holder. Lease takes no lock.
func (gp *Group) Lease() (epoch uint64, since time.Time, held bool) {
	ls := gp.lease.Load()
	return ls.Epoch, ls.Since, ls.Held && clocker.Now().Before(ls.Until)
}

// Leader returns the leader that this member knows; the second result is false when it knows none.
func (gp *Group) Leader() (Member, bool) {
	mb := gp.leader.Load()
	if mb == nil {
		return Member{}, false
	}
	return *mb, true
}

// Members returns the newest configuration that this member knows, committed or not.
func (gp *Group) Members() Configuration { return gp.Status().Configuration }

// Removed reports whether this member was removed from the group.
func (gp *Group) Removed() bool { return gp.removed.Load() }

// Status returns the member's status; after the group has stopped it is the last one.
func (gp *Group) Status() Status {
	cl := &call{kind: callStatus}
	for !gp.submit(cl) {
		select {
		case <-gp.tb.Dead():
			return gp.core.Status(clocker.Now())
		case <-time.After(statusRetry):
		}
	}
	select {
	case rs := <-cl.done:
		return rs.status
	case <-gp.tb.Dead():
		return gp.core.Status(clocker.Now())
	}
}

// Stop transfers leadership if another voter can take it, stops the member and closes its journal.
// It blocks for up to ElectionMin.
func (gp *Group) Stop() {
	gp.tb.Kill(nil)
	_ = gp.tb.Wait() // run has logged any failure
	gp.host.removeGroup(gp)
}

// Dead returns a channel that is closed when the group has stopped, also if it stopped itself after its journal failed.
func (gp *Group) Dead() <-chan struct{} { return gp.tb.Dead() }

// callLeader makes the call at this member and, if another member is the leader, at that one.
func (gp *Group) callLeader(ctx context.Context, cl *call) ([]byte, error) {
	out, err := gp.callLocal(ctx, cl)
	var nl *ErrNoLeader
	if !errors.As(err, &nl) || nl.Leader == (Member{}) || nl.Leader.ID() == gp.self.ID() {
		return out, err
	}
	return gp.host.forward(ctx, nl.Leader.Peer, gp.name, cl)
}

// submit queues a call for the group's goroutine; false means that the ring is full or the group has stopped.
func (gp *Group) submit(cl *call) bool {
	cl.done = make(chan result, 1)
	return gp.tb.Alive() && gp.ring.Push(callEvent{cl})
}

// callLocal makes a call at this member and waits for its result.
func (gp *Group) callLocal(ctx context.Context, cl *call) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, &ErrNoLeader{Group: gp.name, Detail: err.Error()}
	}
	if !gp.submit(cl) {
		return nil, &ErrNoLeader{Group: gp.name, Detail: "group stopped or overloaded"}
	}
	select {
	case rs := <-cl.done:
		return rs.answer, rs.err
	case <-ctx.Done():
		return nil, cl.abandon(gp.name, ctx.Err())
	case <-gp.tb.Dead():
		select {
		case rs := <-cl.done:
			return rs.answer, rs.err
		default:
			return nil, cl.abandon(gp.name, ErrStopped)
		}
	}
}
