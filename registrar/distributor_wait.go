package registrar

import (
	"context"
	"time"
)

// InForce returns where a change is in force. Only control instances know the whole fleet.
func (ds *Distributor) InForce(cg Change) InForce {
	ds.mu.Lock()
	defer ds.mu.Unlock()
	return ds.tracker.inForce(cg, ds.holder.Current().domains(), time.Now())
}

// WaitInForce waits until every known instance has confirmed the change or refuses what it replaced or withdrew.
// If the context ends before that, it returns what is known by then.
func (ds *Distributor) WaitInForce(ctx context.Context, cg Change) InForce {
	leaseEnd := cg.Accepted.Add(CutOffLease + leaseMargin)
	settled := ds.tracker.started.Add(settleTime)
	for {
		evaluatedAt := time.Now()
		ds.mu.Lock()
		wake := ds.wake
		result := ds.tracker.inForce(cg, ds.holder.Current().domains(), evaluatedAt)
		ds.mu.Unlock()
		if result.EverywhereOrRefused {
			return result
		}
		pause(ctx, minEvaluationInterval)
		if !ds.waitForChange(ctx, wake, evaluatedAt, leaseEnd, settled) {
			return result
		}
	}
}

// waitForChange waits until wake is closed or the first of the moments after evaluatedAt has come, at most waitMax.
// It returns false when the context or the distributor ends.
func (ds *Distributor) waitForChange(ctx context.Context, wake <-chan struct{}, evaluatedAt time.Time, moments ...time.Time) bool {
	longest := waitMax
	for _, mo := range moments {
		if mo.After(evaluatedAt) {
			longest = min(longest, time.Until(mo))
		}
	}
	if longest <= 0 {
		return true
	}
	tm := time.NewTimer(longest)
	defer tm.Stop()
	select {
	case <-wake:
	case <-tm.C:
	case <-ctx.Done():
		return false
	case <-ds.tm.Dying():
		return false
	}
	return true
}
