package router

import (
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// View summarizes the upstreams of one service.
type View struct {
	Upstreams int // reachable ones that are neither stopping nor draining, including ejected ones
	Ejected   int
	PanicMode bool // ejections are ignored because too many upstreams are ejected
	// Latency is the moving average over answers; zero before the first.
	Latency time.Duration
}

// Status describes one upstream for operators.
type Status struct {
	Upstream        Upstream
	InFlight        int // attempts from this node
	Latency         time.Duration
	FailureRate     float64 // share of failed attempts, decayed over time
	SlowStartFactor float64 // share of its slots that it may use, below 1 during a slow start
	Ejected         bool
}

// View returns the summary of a service, or the zero View if the service is unknown.
func (rt *Router) View(name gypsumhoist.Service) View {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		return View{}
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.group.view()
}

// List returns the status of each upstream of a service, sorted by instance.
func (rt *Router) List(name gypsumhoist.Service) []Status {
	sv, ok := (*rt.services.Load())[name]
	if !ok {
		return nil
	}
	now := rt.now()
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.group.statuses(now)
}

func (gr *Group) view() View {
	return View{Upstreams: gr.active, Ejected: len(gr.ejected), PanicMode: gr.panicMode(), Latency: gr.latency}
}

func (gr *Group) statuses(now time.Duration) []Status {
	var out []Status
	for _, mb := range gr.sorted {
		out = append(out, Status{
			Upstream:        mb.upstream,
			InFlight:        mb.inFlight,
			Latency:         mb.latency,
			FailureRate:     mb.failureRate(now),
			SlowStartFactor: mb.slowStartFactor(now),
			Ejected:         mb.ejection.ejected,
		})
	}
	return out
}
