package limiter

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/ringer"
)

// keeper holds the plan and the token buckets of the shards that this process leads.
// They are only accessed by the goroutine run; all others send it events.
type keeper struct {
	lm     *Limiter
	events *ringer.Ring[keeperEvent]

	tableMu sync.Mutex
	table   *Table // the newest table that run has not applied yet

	plan    *Plan
	domains []gypsumhoist.FailureDomain
	asOf    time.Time
	// shards are those that have a row in the table.
	shards map[int]bool
	led    map[int]*ledShard
}

// ledShard is the bucket of a shard that this process leads, with the messages that wait for its answers.
type ledShard struct {
	shard  int
	bucket *DomainBucket
	takes  map[grantKey]*takeEvent
	// requests and settlements are to be sent to other domains.
	requests    map[gypsumhoist.FailureDomain][]TransferRequest
	settlements map[gypsumhoist.FailureDomain][]TransferSettlement
}

func newKeeper(lm *Limiter) *keeper {
	return &keeper{
		lm: lm, events: ringer.New[keeperEvent](eventRingSize),
		plan: NewPlan(lm.domain), led: map[int]*ledShard{}, shards: map[int]bool{},
	}
}

func (kp *keeper) setTable(tb Table) {
	kp.tableMu.Lock()
	if kp.table == nil || tb.Revision >= kp.table.Revision {
		kp.table = &tb
	}
	kp.tableMu.Unlock()
	// If the ring is full, run applies the table when it drains the ring.
	kp.events.Push(tableEvent{})
}

// take passes a node's message to the bucket of a shard.
func (kp *keeper) take(ctx context.Context, shard int, requests []TokenRequest, settlements []Settlement) (uint64, []Grant, error) {
	ev := &takeEvent{shard: shard, requests: requests, settlements: settlements, done: make(chan takeResult, 1)}
	if !kp.events.Push(ev) {
		return 0, nil, errFull
	}
	select {
	case rs := <-ev.done:
		return rs.epoch, rs.grants, rs.err
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// transfer passes another domain's message to the bucket of a shard.
func (kp *keeper) transfer(ctx context.Context, ev *transferEvent) (uint64, []Transfer, error) {
	ev.done = make(chan transferResult, 1)
	if !kp.events.Push(ev) {
		return 0, nil, errFull
	}
	select {
	case rs := <-ev.done:
		return rs.epoch, rs.transfers, rs.err
	case <-ctx.Done():
		return 0, nil, ctx.Err()
	}
}

// run handles events until the limiter stops.
func (kp *keeper) run() error {
	wt := newWakeTimer(idleTick)
	defer wt.timer.Stop()
	for {
		select {
		case <-kp.lm.tb.Dying():
			return nil
		case <-kp.events.Ready():
			kp.drain()
		case <-wt.timer.C:
			wt.fired()
			kp.tick()
		}
		wt.fireWithin(kp.nextTick())
	}
}

// drain handles all queued events and sends the resulting requests to other domains in one batch.
func (kp *keeper) drain() {
	kp.applyTable()
	for {
		ev, ok := kp.events.Pop()
		if !ok {
			break
		}
		kp.handle(ev)
	}
	for _, ld := range kp.led {
		kp.flush(ld, false)
	}
}

func (kp *keeper) handle(ev keeperEvent) {
	switch ev := ev.(type) {
	case tableEvent:
		kp.applyTable()
	case *takeEvent:
		kp.handleTake(ev)
	case *transferEvent:
		kp.handleTransfer(ev)
	case *transferReplyEvent:
		kp.handleTransferReply(ev)
	}
}

// tick serves requests that wait and sends settlements that are still unsent.
func (kp *keeper) tick() {
	kp.applyTable()
	for shard := range kp.shards {
		ld := kp.ledShard(shard)
		if ld == nil {
			continue
		}
		ld.bucket.Tick(time.Now())
		kp.applyEffects(ld)
		kp.flush(ld, true)
	}
}

// nextTick returns the time until tick is due.
func (kp *keeper) nextTick() time.Duration {
	wait := idleTick
	for _, ld := range kp.led {
		if due, waits := ld.bucket.NextTick(); waits {
			wait = min(wait, due)
		}
		if len(ld.settlements) > 0 {
			wait = min(wait, settleDelay)
		}
	}
	return wait
}

// settleDelay is how long a settlement waits to be sent together with a transfer request.
const settleDelay = 2 * time.Millisecond

// ledShard returns the state of a shard if this process holds its lease now, else nil.
// If a lease expires and is regained under the same epoch, nobody else has held it in between;
// the bucket still counts its outstanding tokens and is used again.
func (kp *keeper) ledShard(shard int) *ledShard {
	ld := kp.led[shard]
	var epoch uint64
	var since time.Time
	held := false
	if kp.lm.dir != nil {
		epoch, since, held = kp.lm.dir.Lease(shard)
	}
	if !held {
		kp.suspend(ld)
		return nil
	}
	if ld != nil && ld.bucket.Epoch() == epoch {
		return ld
	}
	if ld != nil {
		kp.endLease(ld)
	}
	return kp.beginLease(shard, Lease{Epoch: epoch, Since: since, MinLease: kp.lm.minLease})
}

func (kp *keeper) beginLease(shard int, ls Lease) *ledShard {
	bucket := NewDomainBucket(kp.lm.domain, ls, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	ld := &ledShard{
		shard: shard, bucket: bucket, takes: map[grantKey]*takeEvent{},
		requests:    map[gypsumhoist.FailureDomain][]TransferRequest{},
		settlements: map[gypsumhoist.FailureDomain][]TransferSettlement{},
	}
	kp.led[shard] = ld
	kp.setShares(ld)
	kp.lm.ms.leasesBegun.Inc()
	kp.lm.log.Log(eventLeaseBegun, "shard", shard, "epoch", ls.Epoch)
	return ld
}

// suspend refuses the waiting messages of a shard while its lease is not held.
func (kp *keeper) suspend(ld *ledShard) {
	if ld == nil {
		return
	}
	for key, ev := range ld.takes {
		ev.fail(errNotLeader)
		delete(ld.takes, key)
	}
	clear(ld.requests)
}

// endLease drops the bucket of a shard whose lease has ended.
func (kp *keeper) endLease(ld *ledShard) {
	delete(kp.led, ld.shard)
	for _, ev := range ld.takes {
		ev.fail(errNotLeader)
	}
	kp.lm.ms.leasesEnded.Inc()
	kp.lm.log.Log(eventLeaseEnded, "shard", ld.shard, "epoch", ld.bucket.Epoch())
}
