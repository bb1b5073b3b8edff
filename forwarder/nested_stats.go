package forwarder

import (
	"math"
	"sync"

	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

const (
	statsRoutesMax = 4096 // routes with an estimate, as many as rows that the retrier keeps ratios of
	ewmaWeight     = 0.1  // weight of one run in the moving average of its route
	siblingsMean   = 1.5  // mean above which a call has siblings
)

// nestedStats estimates how many nested calls a successful run of each route makes.
// It is safe for concurrent use; the zero value has no estimates.
type nestedStats struct {
	mu    sync.Mutex
	means map[string]float64
}

// learn adds a successful run of a route, with the number of its answered calls.
func (ns *nestedStats) learn(route string, calls int) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	mean, known := ns.means[route]
	switch {
	case known:
		ns.means[route] = mean + ewmaWeight*(float64(calls)-mean)
	case len(ns.means) < statsRoutesMax:
		if ns.means == nil {
			ns.means = map[string]float64{}
		}
		ns.means[route] = float64(calls)
	}
}

// callsAhead returns how many calls a run will probably make after the present one; zero without a run.
func (ns *nestedStats) callsAhead(parent *authenticator.Call[*retrier.Budget]) int {
	if parent == nil {
		return 0
	}
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return max(0, int(math.Round(ns.means[parent.Route]))-parent.Answered()-1)
}

// hasSiblings reports whether a call is one of several that its request makes at this step or further up its chain.
func (ns *nestedStats) hasSiblings(parent *authenticator.Call[*retrier.Budget]) bool {
	if parent == nil {
		return false
	}
	if parent.Siblings || parent.Answered() > 0 {
		return true
	}
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.means[parent.Route] > siblingsMean
}
