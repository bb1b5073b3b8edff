package router

import "github.com/gypsumhoist/gypsumhoist"

// maxBeliefs bounds the upstreams of a service of which a group keeps reports.
const maxBeliefs = 8192

// Report is what an upstream says about itself in an answer. The zero value says nothing.
type Report struct {
	// RateLimit is how many requests per second the upstream takes from all nodes together.
	RateLimit gypsumhoist.RateLimit
}

// belief is the last report of an upstream. It outlasts the upstream's place in the view and restarts of the upstream's node,
// which learns it from the requests that it gets.
type belief struct {
	rateLimit gypsumhoist.RateLimit
}

// report updates the belief about an upstream, and reports whether a limit has changed.
func (gr *Group) report(in gypsumhoist.Instance, rp Report) bool {
	old := gr.beliefs[in]
	if !rp.RateLimit.Known() || old.rateLimit == rp.RateLimit {
		return false
	}
	if !rp.RateLimit.Limited() {
		delete(gr.beliefs, in)
		return old.rateLimit.Limited()
	}
	if _, known := gr.beliefs[in]; !known && len(gr.beliefs) >= maxBeliefs {
		for other := range gr.beliefs {
			delete(gr.beliefs, other)
			break
		}
	}
	gr.beliefs[in] = belief{rateLimit: rp.RateLimit}
	return true
}
