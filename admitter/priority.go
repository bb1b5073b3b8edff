package admitter

import (
	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/hasher"
)

// priority orders requests where not all can be served: by importance, then nested calls before fresh requests, then by
// Precedence. It is a rank plus a fraction, and runs from 0 to 202.
type priority float64

// Precedence orders the requests of one importance, from 0 to 1. It is derived from a request's identity alone, so that all calls
// of a request are admitted or refused together, at whatever node they arrive.
type Precedence float64

// PrecedenceOf returns the precedence of a request.
func PrecedenceOf(id gypsumhoist.RequestID) Precedence {
	const bits = 53
	return Precedence(float64(hasher.Name(string(id))>>(64-bits)) / (1 << bits))
}

// priorityIn returns the priority of a request in its rank. Excess is the fraction of its workspace's requests that exceeds the
// workspace's share: those are placed in the lower half of the rank, all others in the upper half.
func priorityIn(rk rank, pr Precedence, excess float64) priority {
	const middle = 0.5
	within := float64(pr)
	if within < excess {
		return priority(float64(rk) + middle*within/excess)
	}
	return priority(float64(rk) + middle + (1-middle)*(within-excess)/(1-excess))
}
