package limiter

import "time"

// applyTable puts a new table into force.
func (kp *keeper) applyTable() {
	kp.tableMu.Lock()
	tb := kp.table
	kp.table = nil
	kp.tableMu.Unlock()
	if tb == nil {
		return
	}
	kp.openNewShards(tb)
	if !kp.plan.SetTable(*tb) {
		return
	}
	kp.domains = tb.Domains
	if tb.AsOf.After(kp.asOf) {
		kp.asOf = tb.AsOf
	}
	kp.updateRows(tb)
	for _, ld := range kp.led {
		kp.setShares(ld)
	}
}

// openNewShards creates the buckets of shards that get their first row with this table.
// They are created under the table before it, so that they can tell that the row is new.
func (kp *keeper) openNewShards(tb *Table) {
	if kp.lm.dir == nil {
		return
	}
	for _, en := range tb.Rows {
		shard := kp.lm.dir.ShardOf(KeyOf(en.Row).ShardKey())
		if !kp.shards[shard] {
			kp.shards[shard] = true
			kp.ledShard(shard)
		}
	}
}

// updateRows sets the shares of the node's rows.
func (kp *keeper) updateRows(tb *Table) {
	entries := make(map[RowKey]Entry, len(tb.Rows))
	keys := make([]RowKey, 0, len(tb.Rows))
	for _, en := range tb.Rows {
		rk := KeyOf(en.Row)
		entries[rk] = en
		keys = append(keys, rk)
	}
	kp.lm.addRows(keys)
	kp.lm.removeRows(entries)
	now := time.Now()
	for rk, rl := range *kp.lm.rows.Load() {
		sh := kp.plan.Share(rk)
		var rate, burst Amount
		if en, ok := entries[rk]; ok {
			rate, burst = standbyShare(en, kp.lm.nodeCount.Load())
		}
		rl.mu.Lock()
		rl.bucket.SetShare(sh)
		rl.bucket.SetStandby(now, rate, burst)
		rl.mu.Unlock()
	}
}

// setShares sets the shares of a bucket's rows.
func (kp *keeper) setShares(ld *ledShard) {
	ld.bucket.SetDomains(kp.domains)
	now := time.Now()
	for _, rk := range kp.plan.Keys() {
		if kp.lm.dir.ShardOf(rk.ShardKey()) == ld.shard {
			ld.bucket.SetShare(now, rk, kp.plan.Share(rk), kp.plan.IsNew(rk))
		}
	}
	ld.bucket.RevokeShares(now, kp.plan.Has)
	ld.bucket.SetComplete(kp.asOf)
	kp.applyEffects(ld)
}
