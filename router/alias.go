package router

import "math/rand/v2"

// aliasTable draws an index in proportion to its weight in constant time (Walker's alias method).
type aliasTable struct {
	prob  []float64 // probability that a draw of the column yields its own index
	alias []int32   // index that the other draws of the column yield
}

// newAliasTable returns a table for weights, all of which must be above zero.
func newAliasTable(weights []float64) aliasTable {
	tb := aliasTable{prob: make([]float64, len(weights)), alias: make([]int32, len(weights))}
	sum := 0.0
	for _, wt := range weights {
		sum += wt
	}
	var small, large []int32
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
	for _, at := range append(small, large...) {
		tb.prob[at] = 1
	}
	return tb
}

// draw returns a random index. The table must not be empty.
func (tb *aliasTable) draw(random *rand.Rand) int {
	at := random.IntN(len(tb.prob))
	if random.Float64() < tb.prob[at] {
		return at
	}
	return int(tb.alias[at])
}
