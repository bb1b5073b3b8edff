package replicator

import (
	"context"
	"errors"
	"time"
)

const replaceRetry = 50 * time.Millisecond

// Replace replaces one member by another: it adds the new one, promotes it once it has caught up,
// and only then removes the old one. Steps that are already done are skipped, so that it may be
// called again after an error. It retries until the context ends and then returns the context's error.
func (gp *Group) Replace(ctx context.Context, old, next Member) error {
	for {
		ch, ok := nextReplaceStep(gp.Members(), old, next)
		if !ok {
			return nil
		}
		err := gp.change(ctx, ch)
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

// nextReplaceStep returns the next change; false means that all are done.
func nextReplaceStep(cf Configuration, old, next Member) (Change, bool) {
	mp, ok := cf.Find(next.ID())
	switch {
	case !ok:
		return Change{Kind: ChangeAdd, Member: next}, true
	case !mp.Voter:
		return Change{Kind: ChangePromote, Member: next}, true
	case cf.index(old.ID()) >= 0:
		return Change{Kind: ChangeRemove, Member: old}, true
	default:
		return Change{}, false
	}
}
