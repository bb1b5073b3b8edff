package gossiper

import "time"

// Times of the protocol.
const (
	// ringProbeEvery is how often an instance probes each of its ring neighbours.
	ringProbeEvery   = 1 * time.Second
	ringProbeTimeout = 300 * time.Millisecond
	// newsEvery is the least time between two packets to one neighbour that only bring news; what comes meanwhile goes together.
	newsEvery = 100 * time.Millisecond
	// bridgeProbeEvery is how often a bridge probes one bridge of each other domain.
	bridgeProbeEvery   = 2 * time.Second
	bridgeProbeTimeout = 1 * time.Second
	relayTimeout       = 400 * time.Millisecond
	// suspectFor is how long a suspect may object.
	suspectFor = 1500 * time.Millisecond
	// cutAfter is how long no bridge of a domain has answered when the domain counts as cut off.
	cutAfter = 3 * time.Second
	// seedEvery is how often an instance without neighbours asks a seed, seedRareEvery one with neighbours.
	// An unknown seed is asked at seedUnknownEvery.
	seedEvery        = 500 * time.Millisecond
	seedUnknownEvery = 2 * time.Second
	seedRareEvery    = 20 * time.Second
	// callLost is when a call without any outcome counts as failed.
	callLost = 3 * time.Second
	// electAfter is how long a new instance must have met nobody new in its domain before it takes
	// itself for a bridge, electLatest how long it waits for that at most.
	electAfter  = 700 * time.Millisecond
	electLatest = 3 * time.Second
	// objectEvery is the least time between two objections to another process of the same name.
	objectEvery = 1 * time.Second
	// retryEvery is the least time between two tries to reach unreachable members.
	retryEvery = 2 * time.Second
	// digestEvery is how often two neighbours compare all that they know.
	digestEvery = 30 * time.Second
	// digestStagger, times the links, bounds the wait for the first comparison with another domain.
	digestStagger = 50 * time.Millisecond
	// keepGone is how long members that left or can't be reached are remembered.
	keepGone = 24 * time.Hour
	// keepIdle is how long members that don't matter here are remembered.
	keepIdle = 1 * time.Minute
	// hintEveryMember, times the members of the domain, is the least time between two load reports.
	hintEveryMember = 400 * time.Millisecond
	leastHintEvery  = 1 * time.Second
	// crossEveryMember, times the known members, is the least time between two load reports
	// of one instance to other domains.
	crossEveryMember = 200 * time.Millisecond
	leastCrossEvery  = 2 * time.Second
)

// Sizes of the protocol.
const (
	// ringFingers is how many ring neighbours an instance probes.
	ringFingers = 4
	// seedsAtOnce is how many seeds a new instance asks at once.
	seedsAtOnce = 3
	// relays is how many instances are asked to probe a member that did not answer.
	relays = 2
	// bridges is how many instances of a domain exchange news with other domains.
	bridges = 3
	// packetMembers and packetRumors bound a packet.
	packetMembers = 200
	packetRumors  = 32
	// hintStep is the least change of load, in thousandths, that is told.
	hintStep = 125
)
