package forwarder

import (
	"math/rand/v2"
	"sync"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// splitsMax bounds the splits whose places are kept; beyond it places are drawn at random.
const splitsMax = 4096

// goldenShare is the step between two places of a sequence that fills the range from 0 to 1 evenly at any length.
const goldenShare = 0.6180339887498949

// splitter shares the requests of rows with a split between their services, evenly also over few requests.
// It is safe for concurrent use; the zero value is ready.
type splitter struct {
	mu     sync.Mutex
	places map[registrar.Split]float64
}

// service returns the service of a row's next request.
func (sp *splitter) service(rw *registrar.Row) gypsumhoist.Service {
	if rw.Split.Len() == 0 {
		return rw.Service
	}
	return rw.Split.At(sp.next(rw.Split))
}

// next returns the next place of a split. Nodes begin at random places, so that their deviations cancel out.
func (sp *splitter) next(split registrar.Split) float64 {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	at, known := sp.places[split]
	if !known {
		at = rand.Float64()
		if len(sp.places) >= splitsMax {
			return at
		}
		if sp.places == nil {
			sp.places = map[registrar.Split]float64{}
		}
	}
	at += goldenShare
	if at >= 1 {
		at--
	}
	sp.places[split] = at
	return at
}
