package limiter

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

func (kp *keeper) handleTake(ev *takeEvent) {
	kp.lm.ms.takesServed.Inc()
	ld := kp.ledShard(ev.shard)
	if ld == nil {
		ev.fail(errNotLeader)
		return
	}
	now := time.Now()
	for _, st := range ev.settlements {
		ld.bucket.Settle(now, st)
	}
	ev.unanswered = len(ev.requests)
	for _, req := range ev.requests {
		ld.takes[grantKey{req.Node, req.ID}] = ev
	}
	for _, req := range ev.requests {
		ld.bucket.Take(now, req)
	}
	ev.finish(ld.bucket.Epoch())
	kp.applyEffects(ld)
}

func (kp *keeper) handleTransfer(ev *transferEvent) {
	kp.lm.ms.transfersServed.Inc()
	ld := kp.ledShard(ev.shard)
	if ld == nil {
		ev.done <- transferResult{err: errNotLeader}
		return
	}
	now := time.Now()
	for _, st := range ev.settlements {
		ld.bucket.SettleTransfer(now, st)
	}
	rs := transferResult{epoch: ld.bucket.Epoch()}
	for _, req := range ev.requests {
		tf := ld.bucket.Transfer(now, req)
		kp.lm.ms.tokensGiven.Add(float64(tf.Amount) / float64(One))
		rs.transfers = append(rs.transfers, tf)
	}
	ev.done <- rs
	kp.applyEffects(ld)
}

func (kp *keeper) handleTransferReply(ev *transferReplyEvent) {
	ld := kp.ledShard(ev.shard)
	if ld == nil || ld.bucket.Epoch() != ev.epoch {
		return
	}
	now := time.Now()
	answered := make(map[uint64]bool, len(ev.transfers))
	for _, tf := range ev.transfers {
		answered[tf.ID] = true
		kp.lm.ms.tokensReceived.Add(float64(tf.Amount) / float64(One))
		ld.bucket.Received(now, ev.from, tf)
	}
	for _, req := range ev.requests {
		if !answered[req.ID] {
			ld.bucket.TransferFailed(now, ev.from, req.Key, req.ID)
		}
	}
	kp.applyEffects(ld)
}

// applyEffects carries out the bucket's effects; messages to other domains are collected for flush.
func (kp *keeper) applyEffects(ld *ledShard) {
	for _, ef := range ld.bucket.Effects() {
		switch ef := ef.(type) {
		case GrantEffect:
			kp.answerTake(ld, ef.Grant)
		case TransferEffect:
			ld.requests[ef.To] = append(ld.requests[ef.To], ef.Request)
		case SettleEffect:
			ld.settlements[ef.To] = append(ld.settlements[ef.To], ef.Settlement)
		}
	}
}

func (kp *keeper) answerTake(ld *ledShard, gr Grant) {
	key := grantKey{gr.Node, gr.ID}
	ev := ld.takes[key]
	delete(ld.takes, key)
	if ev == nil {
		return
	}
	ev.grants = append(ev.grants, gr)
	ev.unanswered--
	ev.finish(ld.bucket.Epoch())
}

// finish answers the message once all of its requests are answered.
func (ev *takeEvent) finish(epoch uint64) {
	if ev.unanswered == 0 {
		ev.reply(takeResult{epoch: epoch, grants: ev.grants})
	}
}

func (ev *takeEvent) fail(err error) { ev.reply(takeResult{err: err}) }

// reply answers the message; further calls do nothing.
func (ev *takeEvent) reply(rs takeResult) {
	if !ev.answered {
		ev.answered = true
		ev.done <- rs
	}
}

// flush sends the collected transfer requests, each with the settlements for the same domain;
// with all set, it also sends the settlements for other domains.
func (kp *keeper) flush(ld *ledShard, all bool) {
	for dm, requests := range ld.requests {
		kp.sendTo(ld, dm, requests)
	}
	if !all {
		return
	}
	for dm := range ld.settlements {
		kp.sendTo(ld, dm, nil)
	}
}

func (kp *keeper) sendTo(ld *ledShard, dm gypsumhoist.FailureDomain, requests []TransferRequest) {
	tc := &transferCall{
		kp: kp, shard: ld.shard, epoch: ld.bucket.Epoch(), to: dm, requests: requests, settlements: ld.settlements[dm],
	}
	delete(ld.requests, dm)
	delete(ld.settlements, dm)
	kp.lm.tb.Go(tc.run)
}
