package admitter

import (
	"math"

	"github.com/gypsumhoist/gypsumhoist"
)

// shares counts the arrivals of late by workspace. The zero value has seen none.
type shares struct {
	of      map[gypsumhoist.Workspace]*share
	total   float64
	weights float64
}

type share struct{ asked, weight float64 }

// Constants of shares.
const (
	sharesMax  = 512  // workspaces that are told apart
	shareFade  = 0.95 // of the counts, with each window
	shareLeast = 0.1  // a count below which a workspace is forgotten
	shareNoise = 2.0  // standard deviations of a count by which chance may exceed a share
)

// arrive counts a request and returns which part of its workspace's requests is in excess of its share by weight.
func (sh *shares) arrive(ws gypsumhoist.Workspace, weight float64) float64 {
	if sh.of == nil {
		sh.of = map[gypsumhoist.Workspace]*share{}
	}
	own := sh.of[ws]
	if own == nil {
		if len(sh.of) >= sharesMax {
			return 0
		}
		own = &share{}
		sh.of[ws] = own
	}
	sh.weights += weight - own.weight
	own.weight = weight
	own.asked++
	sh.total++
	part := sh.total * weight / sh.weights
	allowed := part + shareNoise*math.Sqrt(part) + 1
	return math.Max(0, 1-allowed/own.asked)
}

func (sh *shares) fade() {
	sh.total, sh.weights = 0, 0
	for ws, own := range sh.of {
		own.asked *= shareFade
		if own.asked < shareLeast {
			delete(sh.of, ws)
			continue
		}
		sh.total += own.asked
		sh.weights += own.weight
	}
}
