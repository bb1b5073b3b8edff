package limiter

import "time"

// standby is what a node may spend of a row while no leader of its shard answers: the row's rate and burst
// by the number of nodes. It fills all the time, so that it is there when the leader is lost.
// The zero value gives nothing.
type standby struct {
	rate, burst Amount
	level       Amount
	at          time.Time
	carry       uint64
}

// set gives the bucket its rate and burst; a new one starts empty, as an earlier process may have spent all.
func (sb *standby) set(now time.Time, rate, burst Amount) {
	if sb.at.IsZero() {
		sb.at = now
	}
	sb.fill(now)
	sb.rate, sb.burst = rate, burst
	sb.level = min(sb.level, burst)
}

// take spends one token.
func (sb *standby) take(now time.Time) bool {
	sb.fill(now)
	if sb.level < One {
		return false
	}
	sb.level -= One
	return true
}

func (sb *standby) fill(now time.Time) {
	if sb.rate <= 0 || !now.After(sb.at) {
		return
	}
	var fresh Amount
	fresh, sb.carry = minted(sb.rate, now.Sub(sb.at), sb.carry, sb.burst-sb.level)
	sb.level += fresh
	sb.at = now
}

// SetStandby tells the purse what the node may spend while no leader answers; zero for nothing.
func (ps *Purse) SetStandby(now time.Time, rate, burst Amount) { ps.standby.set(now, rate, burst) }

// serveStandby gives standby tokens to the requests that wait while no leader answers, the most important first.
func (ps *Purse) serveStandby(now time.Time) []Release {
	var out []Release
	for ps.unready && len(ps.waiters) > 0 && ps.standby.take(now) {
		ps.use.add(now)
		out = append(out, Release{ID: ps.waiters[0].ID, Granted: true})
		ps.waiters = ps.waiters[1:]
	}
	return out
}

// SetNodes tells the limiter how many nodes take requests, among which standby shares are divided.
// Zero or less gives no standby shares. It takes effect with the next table.
func (lm *Limiter) SetNodes(count int) { lm.nodes.Store(int64(max(count, 0))) }

// standbyOf returns a node's standby share of a row: at least one token, so that a small row is served at all.
func standbyOf(en Entry, nodes int64) (rate, burst Amount) {
	if nodes <= 0 {
		return 0, 0
	}
	rate = Amount(en.Row.Rate) * amountPerRate / Amount(nodes)
	return rate, max(Whole(en.Row.Burst)/Amount(nodes), One)
}
