package admitter

import "time"

// Parameters of the estimates of service time.
const (
	lowQuantile  = 0.3  // quantile that low follows
	estimateStep = 0.06 // step of an estimate per sample, as a share of the estimate
	shortestRise = 0.02 // share by which shortest rises with each longer sample

	routesMax             = 128                    // routes that have their own estimates
	estimateStaleAfter    = 500 * time.Millisecond // age of the last sample from which on an estimate is probed
	estimateProbeInterval = 200 * time.Millisecond // pause between such probes
)

// serviceTime estimates the service time of one route from a stream of samples.
type serviceTime struct {
	shortest time.Duration // recent minimum
	low      time.Duration // three of ten requests take less
	median   time.Duration

	sampledAt time.Duration
	probedAt  time.Duration
}

func (st *serviceTime) sample(took time.Duration) {
	if st.median == 0 {
		st.shortest, st.low, st.median = took, took, took
		return
	}
	st.shortest = min(took, st.shortest+time.Duration(shortestRise*float64(st.shortest))+1)
	st.low = step(st.low, took, lowQuantile)
	st.median = step(st.median, took, 0.5)
}

// sampleAtLeast adds a request that was canceled after a time, which is a lower bound of its service time.
func (st *serviceTime) sampleAtLeast(took time.Duration) {
	if took > st.low {
		st.sample(took)
	}
}

// step moves an estimate towards a quantile.
func step(estimate, took time.Duration, quantile float64) time.Duration {
	if took < estimate {
		return max(took, estimate-time.Duration(estimateStep*(1-quantile)*float64(estimate)))
	}
	return min(took, estimate+time.Duration(estimateStep*quantile*float64(estimate))+1)
}

// serviceTimes holds the estimates of an upstream, over all requests and by route.
type serviceTimes struct {
	all     serviceTime
	byRoute map[string]*serviceTime
}

// forRoute returns the estimates of a route, which it adds if there is room, and else those over all requests.
func (ts *serviceTimes) forRoute(route string) *serviceTime {
	if st, ok := ts.byRoute[route]; ok {
		return st
	}
	if len(ts.byRoute) >= routesMax {
		return &ts.all
	}
	st := &serviceTime{}
	ts.byRoute[route] = st
	return st
}

func (ts *serviceTimes) sample(now time.Duration, route string, took time.Duration) {
	ts.all.sample(took)
	if st := ts.forRoute(route); st != &ts.all {
		st.sample(took)
		st.sampledAt = now
	}
}

func (ts *serviceTimes) sampleAtLeast(now time.Duration, route string, took time.Duration) {
	ts.all.sampleAtLeast(took)
	if st := ts.forRoute(route); st != &ts.all {
		st.sampleAtLeast(took)
		st.sampledAt = now
	}
}

// probe reports whether a request should run although its estimate exceeds its deadline, as its route has had no sample for
// a while. Without probes an estimate above all deadlines would never be corrected.
func (ts *serviceTimes) probe(now time.Duration, route string) bool {
	st := ts.forRoute(route)
	if now-st.sampledAt < estimateStaleAfter || now-st.probedAt < estimateProbeInterval {
		return false
	}
	st.probedAt = now
	return true
}

// low returns the low quantile of a route's service time.
func (ts *serviceTimes) low(route string) time.Duration {
	if st := ts.byRoute[route]; st != nil {
		return st.low
	}
	return ts.fallback(ts.all.low)
}

// shortest returns the shortest recent service time of a route.
func (ts *serviceTimes) shortest(route string) time.Duration {
	if st := ts.byRoute[route]; st != nil {
		return st.shortest
	}
	return ts.fallback(ts.all.shortest)
}

// fallback returns the estimate for a route without its own: zero while there is room for one, else the estimate over all.
func (ts *serviceTimes) fallback(all time.Duration) time.Duration {
	if len(ts.byRoute) < routesMax {
		return 0
	}
	return all
}
