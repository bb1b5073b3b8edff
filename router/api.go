package router

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// State is what an upstream last said about itself.
type State uint8

// States.
const (
	// StateReady takes work.
	StateReady State = iota
	// StateWarming takes little work, as it has just started.
	StateWarming
	// StateStopping is beside a node that is about to end: it takes work that nobody else has room for, until its node refuses.
	StateStopping
	// StateLeaving takes no new work: it drains.
	StateLeaving
)

// Upstream is one upstream of a service as this node knows it.
type Upstream struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	// Peer is the peer port of the upstream's node.
	Peer netip.AddrPort
	// Boot tells two lives of one instance apart; a new one is a cold upstream.
	Boot uint64
	// Slots is how many requests the upstream says it runs at once; below one counts as one.
	Slots int
	State State
	// Age is how long it has run, whatever became of its node; zero for one that is new or of unknown age.
	Age time.Duration
}

// Load is what an upstream's node says about itself on an answer.
// It is a hint: it lags, and its effect on picks is bounded.
type Load struct {
	InFlight int // running and waiting requests
	Limit    int // how many it would run at once; zero means not known
}

// Result says how an attempt ended, as far as the health of the upstream goes.
type Result uint8

// Results.
const (
	// ResultAnswered is a whole answer of the upstream.
	ResultAnswered Result = iota
	// ResultOverloaded is a refusal for lack of capacity; it says nothing about health.
	ResultOverloaded
	// ResultFailed is a broken or silent connection, a timeout, or an answer that tells of a fault.
	ResultFailed
	// ResultNeutral says nothing about the upstream: the caller went away, the request was bad, or no connection was found.
	ResultNeutral
	// ResultLeaving is a refusal of a node that is about to end, or whose upstream drains.
	ResultLeaving
)

// Outcome is what a node measured on an attempt.
type Outcome struct {
	Result Result
	// Latency is the time from sending the attempt to the head of its answer.
	Latency time.Duration
	// Load is what came with the answer; nil when none did.
	Load *Load
}
