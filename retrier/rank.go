package retrier

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Rank determines which requests get a retry when there are not enough for all.
type Rank struct {
	Importance gypsumhoist.Importance
	// CallsAhead is the expected number of further calls that the request on whose behalf this one is made will make.
	CallsAhead int
}

// maxCallsAhead caps Rank.CallsAhead; greater values rank the same.
const maxCallsAhead = 15

// priority orders ranks, the highest first: by importance, then by fewest calls ahead, as a request near its end
// needs the fewest further retries to succeed.
func (rk Rank) priority() int {
	return int(rk.Importance)*(maxCallsAhead+1) + maxCallsAhead - clamp(rk.CallsAhead, maxCallsAhead)
}

// Sliding window over which the candidates for a retry are counted, and its slices.
const (
	rankWindow = time.Second
	rankSlices = 4
	rankSlice  = rankWindow / rankSlices
)

// candidates counts by priority the requests that recently needed a retry. It is not safe for concurrent use. The zero value is an
// empty window.
type candidates struct {
	slices  [rankSlices]map[int]int
	current int64
}

func (cd *candidates) add(now time.Duration, priority int) {
	cd.advance(now)
	at := &cd.slices[cd.current%rankSlices]
	if *at == nil {
		*at = map[int]int{}
	}
	(*at)[priority]++
}

// outranking returns the number of candidates in the window with a higher priority.
func (cd *candidates) outranking(priority int) int {
	num := 0
	for _, slice := range cd.slices {
		for other, count := range slice {
			if other > priority {
				num += count
			}
		}
	}
	return num
}

// advance drops the slices that have left the window. A time before the current slice changes nothing.
func (cd *candidates) advance(now time.Duration) {
	target := int64(now / rankSlice)
	for steps := 0; cd.current < target && steps < rankSlices; steps++ {
		cd.current++
		cd.slices[cd.current%rankSlices] = nil
	}
	cd.current = max(cd.current, target)
}
