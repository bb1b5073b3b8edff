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
	snapshotBytes        = 8 << 20               // bytes of applied entries that a snapshot replaces at the latest
	statusRetry          = 10 * time.Millisecond // while the ring is full
	drainBound           = 1024                  // events taken in before their effects are saved and sent
)

// Group is one member of one replicated group. Its goroutine owns core, journal and machine.
// All its methods are safe for concurrent use.
type Group struct {
	host          *Host
	name          string
	self          Member
	first         []Member
	journal       Journal
	machine       Machine
	timings       Timings
	snapshotEvery uint64
	seed          uint64

	tb     tomb.Tomb
	ring   *ringer.Ring[event]
	core   *Core
	meters meters

	applied  uint64
	snapshot uint64 // index of the newest snapshot
	size     int    // bytes of that snapshot's data
	since    int    // bytes of entries applied behind it
	waiting  map[uint64]*call
	reading  map[uint64]*call
	nextRead uint64
	behind   []*call // reads whose index is not applied yet

	lease   atomic.Pointer[Lease]
	leader  atomic.Pointer[Member]
	removed atomic.Bool
}

// start loads the journal and begins to run.
func (gp *Group) start() error {
	sd, err := gp.load()
	if err != nil {
		return errors.Join(err, gp.journal.Close())
	}
	gp.applied, gp.snapshot, gp.size = sd.Snapshot.Index, sd.Snapshot.Index, len(sd.Snapshot.Data)
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
	if sd.Empty() && len(gp.first) > 0 {
		sn := FirstSnapshot(gp.first, gp.machine.Snapshot())
		sd = Stored{State: State{Term: sn.Term}, Snapshot: sn}
		return sd, gp.journal.Save(Batch{State: &sd.State, Snapshot: &sn})
	}
	if sd.Snapshot.Index > 0 {
		err = gp.machine.Restore(sd.Snapshot.Data)
	}
	return sd, err
}

// Name returns the group's name.
func (gp *Group) Name() string { return gp.name }

// Self returns this member.
func (gp *Group) Self() Member { return gp.self }

// Propose replicates a command and returns the answer that the machine gave for it.
// At a follower it is handed to the leader once; a leader without a lease refuses it. Its error is an *ErrNoLeader when the command was
// surely not accepted and never will be, and an *ErrUnknownOutcome when it may have been.
func (gp *Group) Propose(ctx context.Context, command []byte) ([]byte, error) {
	return gp.ask(ctx, &call{kind: callPropose, command: command})
}

// Add makes a member a non-voter. Errors are those of Propose and *ErrChange.
func (gp *Group) Add(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangeAdd, Member: mb})
}

// Promote makes a non-voter that has caught up a voter. Errors are those of Propose and *ErrChange.
func (gp *Group) Promote(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangePromote, Member: mb})
}

// Remove takes a member's seat for good. Errors are those of Propose and *ErrChange.
func (gp *Group) Remove(ctx context.Context, mb Member) error {
	return gp.change(ctx, Change{Kind: ChangeRemove, Member: mb})
}

func (gp *Group) change(ctx context.Context, ch Change) error {
	_, err := gp.ask(ctx, &call{kind: callChange, change: ch})
	return err
}

// Barrier returns once this member has applied all that was committed anywhere before the call,
// so that a read of its machine is linearizable. Its error is an *ErrNoLeader or the context's.
func (gp *Group) Barrier(ctx context.Context) error {
	for {
		once, cancel := context.WithTimeout(ctx, gp.timings.ElectionMin)
		_, err := gp.local(once, &call{kind: callRead})
		cancel()
		if err == nil || ctx.Err() != nil || !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
	}
}

// Lease returns whether this member is the only one that may act as the group's leader, under which
// epoch, and since when. The epoch grows with each new holder. It takes no lock.
func (gp *Group) Lease() (epoch uint64, since time.Time, held bool) {
	ls := gp.lease.Load()
	return ls.Epoch, ls.Since, ls.Held && clocker.Now().Before(ls.Until)
}

// Leader returns the member that this one takes as leader; the second result is false for none.
func (gp *Group) Leader() (Member, bool) {
	mb := gp.leader.Load()
	if mb == nil {
		return Member{}, false
	}
	return *mb, true
}

// Members returns the newest configuration that this member knows, committed or not.
func (gp *Group) Members() Seats { return gp.Status().Seats }

// Removed reports whether this member's seat was taken away.
func (gp *Group) Removed() bool { return gp.removed.Load() }

// Status returns the member's state; that of a stopped group is its last.
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

// Stop hands leadership over when there is somebody to take it, ends the member and closes its journal.
// It blocks for up to ElectionMin.
func (gp *Group) Stop() {
	gp.tb.Kill(nil)
	_ = gp.tb.Wait() // a failure was logged when it happened
	gp.host.forget(gp)
}

// Dead returns a channel that closes when the group has stopped, also by itself after its journal failed.
func (gp *Group) Dead() <-chan struct{} { return gp.tb.Dead() }

// ask tries the call here and, when another member leads, there.
func (gp *Group) ask(ctx context.Context, cl *call) ([]byte, error) {
	out, err := gp.local(ctx, cl)
	var nl *ErrNoLeader
	if !errors.As(err, &nl) || nl.Leader == (Member{}) || nl.Leader.ID() == gp.self.ID() {
		return out, err
	}
	return gp.host.forward(ctx, nl.Leader.Peer, gp.name, cl)
}

// submit hands a call to the goroutine; false means that the ring is full or the group is stopped.
func (gp *Group) submit(cl *call) bool {
	cl.done = make(chan result, 1)
	return gp.tb.Alive() && gp.ring.Push(callIn{cl})
}

// local makes a call at this member and waits for its result.
func (gp *Group) local(ctx context.Context, cl *call) ([]byte, error) {
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
