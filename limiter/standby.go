package limiter

import "time"

// standby is a token bucket that a node spends from while no leader of the row's shard answers. Its rate and burst are
// the row's, divided by the number of nodes. It always fills, so that tokens are available when the leader is lost.
// The zero value grants nothing.
type standby struct {
	rate, burst Amount
	level       Amount
	filledAt    time.Time
	carry       uint64
}

// set sets the rate and burst. A new bucket starts empty because an earlier process may have spent all of its tokens.
func (sb *standby) set(now time.Time, rate, burst Amount) {
	if sb.filledAt.IsZero() {
		sb.filledAt = now
	}
	sb.fill(now)
	sb.rate, sb.burst = rate, burst
	sb.level = min(sb.level, burst)
}

// take spends one token if there is one.
func (sb *standby) take(now time.Time) bool {
	sb.fill(now)
	if sb.level < One {
		return false
	}
	sb.level -= One
	return true
}

func (sb *standby) fill(now time.Time) {
	if sb.rate <= 0 || !now.After(sb.filledAt) {
		return
	}
	var added Amount
	added, sb.carry = accrued(sb.rate, now.Sub(sb.filledAt), sb.carry, sb.burst-sb.level)
	sb.level += added
	sb.filledAt = now
}

// SetStandby sets what the node may spend while no leader answers; zero for nothing.
func (nb *NodeBucket) SetStandby(now time.Time, rate, burst Amount) { nb.standby.set(now, rate, burst) }

// serveStandby gives standby tokens to the waiting requests while no leader answers, the most important first.
func (nb *NodeBucket) serveStandby(now time.Time) []Release {
	var out []Release
	for nb.unready && len(nb.waiters) > 0 && nb.standby.take(now) {
		nb.usage.add(now)
		out = append(out, Release{ID: nb.waiters[0].ID, Granted: true})
		nb.waiters = nb.waiters[1:]
	}
	return out
}

// SetNodes sets the number of nodes that take requests; standby shares are divided among them.
// Zero or less disables standby shares. It takes effect with the next table.
func (lm *Limiter) SetNodes(count int) { lm.nodeCount.Store(int64(max(count, 0))) }

// standbyShare returns a node's standby share of a row: at least one token, so that small rows are served too.
func standbyShare(en Entry, nodes int64) (rate, burst Amount) {
	if nodes <= 0 {
		return 0, 0
	}
	rate = Amount(en.Row.Rate) * amountPerRate / Amount(nodes)
	return rate, max(Whole(en.Row.Burst)/Amount(nodes), One)
}
