// Package throttler implements client-side adaptive throttling at entry nodes: it refuses requests locally while too many
// of their class fail for overload.
//
// Work that is begun and then refused deep in a chain of calls is wasted. An entry node observes the outcomes of its own
// requests of a route: while more of them fail for overload than a multiplier allows, it refuses the excess at once, so that
// those which it admits can be served. Nodes need no agreement, and the services behind them need not take part.
package throttler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	multiplier         = 1.4             // requests admitted for each accepted one
	recoveryMultiplier = 4.0             // the same while no recent request failed for overload
	recentSlices       = 3               // slices that count as recent
	probeShare         = 1.0 / 16        // share of the requests that is admitted whatever their outcomes
	window             = 2 * time.Second // time over which outcomes are counted
	sliceCount         = 8
	minRequests        = 12.0 // with fewer requests in a window none is refused
	minRetryAfter      = 250 * time.Millisecond
	maxRetryAfter      = 750 * time.Millisecond
	classesMax         = 8192
	// workspacesMax bounds the workspaces of a class that have a credit of their own.
	workspacesMax = 512
)

// Key names a class of requests: those of one route and importance.
type Key struct {
	Route      string
	Importance gypsumhoist.Importance
}

// Throttler counts the outcomes of requests at one entry node by class. It is safe for concurrent use.
// The zero value is not usable; call New.
type Throttler struct {
	mu      sync.Mutex
	start   time.Time
	random  *rand.Rand
	classes map[Key]*class
}

// class counts the requests of one class in slices of the window.
type class struct {
	requests, accepted, overloaded [sliceCount]float64
	slice                          int64
	// credit is the fraction of the next admitted request that each workspace has accumulated, from 0 to 1.
	credit map[gypsumhoist.Workspace]float64
}

// New returns a throttler without counts, which refuses nothing. It owns the source of random numbers.
func New(random *rand.Rand) *Throttler {
	return &Throttler{start: time.Now(), random: random, classes: map[Key]*class{}}
}

// Admit returns nil, or a refusal if too many requests of the class fail for overload.
// The same share of every workspace's requests is admitted, also of a workspace with few requests.
func (th *Throttler) Admit(key Key, ws gypsumhoist.Workspace) *gypsumhoist.Refusal {
	th.mu.Lock()
	defer th.mu.Unlock()
	cl := th.class(key)
	if cl == nil {
		return nil
	}
	share := cl.share()
	cl.requests[cl.slice%sliceCount]++
	if share >= 1 || cl.admit(ws, share, th.random) {
		return nil
	}
	wait := minRetryAfter + time.Duration(th.random.Int64N(int64(maxRetryAfter-minRetryAfter)))
	return gypsumhoist.NotRun(gypsumhoist.ReasonOverload, wait, "too few requests of the route are served now, here or deeper down the chain")
}

// Done records the outcome of a request that Admit admitted; accepted is false if it failed for overload.
// An outcome that says nothing about load counts as accepted.
func (th *Throttler) Done(key Key, accepted bool) {
	th.mu.Lock()
	defer th.mu.Unlock()
	cl := th.class(key)
	switch {
	case cl == nil:
	case accepted:
		cl.accepted[cl.slice%sliceCount]++
	default:
		cl.overloaded[cl.slice%sliceCount]++
	}
}

// admit reports whether a workspace's request is among the share that is admitted.
func (cl *class) admit(ws gypsumhoist.Workspace, share float64, random *rand.Rand) bool {
	credit, known := cl.credit[ws]
	if !known {
		if len(cl.credit) >= workspacesMax {
			clear(cl.credit)
		}
		credit = random.Float64()
	}
	credit += share
	admitted := credit >= 1
	if admitted {
		credit--
	}
	cl.credit[ws] = credit
	return admitted
}

// share returns the share of the requests that is admitted, 1 or more if none is refused.
func (cl *class) share() float64 {
	if sum(cl.requests[:]) < minRequests {
		return 1
	}
	requests, allowed := cl.allowance()
	return 1 - (requests-allowed)/(requests+1)
}

// allowance returns the number of requests of a period, and how many of them may be admitted. The period is the recent slices
// if none of their requests failed for overload, so that throttling ends soon after the overload, and the window otherwise.
func (cl *class) allowance() (requests, allowed float64) {
	var recent, accepted, overloaded float64
	for back := range int64(recentSlices) {
		index := (cl.slice - back + sliceCount) % sliceCount
		recent, accepted, overloaded = recent+cl.requests[index], accepted+cl.accepted[index], overloaded+cl.overloaded[index]
	}
	if overloaded == 0 && accepted > 0 {
		return recent, max(recoveryMultiplier*accepted, probes(recent))
	}
	requests = sum(cl.requests[:])
	return requests, max(multiplier*sum(cl.accepted[:]), probes(requests))
}

// probes returns how many requests are admitted in any case, to find out whether the overload has ended.
func probes(requests float64) float64 { return 1 + requests*probeShare }

// class returns the counts of a class, advanced to the current slice. A new class beyond classesMax clears all others.
func (th *Throttler) class(key Key) *class {
	now := th.now()
	cl := th.classes[key]
	if cl == nil {
		if len(th.classes) >= classesMax {
			clear(th.classes)
		}
		cl = &class{slice: now, credit: map[gypsumhoist.Workspace]float64{}}
		th.classes[key] = cl
	}
	cl.advance(now)
	return cl
}

// now returns the number of the current slice.
func (th *Throttler) now() int64 { return int64(time.Since(th.start) * sliceCount / window) }

// advance clears the slices that have left the window.
func (cl *class) advance(now int64) {
	for steps := 0; cl.slice < now && steps < sliceCount; steps++ {
		cl.slice++
		index := cl.slice % sliceCount
		cl.requests[index], cl.accepted[index], cl.overloaded[index] = 0, 0, 0
	}
	cl.slice = now
}

func sum(slices []float64) float64 {
	total := 0.0
	for _, count := range slices {
		total += count
	}
	return total
}
