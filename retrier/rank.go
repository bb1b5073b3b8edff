package retrier

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Rank says how much speaks for a retry where there are not enough for all.
type Rank struct {
	Importance gypsumhoist.Importance
	// Ahead is how many further calls the request that this one is made for will probably make after it.
	Ahead int
}

// aheadMost is from how many calls on no difference is made.
const aheadMost = 15

// order returns a number that grows with what speaks for a retry: importance first, then nearness to the end,
// as the fewest more retries bring such a request to a good one.
func (rk Rank) order() int {
	return int(rk.Importance)*(aheadMost+1) + aheadMost - clip(rk.Ahead, aheadMost)
}

// Window over which the candidates for a retry are counted.
const (
	rankWindow = time.Second
	rankSlices = 4
	rankSlice  = rankWindow / rankSlices
)

// candidates counts by rank what asked for a retry of late. It is for one goroutine. The zero value has seen nothing.
type candidates struct {
	slices  [rankSlices]map[int]int
	current int64
}

// note counts a candidate.
func (cd *candidates) note(now time.Duration, order int) {
	cd.advance(now)
	at := &cd.slices[cd.current%rankSlices]
	if *at == nil {
		*at = map[int]int{}
	}
	(*at)[order]++
}

// before returns how many candidates of the window go before one of a rank.
func (cd *candidates) before(order int) int {
	num := 0
	for _, slice := range cd.slices {
		for other, count := range slice {
			if other > order {
				num += count
			}
		}
	}
	return num
}

// advance drops the slices that have left the window; time that goes back counts as standing still.
func (cd *candidates) advance(now time.Duration) {
	target := int64(now / rankSlice)
	for steps := 0; cd.current < target && steps < rankSlices; steps++ {
		cd.current++
		cd.slices[cd.current%rankSlices] = nil
	}
	cd.current = max(cd.current, target)
}
