package router

import (
	"math/rand/v2"
	"slices"
)

// aliasTable draws an index in proportion to its weight in constant time (Walker's alias method).
type aliasTable struct {
	prob  []float64 // probability that a draw of the column yields its own index
	alias []int32   // index that the other draws of the column yield

	small, large []int32 // buffers of fill
}

// newAliasTable returns a table for weights, all of which must be above zero.
func newAliasTable(weights []float64) aliasTable {
	var tb aliasTable
	tb.fill(weights)
	return tb
}

// fill computes the table anew for weights, all of which must be above zero. It allocates only if there are more than ever before.
func (tb *aliasTable) fill(weights []float64) {
	tb.prob = slices.Grow(tb.prob[:0], len(weights))[:len(weights)]
	tb.alias = slices.Grow(tb.alias[:0], len(weights))[:len(weights)]
	sum := 0.0
	for _, wt := range weights {
		sum += wt
	}
	small, large := tb.small[:0], tb.large[:0]
	for at, wt := range weights {
		tb.prob[at] = wt * float64(len(weights)) / sum
		tb.alias[at] = int32(at)
		if tb.prob[at] < 1 {
			small = append(small, int32(at))
		} else {
			large = append(large, int32(at))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		low, high := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		tb.alias[low] = high
		tb.prob[high] -= 1 - tb.prob[low]
		if tb.prob[high] < 1 {
			large = large[:len(large)-1]
			small = append(small, high)
		}
	}
	for _, rest := range [][]int32{small, large} {
		for _, at := range rest {
			tb.prob[at] = 1
		}
	}
	tb.small, tb.large = small[:0], large[:0]
}

// draw returns a random index. The table must not be empty.
func (tb *aliasTable) draw(random *rand.Rand) int {
	at := random.IntN(len(tb.prob))
	if random.Float64() < tb.prob[at] {
		return at
	}
	return int(tb.alias[at])
}
