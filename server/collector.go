package server

import (
	"runtime/debug"
	"sync"
	"time"
)

// pressedPercent is the garbage collector's target (GOGC) while clients use much memory. Heads leave several times their size as garbage.
const pressedPercent = 50

// relaxDelay is how long the pressure has to be gone before the target is the normal one again. A head that was answered costs nothing any more,
// but its garbage is still there.
const relaxDelay = 2 * time.Second

// normalPercent returns the target that the process was started with.
var normalPercent = sync.OnceValue(func() int {
	percent := debug.SetGCPercent(pressedPercent)
	debug.SetGCPercent(percent)
	return percent
})

// collector makes the garbage collector run more often while clients use much memory, so that the heap stays closer to what is in use.
type collector struct {
	pressure <-chan bool
	dying    <-chan struct{}
}

func (co *collector) loop() error {
	normal := normalPercent()
	relax := time.NewTimer(relaxDelay)
	relax.Stop()
	defer relax.Stop()
	for {
		select {
		case <-co.dying:
			return nil
		case pressed := <-co.pressure:
			if !pressed {
				relax.Reset(relaxDelay)
				continue
			}
			relax.Stop()
			debug.SetGCPercent(min(normal, pressedPercent))
		case <-relax.C:
			debug.SetGCPercent(normal)
		}
	}
}
