package router

import (
	"net/netip"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// State is the life-cycle state that an upstream last reported.
type State uint8

// States.
const (
	// StateReady is an upstream that takes its full share of requests.
	StateReady State = iota
	// StateWarming is an upstream that has just started and takes few requests.
	StateWarming
	// StateStopping is an upstream whose node is about to stop: it takes only overflow, until its node refuses.
	StateStopping
	// StateDraining is an upstream that drains and takes no new requests.
	StateDraining
)

// Upstream describes one upstream of a service.
type Upstream struct {
	Instance gypsumhoist.Instance
	Domain   gypsumhoist.FailureDomain
	// Peer is the peer port of the upstream's node.
	Peer netip.AddrPort
	// Boot identifies one process start of the instance; an upstream with a new Boot begins a slow start, less its Age.
	Boot uint64
	// Slots is the number of requests that the upstream reports to run concurrently; values below one count as one.
	Slots int
	State State
	// Process identifies the process of the upstream, regardless of restarts of its node: when it started, in Unix milliseconds; zero
	// if that is unknown.
	Process int64
	// Age is how long the upstream itself has run, regardless of restarts of its node; zero if it is new or its age is unknown.
	Age time.Duration
}

// Load is the load that an upstream's node reports with an answer.
// It lags behind, so its effect on picks is bounded.
type Load struct {
	InFlight int // running and waiting requests
	Limit    int // concurrency limit; zero if unknown
	// RateLimited reports that Limit follows from a rate limit that the upstream names.
	RateLimited bool
}

// Result classifies the end of an attempt by what it says about the health of the upstream.
type Result uint8

// Results.
const (
	// ResultAnswered is a complete answer of the upstream.
	ResultAnswered Result = iota
	// ResultOverloaded is a refusal for lack of capacity; it says nothing about health.
	ResultOverloaded
	// ResultFailed is a broken or silent connection, a timeout, or an answer that reports a failure of the upstream.
	ResultFailed
	// ResultNeutral says nothing about the upstream: the caller canceled, the request was bad, or no connection could be opened.
	ResultNeutral
	// ResultLeaving is a refusal by a node that is about to stop, or whose upstream drains.
	ResultLeaving
)

// Outcome is the measured outcome of an attempt.
type Outcome struct {
	Result Result
	// Latency is the time from sending the attempt to receiving the head of its answer.
	Latency time.Duration
	// Load is the report that came with the answer, or nil.
	Load *Load
}
