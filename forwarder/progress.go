package forwarder

import (
	"math"
	"sync"

	"github.com/gypsumhoist/gypsumhoist/authenticator"
	"github.com/gypsumhoist/gypsumhoist/retrier"
)

// Constants of what is learned of the calls that runs make.
const (
	progressRoutes = 4096 // routes that are kept apart, as many as rows have ratios
	progressWeight = 0.1  // of one run in the mean of its route
	severalCalls   = 1.5  // mean from which runs of a route make more than one call
)

// progress is how many calls of its own a run of each route makes that ends well.
// It is safe for concurrent use; the zero value has learned nothing.
type progress struct {
	mu    sync.Mutex
	calls map[string]float64
}

// learn takes a run that ended well.
func (pg *progress) learn(route string, calls int) {
	pg.mu.Lock()
	defer pg.mu.Unlock()
	mean, known := pg.calls[route]
	switch {
	case known:
		pg.calls[route] = mean + progressWeight*(float64(calls)-mean)
	case len(pg.calls) < progressRoutes:
		if pg.calls == nil {
			pg.calls = map[string]float64{}
		}
		pg.calls[route] = float64(calls)
	}
}

// ahead returns how many calls a run will probably make after the one that it makes now; zero for no run.
func (pg *progress) ahead(parent *authenticator.Call[*retrier.Budget]) int {
	if parent == nil {
		return 0
	}
	pg.mu.Lock()
	defer pg.mu.Unlock()
	return max(0, int(math.Round(pg.calls[parent.Route]))-parent.Answered()-1)
}

// several reports whether a call is one of several that its request makes: here, or further up its chain.
func (pg *progress) several(parent *authenticator.Call[*retrier.Budget]) bool {
	if parent == nil {
		return false
	}
	if parent.Siblings || parent.Answered() > 0 {
		return true
	}
	pg.mu.Lock()
	defer pg.mu.Unlock()
	return pg.calls[parent.Route] > severalCalls
}
