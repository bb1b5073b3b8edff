package forwarder

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

// Bounds of what a node learns about nested calls.
const (
	nestedRoutesMax  = 4096
	nestedTargetsMax = 16 // per route
)

// nestedTargets holds the targets of the nested calls that a node's upstream makes for each route.
// It is safe for concurrent use; the zero value is empty.
type nestedTargets struct {
	mu     sync.RWMutex
	routes map[string][]admitter.Target
}

// learn adds the targets of a nested call to the route of its parent.
func (nt *nestedTargets) learn(cl *call) {
	if cl.parent == nil {
		return
	}
	route := cl.parent.Route
	nt.mu.RLock()
	known := slices.Contains(nt.routes[route], cl.target())
	nt.mu.RUnlock()
	if known {
		return
	}
	nt.mu.Lock()
	defer nt.mu.Unlock()
	if nt.routes == nil {
		nt.routes = map[string][]admitter.Target{}
	}
	tgs := nt.routes[route]
	if len(tgs)+2 > nestedTargetsMax || tgs == nil && len(nt.routes) >= nestedRoutesMax || slices.Contains(tgs, cl.target()) {
		return
	}
	nt.routes[route] = append(slices.Clip(tgs), cl.target(), cl.routeTarget())
}

// cutOff returns the highest importance below which a target of a route's nested calls sheds now,
// and the age of that information.
func (nt *nestedTargets) cutOff(route string, fw *Forwarder) (gypsumhoist.Importance, time.Duration) {
	nt.mu.RLock()
	tgs := nt.routes[route]
	nt.mu.RUnlock()
	var highest gypsumhoist.Importance
	var highestAge time.Duration
	for _, tg := range tgs {
		cut, age := fw.forecaster.CutOffAge(tg, fw.router.View(tg.Service).Upstreams)
		if tg.Route == "" {
			cut = admitter.NestedCutOff(cut, 1)
		}
		if cut > highest {
			highest, highestAge = cut, age
		}
	}
	return highest, highestAge
}

// target returns the service that a call goes to.
func (cl *call) target() admitter.Target { return admitter.Target{Service: cl.service} }

// routeTarget returns the service together with the route, for the cut-offs of services further down the chain.
func (cl *call) routeTarget() admitter.Target {
	return admitter.Target{Service: cl.service, Route: cl.row.Route}
}

// checkForecast refuses a caller's request at its entry if nearly all upstreams,
// or those of a service further down its chain, would refuse it.
func (fw *Forwarder) checkForecast(cl *call) *gypsumhoist.Refusal {
	if cl.depth > 0 {
		return nil
	}
	upstreams := fw.router.View(cl.service).Upstreams
	if rf := fw.forecaster.Refuse(cl.target(), cl.importance, upstreams); rf != nil {
		return rf
	}
	return fw.forecaster.Refuse(cl.routeTarget(), cl.importance, upstreams)
}

// serviceOverloaded reports whether nearly all upstreams would refuse a retry for overload, too.
func (fw *Forwarder) serviceOverloaded(cl *call, upstreams int) bool {
	return fw.forecaster.Overloaded(cl.target(), cl.importance, cl.depth, upstreams) ||
		fw.forecaster.Overloaded(cl.routeTarget(), cl.importance, 0, upstreams)
}

// overloadDetail describes the cut-offs for which serviceOverloaded is true.
func (fw *Forwarder) overloadDetail(cl *call) string {
	upstreams := fw.router.View(cl.service).Upstreams
	return fmt.Sprintf("requests below importance %d are refused, on the route below %d, by nearly all of %d upstreams",
		fw.forecaster.CutOff(cl.target(), upstreams), fw.forecaster.CutOff(cl.routeTarget(), upstreams), upstreams)
}
