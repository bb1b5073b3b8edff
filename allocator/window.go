package allocator

import "time"

// slots is how many parts of a window are counted apart.
const slots = 20

// window counts events of the last span of time. The oldest part counts whole until it has left the span,
// so that no count is too low. The zero value has counted nothing.
type window struct {
	counts [slots + 1]int64
	head   int64 // number of the newest slot since the start
	sum    int64
}

// slot returns the number of the slot of a time that has passed since some start.
func slot(passed, span time.Duration) int64 { return int64(passed * slots / span) }

// advance drops what has left the window.
func (wn *window) advance(now int64) {
	if now-wn.head > slots {
		*wn = window{head: now}
		return
	}
	for wn.head < now {
		wn.head++
		at := wn.head % (slots + 1)
		wn.sum -= wn.counts[at]
		wn.counts[at] = 0
	}
}

func (wn *window) add(now int64) {
	wn.advance(now)
	wn.counts[wn.head%(slots+1)]++
	wn.sum++
}

func (wn *window) total(now int64) int64 {
	wn.advance(now)
	return wn.sum
}
