// Package throttler refuses requests where they enter while too few of their kind come to a good end.
//
// Work that is begun and then refused deep in a chain of calls is wasted. An entry node sees how its own requests of a route
// end: while more of them fail for overload than a margin allows, it refuses as many of the next ones at once, so that
// those which it lets in can be served. Nodes need not agree, and what lies behind needs no say.
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Constants of throttling.
const (
	margin     = 1.4             // requests that are let in for each one that ends well
	openMargin = 4.0             // the same while none of those let in of late failed
	openSlices = 3               // slices that are "of late"
	probeShare = 1.0 / 16        // of the requests that is let in however they end
	window     = 2 * time.Second // over which ends are counted
	sliceCount = 8
	leastCount = 12.0 // requests of a window without which nothing is refused
	retryLeast = 250 * time.Millisecond
	retryMost  = 750 * time.Millisecond
	routesMax  = 8192
	// workspacesMax bounds the workspaces of a kind whose shares are kept apart.
	workspacesMax = 512
)

// Key names a kind of requests: those of one route and importance.
type Key struct {
	Route      string
	Importance gypsumhoist.Importance
}

// Throttler keeps the ends of all kinds of requests at one entry node. It is safe for concurrent use.
// The zero value is not usable; call New.
type Throttler struct {
	mu     sync.Mutex
	start  time.Time
	random *rand.Rand
	kinds  map[Key]*kind
}

// kind counts one kind of requests in slices of the window.
type kind struct {
	asked, ended, failed [sliceCount]float64
	slice                int64
	// owed is what each workspace has of its next request that is let in, 0 to 1.
	owed map[gypsumhoist.Workspace]float64
}

// New returns a throttler that has seen nothing and refuses nothing. It owns the source of random numbers.
func New(random *rand.Rand) *Throttler {
	return &Throttler{start: time.Now(), random: random, kinds: map[Key]*kind{}}
}

// Admit returns nil, or a refusal of a workspace's request whose kind fares badly.
// Of each workspace the same share is let in, also of one that asks seldom.
func (th *Throttler) Admit(key Key, ws gypsumhoist.Workspace) *gypsumhoist.Refusal {
	th.mu.Lock()
	defer th.mu.Unlock()
	kd := th.kind(key)
	if kd == nil {
		return nil
	}
	asked, allowed := kd.allowance()
	total := sum(kd.asked[:])
	kd.asked[kd.slice%sliceCount]++
	refused := (asked - allowed) / (asked + 1)
	if total < leastCount || refused <= 0 || kd.take(ws, 1-refused, th.random) {
		return nil
	}
	wait := retryLeast + time.Duration(th.random.Int64N(int64(retryMost-retryLeast)))
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, wait, "too few requests of the route are served now, here or deeper down the chain")
}

// Done notes the end of a request that Admit let in: well, or not as something was overloaded.
// A request whose end tells nothing of load counts as ended well.
func (th *Throttler) Done(key Key, well bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	kd := th.kind(key)
	switch {
	case kd == nil:
	case well:
		kd.ended[kd.slice%sliceCount]++
	default:
		kd.failed[kd.slice%sliceCount]++
	}
}

// take reports whether a workspace's request is among the share of them that is let in.
func (kd *kind) take(ws gypsumhoist.Workspace, share float64, random *rand.Rand) bool {
	owed, known := kd.owed[ws]
	if !known {
		if len(kd.owed) >= workspacesMax {
			clear(kd.owed)
		}
		owed = random.Float64()
	}
	owed += share
	taken := owed >= 1
	if taken {
		owed--
	}
	kd.owed[ws] = owed
	return taken
}

// allowance returns how many requests were asked for over a time, and how many of so many are to be let in.
func (kd *kind) allowance() (asked, allowed float64) {
	var late, lateEnded, lateFailed float64
	for back := range int64(openSlices) {
		at := (kd.slice - back + sliceCount) % sliceCount
		late, lateEnded, lateFailed = late+kd.asked[at], lateEnded+kd.ended[at], lateFailed+kd.failed[at]
	}
	if lateFailed == 0 && lateEnded > 0 {
		return late, max(openMargin*lateEnded, probes(late))
	}
	asked = sum(kd.asked[:])
	return asked, max(margin*sum(kd.ended[:]), probes(asked))
}

// probes returns how many requests are let in to learn whether they end well by now.
func probes(asked float64) float64 { return 1 + asked*probeShare }

// kind returns the counts of a kind, moved on to the present slice; nil beyond routesMax.
func (th *Throttler) kind(key Key) *kind {
	now := int64(time.Since(th.start) * sliceCount / window)
	kd := th.kinds[key]
	if kd == nil {
		if len(th.kinds) >= routesMax {
			clear(th.kinds)
		}
		kd = &kind{slice: now, owed: map[gypsumhoist.Workspace]float64{}}
		th.kinds[key] = kd
	}
	for steps := 0; kd.slice < now && steps < sliceCount; steps++ {
		kd.slice++
		at := kd.slice % sliceCount
		kd.asked[at], kd.ended[at], kd.failed[at] = 0, 0, 0
	}
	kd.slice = now
	return kd
}

func sum(slices []float64) float64 {
	total := 0.0
	for _, count := range slices {
		total += count
	}
	return total
}
