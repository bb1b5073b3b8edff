package replicator

import "time"

// Timings holds the intervals and timeouts of a group. All members of a group must use the same values.
type Timings struct {
	// Heartbeat is the interval at which an idle leader sends to each member.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the random election timeout: the time without a leader after which
	// a voter starts an election. For ElectionMin after it heard from a leader or was restarted, a voter grants no votes.
	ElectionMin, ElectionMax time.Duration
	// Lease is the duration of the leader's lease, counted from the sending of a heartbeat that a majority acknowledged.
	// ElectionMin must exceed it by more than the drift between the members' clocks.
	Lease time.Duration
}

// DefaultTimings returns timings for members with a network latency of a few milliseconds.
func DefaultTimings() Timings {
	return Timings{
		Heartbeat:   100 * time.Millisecond,
		ElectionMin: 500 * time.Millisecond,
		ElectionMax: time.Second,
		Lease:       400 * time.Millisecond,
	}
}

// orDefaults returns the timings, or DefaultTimings when any of the values is invalid.
func (tm Timings) orDefaults() Timings {
	df := DefaultTimings()
	if tm.Heartbeat <= 0 || tm.ElectionMin <= tm.Lease || tm.ElectionMax <= tm.ElectionMin || tm.Lease <= tm.Heartbeat {
		return df
	}
	return tm
}
