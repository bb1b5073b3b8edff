package gossiper

import "time"

// Timings of the protocol.
const (
	// ringProbeInterval is how often an instance probes each of its ring neighbours.
	ringProbeInterval = 1 * time.Second
	ringProbeTimeout  = 300 * time.Millisecond
	// minUpdateInterval is the least time between two packets to one neighbour outside of the probes;
	// updates that come up in between are batched.
	minUpdateInterval = 100 * time.Millisecond
	// bridgeProbeInterval is how often a bridge probes each other bridge that it has a link to:
	// one of each other domain, and those of its own.
	bridgeProbeInterval = 2 * time.Second
	bridgeProbeTimeout  = 1 * time.Second
	relayTimeout        = 400 * time.Millisecond
	// suspicionTimeout is how long a suspect may refute the suspicion before it counts as unreachable.
	suspicionTimeout = 1500 * time.Millisecond
	// domainTimeout is how long no bridge of a domain may answer before the domain counts as unreachable.
	domainTimeout = 3 * time.Second
	// joinInterval is how often an instance without neighbours contacts seeds. A bridge with neighbours contacts one
	// after joinInterval for seedReturnTime after one has left, after unknownSeedInterval while some are unknown, else after
	// seedCheckInterval on average.
	joinInterval        = 500 * time.Millisecond
	unknownSeedInterval = 2 * time.Second
	seedCheckInterval   = 20 * time.Second
	// seedReturnTime is how long a seed that has left is expected to come back, as in a restart.
	seedReturnTime = 30 * time.Second
	// callTimeout is when a call counts as failed whose outcome was lost.
	callTimeout = 3 * time.Second
	// electionDelay is how long a new instance must have discovered no further member of its domain before it
	// may become a bridge; it waits no longer than maxElectionDelay.
	electionDelay    = 700 * time.Millisecond
	maxElectionDelay = 3 * time.Second
	// minRefuteInterval is the least time between two refutations of another process of the same name.
	minRefuteInterval = 1 * time.Second
	// reconnectInterval is the mean time between two attempts to reach an unreachable member;
	// in a domain of more than 20 members it grows with them.
	reconnectInterval = 2 * time.Second
	// digestInterval is how often two neighbours compare digests of all that they know (anti-entropy).
	digestInterval = 30 * time.Second
	// digestJitterPerLink, times the links, bounds the random delay of the first comparison with another domain.
	digestJitterPerLink = 50 * time.Millisecond
	// tombstoneRetention is how long the records of members that left or can't be reached are kept.
	tombstoneRetention = 24 * time.Hour
	// irrelevantRetention is how long the records of members are kept that this instance doesn't need.
	irrelevantRetention = 1 * time.Minute
	// hintIntervalPerMember, times the members of the domain, is the least time between two load reports of an instance.
	hintIntervalPerMember = 400 * time.Millisecond
	minHintInterval       = 1 * time.Second
	// foreignHintIntervalPerMember, times the known members, is the least time between two load reports
	// of one instance to other domains.
	foreignHintIntervalPerMember = 200 * time.Millisecond
	minForeignHintInterval       = 2 * time.Second
)

// Sizes of the protocol.
const (
	// ringFingers is how many ring neighbours an instance probes at most.
	ringFingers = 4
	// seedFanout is how many seeds an instance without neighbours contacts at once.
	seedFanout = 3
	// relayFanout is how many instances are asked to probe a member that did not answer.
	relayFanout = 2
	// bridgesPerDomain is how many instances of a domain exchange updates with other domains.
	bridgesPerDomain = 3
	// maxPacketMembers and maxPacketRumors bound a packet.
	maxPacketMembers = 200
	maxPacketRumors  = 32
	// minLoadChangePermille is the least change of load, in thousandths, that is reported.
	minLoadChangePermille = 125
)
