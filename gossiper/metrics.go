package gossiper

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumhoist/gypsumhoist"
)

// counters are the metrics of a Gossiper, and what it last logged of the failure domains.
type counters struct {
	exchanges, relays, failed, dropped *metrics.Counter
	// reachable holds the state of the failure domains as last logged; only run uses it.
	reachable map[gypsumhoist.FailureDomain]bool
}

func newCounters(ms *metrics.Set, gs *Gossiper) counters {
	if ms == nil {
		ms = metrics.NewSet()
	}
	for _, st := range []Status{StatusAlive, StatusSuspect, StatusUnreachable} {
		ms.GetOrCreateGauge(`gypsumhoist_gossiper_members_count{status="`+st.String()+`"}`, func() float64 {
			return gs.countMembers(st)
		})
	}
	return counters{
		exchanges: ms.GetOrCreateCounter("gypsumhoist_gossiper_exchanges_total"),
		relays:    ms.GetOrCreateCounter("gypsumhoist_gossiper_relays_total"),
		failed:    ms.GetOrCreateCounter("gypsumhoist_gossiper_failed_calls_total"),
		dropped:   ms.GetOrCreateCounter("gypsumhoist_gossiper_dropped_messages_total"),
		reachable: map[gypsumhoist.FailureDomain]bool{},
	}
}

func (gs *Gossiper) countMembers(st Status) float64 {
	count := 0
	for _, mb := range gs.View().Members() {
		if mb.Status == st {
			count++
		}
	}
	return float64(count)
}
