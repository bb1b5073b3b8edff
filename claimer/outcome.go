package claimer

import (
	"net/http"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// MaxAnswerSize is the maximum size in bytes, body and headers together, of an answer that is kept.
const MaxAnswerSize = 64 << 10

// Answer is a complete HTTP response of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the size in bytes of the body and the headers.
func (an Answer) size() int {
	size := len(an.Body)
	for name, values := range an.Header {
		size += len(name)
		for _, vl := range values {
			size += len(vl)
		}
	}
	return size
}

// Request describes the request for which an entry node claims a key.
type Request struct {
	Key         Key
	Fingerprint Fingerprint
	// RunFor bounds how long the request may run. After that time without Finish,
	// the claim's outcome is taken to be unknown.
	RunFor time.Duration
}

// Outcome is the outcome of a claim: Granted, Replay or Refused.
type Outcome interface{ outcome() }

// Granted allows the holder to run the request once.
// The holder ends it with exactly one of Claimer.Finish, Ran, Release and MayHaveRun.
type Granted struct {
	Key   Key
	Token Token
	// Homes are the failure domains that store the claim.
	Homes []gypsumhoist.FailureDomain
}

// Replay carries the stored answer of an earlier run.
type Replay struct {
	Answer Answer
}

// Refused holds the reason why the request may not run. Refusal is never nil.
type Refused struct {
	Refusal *gypsumhoist.Refusal
}

func (Granted) outcome() {}
func (Replay) outcome()  {}
func (Refused) outcome() {}
