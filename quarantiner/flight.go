package quarantiner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Flight is one request that this node has let run at its upstream. It is safe for concurrent use.
type Flight struct {
	quarantiner *Quarantiner
	id          FlightID
	once        sync.Once
}

// End removes the request from those in flight. Calls after the first do nothing.
func (fl *Flight) End(end End) {
	fl.once.Do(func() {
		qr := fl.quarantiner
		qr.mu.Lock()
		qr.core.End(qr.now(), fl.id, end)
		qr.unlockAndApply(nil)
	})
}

// Begin lets a request run at the upstream, or refuses it. prefix holds the first bytes of its
// body, as many as NeedsBody returned. A suspect waits up to a second for this node's suspect
// slot and for its permit. The error is a *gypsumhoist.Refusal with VerdictNotRun.
// The caller must call End on each flight. It calls Begin before the request takes a slot of the upstream.
func (qr *Quarantiner) Begin(ctx context.Context, fp *Fingerprint, prefix []byte) (*Flight, error) {
	qr.mu.Lock()
	status, until := qr.core.Check(qr.now(), fp.Head(), prefix)
	if status == StatusClear {
		id := qr.core.Begin(qr.now(), fp, prefix, Permit{})
		qr.mu.Unlock()
		return &Flight{quarantiner: qr, id: id}, nil
	}
	left := until - qr.now()
	qr.mu.Unlock()
	if status == StatusQuarantined {
		return nil, qr.refuse(left, "the request was in flight when two upstreams died")
	}
	bounded, cancel := context.WithTimeout(ctx, suspectWait)
	defer cancel()
	return qr.beginSuspect(bounded, fp, prefix)
}

// beginSuspect waits for the node's suspect slot and a permit.
func (qr *Quarantiner) beginSuspect(ctx context.Context, fp *Fingerprint, prefix []byte) (*Flight, error) {
	for {
		taken, err := qr.waitForSuspectSlot(ctx, fp, prefix)
		if err != nil {
			return nil, err
		}
		if !taken {
			return qr.Begin(ctx, fp, prefix)
		}
		pm, outcome := qr.requestPermit(ctx, fp, prefix)
		if outcome == PermitGranted {
			return qr.beginPermitted(fp, prefix, pm)
		}
		qr.freeSuspectSlot()
		if !sleep(ctx, permitRetryInterval) {
			return nil, qr.refuse(retryAfter, "the request is a suspect and got no permit to run in time")
		}
	}
}

// waitForSuspectSlot waits until no other suspect runs at this node and takes the suspect slot.
// It returns false if the request has been cleared or quarantined meanwhile, so that it needs no slot.
func (qr *Quarantiner) waitForSuspectSlot(ctx context.Context, fp *Fingerprint, prefix []byte) (bool, error) {
	for {
		qr.mu.Lock()
		if status, _ := qr.core.Check(qr.now(), fp.Head(), prefix); status != StatusSuspect {
			qr.mu.Unlock()
			return false, nil
		}
		if qr.core.TakeSuspectSlot() {
			qr.mu.Unlock()
			return true, nil
		}
		if qr.waiting >= suspectQueueMax {
			qr.mu.Unlock()
			return false, qr.refuse(retryAfter, "too many suspects wait for their turn")
		}
		qr.waiting++
		freed := qr.slotFreed
		qr.mu.Unlock()
		timedOut := false
		select {
		case <-freed:
		case <-ctx.Done():
			timedOut = true
		}
		qr.mu.Lock()
		qr.waiting--
		qr.mu.Unlock()
		if timedOut {
			return false, qr.refuse(retryAfter, "the request is a suspect and its turn did not come in time")
		}
	}
}

func (qr *Quarantiner) freeSuspectSlot() {
	qr.mu.Lock()
	qr.core.FreeSuspectSlot()
	qr.unlockAndApply(nil)
}

// beginPermitted starts a suspect that has a permit, unless the arbiter's notices have quarantined it meanwhile.
func (qr *Quarantiner) beginPermitted(fp *Fingerprint, prefix []byte, pm Permit) (*Flight, error) {
	qr.mu.Lock()
	status, until := qr.core.Check(qr.now(), fp.Head(), prefix)
	id := qr.core.Begin(qr.now(), fp, prefix, pm)
	if status != StatusQuarantined {
		qr.granted.Inc()
		qr.mu.Unlock()
		return &Flight{quarantiner: qr, id: id}, nil
	}
	left := until - qr.now()
	qr.core.End(qr.now(), id, EndNeutral)
	qr.unlockAndApply(nil)
	return nil, qr.refuse(left, "the request was in flight when two upstreams died")
}

func (qr *Quarantiner) refuse(after time.Duration, detail string) error {
	qr.refused.Inc()
	return gypsumhoist.NotRun(gypsumhoist.ReasonQuarantined, max(after, retryAfter), fmt.Sprintf("quarantine: %s", detail))
}

// sleep waits for a time and reports false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
