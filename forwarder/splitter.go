package forwarder

import (
	"math/rand/v2"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// splitsMax bounds the splits whose positions are kept; beyond it positions are drawn at random.
const splitsMax = 4096

// goldenStep is the step of the golden-ratio sequence, which fills the range from 0 to 1 evenly at any length.
const goldenStep = 0.6180339887498949

// splitter distributes the requests of rows with a split over their services, evenly even for few requests.
// It is safe for concurrent use; the zero value is ready.
type splitter struct {
	mu        sync.Mutex
	positions map[registrar.Split]float64
}

// service returns the service of a row's next request.
func (sp *splitter) service(rw *registrar.Row) gypsumhoist.Service {
	if rw.Split.Len() == 0 {
		return rw.Service
	}
	return rw.Split.At(sp.next(rw.Split))
}

// next returns the next position of a split. Nodes start at random positions, so that their deviations cancel out.
func (sp *splitter) next(split registrar.Split) float64 {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	pos, known := sp.positions[split]
	if !known {
		pos = rand.Float64()
		if len(sp.positions) >= splitsMax {
			return pos
		}
		if sp.positions == nil {
			sp.positions = map[registrar.Split]float64{}
		}
	}
	pos = following(pos)
	sp.positions[split] = pos
	return pos
}

// following returns the position after another one.
func following(pos float64) float64 {
	pos += goldenStep
	if pos >= 1 {
		pos--
	}
	return pos
}
