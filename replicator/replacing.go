package replicator

import (
	"context"
	"errors"
	"slices"
	"time"
)

const replaceRetry = 50 * time.Millisecond

// Replace replaces a member that is gone by another one. At no time do both vote: a vote that nobody casts any more counts against the majority.
// An earlier identity of the same instance has lost its state, so that it is removed at once; any other member is removed once the new one
// has caught up, which only the leader knows, and is then promoted. Steps that are already done are skipped, so that Replace may be
// called again after an error. It retries until the context ends and then returns the context's error.
func (gp *Group) Replace(ctx context.Context, old, next Member) error {
	for {
		ch, done := nextReplaceStep(gp.Status(), old, next)
		if done {
			return nil
		}
		var err error
		if ch != (Change{}) {
			err = gp.change(ctx, ch)
		}
		var unknown *ErrUnknownOutcome
		var refused *ErrChange
		var noLeader *ErrNoLeader
		if err != nil && !errors.As(err, &unknown) && !errors.As(err, &refused) && !errors.As(err, &noLeader) {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-time.After(replaceRetry):
		}
	}
}

// nextReplaceStep returns the next change, or the zero value while the new member catches up; done means that all are made.
func nextReplaceStep(su Status, old, next Member) (ch Change, done bool) {
	cf := su.Configuration
	mp, isMember := cf.Find(next.ID())
	hasOld := cf.index(old.ID()) >= 0
	switch {
	case hasOld && (old.Instance == next.Instance || mp.Voter || su.caughtUp(next.ID())):
		return Change{Kind: ChangeRemove, Member: old}, false
	case !isMember:
		return Change{Kind: ChangeAdd, Member: next}, false
	case hasOld:
		return Change{}, false
	case !mp.Voter:
		return Change{Kind: ChangePromote, Member: next}, false
	default:
		return Change{}, true
	}
}

// caughtUp reports whether the leader has found that a member holds all committed entries.
func (su Status) caughtUp(id MemberID) bool {
	return slices.ContainsFunc(su.Peers, func(ps PeerStatus) bool { return ps.Member.ID() == id && ps.CaughtUp })
}
