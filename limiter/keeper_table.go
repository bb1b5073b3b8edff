package limiter

import "time"

// takeTable puts a new table into force.
func (kp *keeper) takeTable() {
	kp.tableMu.Lock()
	tb := kp.table
	kp.table = nil
	kp.tableMu.Unlock()
	if tb == nil {
		return
	}
	kp.meetShards(tb)
	if !kp.plan.SetTable(*tb) {
		return
	}
	kp.domains = tb.Domains
	if tb.AsOf.After(kp.asOf) {
		kp.asOf = tb.AsOf
	}
	kp.setDesks(tb)
	for _, ld := range kp.banks {
		kp.setShares(ld)
	}
}

// meetShards begins the banks of shards whose first row comes with a table.
// They begin under the table before it, by which they know that the row is new.
func (kp *keeper) meetShards(tb *Table) {
	if kp.lm.dir == nil {
		return
	}
	for _, en := range tb.Rows {
		shard := kp.lm.dir.ShardOf(KeyOf(en.Row).ShardKey())
		if !kp.shards[shard] {
			kp.shards[shard] = true
			kp.lead(shard)
		}
	}
}

// setDesks tells the node's rows their shares.
func (kp *keeper) setDesks(tb *Table) {
	entries := make(map[RowKey]Entry, len(tb.Rows))
	keys := make([]RowKey, 0, len(tb.Rows))
	for _, en := range tb.Rows {
		rk := KeyOf(en.Row)
		entries[rk] = en
		keys = append(keys, rk)
	}
	kp.lm.addDesks(keys)
	kp.lm.dropDesks(entries)
	now := time.Now()
	for rk, dk := range *kp.lm.desks.Load() {
		sh := kp.plan.Share(rk)
		var rate, burst Amount
		if en, ok := entries[rk]; ok {
			rate, burst = standbyOf(en, kp.lm.nodes.Load())
		}
		dk.mu.Lock()
		dk.purse.SetShare(sh)
		dk.purse.SetStandby(now, rate, burst)
		dk.mu.Unlock()
	}
}

// setShares tells a bank the shares of its rows.
func (kp *keeper) setShares(ld *led) {
	ld.bank.SetDomains(kp.domains)
	now := time.Now()
	for _, rk := range kp.plan.Keys() {
		if kp.lm.dir.ShardOf(rk.ShardKey()) == ld.shard {
			ld.bank.SetShare(now, rk, kp.plan.Share(rk), kp.plan.Fresh(rk))
		}
	}
	ld.bank.Forsake(now, kp.plan.Has)
	ld.bank.SetComplete(kp.asOf)
	kp.act(ld)
}
