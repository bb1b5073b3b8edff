package admitter

import "time"

// A request whose answer is lost in transit holds its slot until its deadline, though the upstream has finished it. It is
// detected by the answers that arrive meanwhile to requests of its route that began later: it counts as overtaken, and its
// slot is reclaimed.
const (
	// overtakenAnswers is how many answers of its route must have arrived beyond one per slot: those may belong to requests that
	// began earlier.
	overtakenAnswers = 8
	// overtakenServiceTimes is how many service times of its route it must have taken.
	overtakenServiceTimes = 4
	// overtakenShareMax is the share of the slots that may be reclaimed.
	overtakenShareMax = 0.5
	// overtakenCheckInterval is the time between checks of the active requests.
	overtakenCheckInterval = 20 * time.Millisecond
)

// activeRequest is an admitted request that has not ended.
type activeRequest struct {
	route         string
	began         time.Duration
	answersBefore uint64 // answers of its route that had arrived before it began
	reclaimed     bool   // its slot was reclaimed
}

// activeRequests tracks the requests that have not ended. It is not safe for concurrent use. The zero value is empty.
type activeRequests struct {
	requests  map[*activeRequest]struct{}
	answers   map[string]uint64 // answers by route, for routes that have a service time
	reclaimed int
	checkedAt time.Duration
}

// begin adds a request.
func (as *activeRequests) begin(now time.Duration, route string) *activeRequest {
	if as.requests == nil {
		as.requests, as.answers = map[*activeRequest]struct{}{}, map[string]uint64{}
	}
	ar := &activeRequest{route: route, began: now, answersBefore: as.answers[route]}
	as.requests[ar] = struct{}{}
	return ar
}

// end removes a request.
func (as *activeRequests) end(ar *activeRequest, answered bool) {
	delete(as.requests, ar)
	if ar.reclaimed {
		as.reclaimed--
	}
	if _, known := as.answers[ar.route]; answered && (known || len(as.answers) < routesMax) {
		as.answers[ar.route]++
	}
}

// reclaim marks the slots of overtaken requests as reclaimed, and returns their number.
func (as *activeRequests) reclaim(now time.Duration, co *Core) int {
	if now-as.checkedAt < overtakenCheckInterval {
		return 0
	}
	as.checkedAt = now
	most := int(overtakenShareMax * float64(co.limit.slots))
	count := 0
	for ar := range as.requests {
		if ar.reclaimed || as.reclaimed >= most || !as.overtaken(now, ar, co) {
			continue
		}
		ar.reclaimed = true
		as.reclaimed++
		count++
	}
	return count
}

func (as *activeRequests) overtaken(now time.Duration, ar *activeRequest, co *Core) bool {
	st := co.times.byRoute[ar.route]
	if st == nil || st.median == 0 || now-ar.began < overtakenServiceTimes*st.median {
		return false
	}
	return as.answers[ar.route]-ar.answersBefore >= uint64(co.limit.slots+overtakenAnswers)
}
