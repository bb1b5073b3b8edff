package admitter

import (
	"math"

	"github.com/gypsumhoist/gypsumhoist"
)

// shares counts the recent arrivals by workspace. The zero value has counted none.
type shares struct {
	byWorkspace map[gypsumhoist.Workspace]*demand
	arrivals    float64
	totalWeight float64
}

// demand is the decayed count of a workspace's arrivals, and its weight.
type demand struct{ arrivals, weight float64 }

const (
	sharesMax   = 512  // workspaces that are counted
	shareDecay  = 0.95 // factor on the counts per window
	shareForget = 0.1  // count below which a workspace is forgotten
	shareNoise  = 2.0  // standard deviations by which a count may exceed its share by chance
)

// excess counts a request and returns the fraction of its workspace's requests that exceeds its share by weight.
func (sh *shares) excess(ws gypsumhoist.Workspace, weight float64) float64 {
	if sh.byWorkspace == nil {
		sh.byWorkspace = map[gypsumhoist.Workspace]*demand{}
	}
	dm := sh.byWorkspace[ws]
	if dm == nil {
		if len(sh.byWorkspace) >= sharesMax {
			return 0
		}
		dm = &demand{}
		sh.byWorkspace[ws] = dm
	}
	sh.totalWeight += weight - dm.weight
	dm.weight = weight
	dm.arrivals++
	sh.arrivals++
	fair := sh.arrivals * weight / sh.totalWeight
	allowed := fair + shareNoise*math.Sqrt(fair) + 1
	return math.Max(0, 1-allowed/dm.arrivals)
}

func (sh *shares) decay() {
	sh.arrivals, sh.totalWeight = 0, 0
	for ws, dm := range sh.byWorkspace {
		dm.arrivals *= shareDecay
		if dm.arrivals < shareForget {
			delete(sh.byWorkspace, ws)
			continue
		}
		sh.arrivals += dm.arrivals
		sh.totalWeight += dm.weight
	}
}
