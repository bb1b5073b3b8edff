package forwarder

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/admitter"
)

// Bounds of what a node learns about the services deeper down a route.
const (
	deeperRoutes  = 4096
	deeperTargets = 16 // per route
)

// deeper is what a node has learned of its upstream's own calls: which targets each route leads to.
// It is safe for concurrent use; the zero value has learned nothing.
type deeper struct {
	mu     sync.RWMutex
	routes map[string][]admitter.Target
}

// learn notes that a nested call belongs to a route of its parent.
func (dp *deeper) learn(cl *call) {
	if cl.parent == nil {
		return
	}
	route := cl.parent.Route
	dp.mu.RLock()
	known := slices.Contains(dp.routes[route], cl.target())
	dp.mu.RUnlock()
	if known {
		return
	}
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if dp.routes == nil {
		dp.routes = map[string][]admitter.Target{}
	}
	tgs := dp.routes[route]
	if len(tgs)+2 > deeperTargets || tgs == nil && len(dp.routes) >= deeperRoutes || slices.Contains(tgs, cl.target()) {
		return
	}
	dp.routes[route] = append(slices.Clip(tgs), cl.target(), cl.routeTarget())
}

// cutOff returns the highest importance below which some target down a route sheds now,
// and how old the news of it is.
func (dp *deeper) cutOff(route string, fw *Forwarder) (gypsumhoist.Importance, time.Duration) {
	dp.mu.RLock()
	tgs := dp.routes[route]
	dp.mu.RUnlock()
	var highest gypsumhoist.Importance
	var newest time.Duration
	for _, tg := range tgs {
		cut, age := fw.forecaster.CutOffAge(tg, fw.router.View(tg.Service).Upstreams)
		if tg.Route == "" {
			cut = admitter.NestedCutOff(cut, 1)
		}
		if cut > highest {
			highest, newest = cut, age
		}
	}
	return highest, newest
}

// target is the service that a call goes to.
func (cl *call) target() admitter.Target { return admitter.Target{Service: cl.service} }

// routeTarget is the service together with the route, for what lies deeper.
func (cl *call) routeTarget() admitter.Target {
	return admitter.Target{Service: cl.service, Route: cl.row.Route}
}

// forecast refuses a fresh request at its entry that nearly all upstreams,
// or those of a service deeper down its route, would refuse.
func (fw *Forwarder) forecast(cl *call) *gypsumhoist.Refusal {
	if cl.depth > 0 {
		return nil
	}
	upstreams := fw.router.View(cl.service).Upstreams
	if rf := fw.forecaster.Refuse(cl.target(), cl.importance, upstreams); rf != nil {
		return rf
	}
	return fw.forecaster.Refuse(cl.routeTarget(), cl.importance, upstreams)
}

// overloaded reports whether a retry would meet nearly everywhere what refused the first try.
func (fw *Forwarder) overloaded(cl *call, upstreams int) bool {
	return fw.forecaster.Overloaded(cl.target(), cl.importance, cl.depth, upstreams) ||
		fw.forecaster.Overloaded(cl.routeTarget(), cl.importance, 0, upstreams)
}

// overloadText tells what the belief rests on that nearly all upstreams of a service refuse a call.
func (fw *Forwarder) overloadText(cl *call) string {
	upstreams := fw.router.View(cl.service).Upstreams
	return fmt.Sprintf("below importance %d all refuse, for the route below %d, of %d upstreams",
		fw.forecaster.CutOff(cl.target(), upstreams), fw.forecaster.CutOff(cl.routeTarget(), upstreams), upstreams)
}
