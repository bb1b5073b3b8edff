package allocator

import "time"

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 20

// window counts the events of a sliding time window. The oldest slot counts fully until all of it has left the window,
// so that the total is never too low. The zero value is empty.
type window struct {
	counts [windowSlots + 1]int64
	head   int64 // number of the newest slot
	sum    int64
}

// slotAt returns the slot number of a time, given as the time passed since a fixed start.
func slotAt(passed, span time.Duration) int64 { return int64(passed * windowSlots / span) }

// advance drops slots that have left the window.
func (wn *window) advance(now int64) {
	if now-wn.head > windowSlots {
		*wn = window{head: now}
		return
	}
	for wn.head < now {
		wn.head++
		at := wn.head % (windowSlots + 1)
		wn.sum -= wn.counts[at]
		wn.counts[at] = 0
	}
}

func (wn *window) add(now int64) {
	wn.advance(now)
	wn.counts[wn.head%(windowSlots+1)]++
	wn.sum++
}

func (wn *window) total(now int64) int64 {
	wn.advance(now)
	return wn.sum
}
