package router

import (
	"math"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// PaceLifetime is how long after a report of its pace an upstream makes its service one whose upstreams report their pace.
const PaceLifetime = 10 * time.Second

// Bounds on what a load report can change, and the times over which it counts.
const (
	// paceDecay is the time over which a reported pace decays linearly to the usual one.
	paceDecay = 600 * time.Millisecond
	// usualWeight is the weight of one report in the moving averages of pace and service time. An upstream's pace counts relative to its
	// own average, which its measured service time contains already, so that one that always reports the same pace changes nothing.
	usualWeight = 0.05
	// The pace relative to the average is clamped to these bounds, the reported one to a factor of paceRange. Without the latter, the
	// average followed an absurd report for minutes, in which it counted in full.
	paceLowest, paceHighest = 0.5, 4.0
	paceRange               = 10.0
	// maxExtraLoad bounds the requests that an upstream may report beyond those its node knows of, as a share of its slots.
	maxExtraLoad = 0.125
	// minReportedSlots is the lower bound on the reported slots, as a share of the announced ones.
	minReportedSlots = 0.75
	// speedRange bounds how much faster or slower than the median of its service an upstream counts.
	speedRange = 4.0
	// ownInterval is how many picks there are for each one that is judged by the counts of nodes alone, without what upstreams say. It
	// bounds how far a false report can starve an upstream.
	ownInterval = 4
	// capacityInterval is the time between updates of the tables that draw by capacity.
	capacityInterval = 500 * time.Millisecond
	// domainUseTime is the time over which the counts of a failure domain are averaged, and domainUseLeast the least that a count
	// weighs if many come at once. Without a count for domainUseLifetime nothing is known of the domain.
	domainUseTime     = 500 * time.Millisecond
	domainUseLeast    = 0.02
	domainUseLifetime = 2 * time.Second
	// introduceWithin is the time within which each node sends a new upstream a first request, so that it hears its reports.
	introduceWithin = 2 * time.Second
)

// prediction is what the reports of one upstream say for the prediction of its completions.
type prediction struct {
	pace        float64       // pace relative to the usual one, zero if unknown
	usual       float64       // moving average of the reported pace, zero before the first
	extra       float64       // requests beyond those that the upstream's node knows of
	slots       float64       // reported slots, zero if unknown
	at          time.Duration // when the upstream made the report
	serviceTime time.Duration // moving average of the service time that its node measures, zero if unknown
	weight      float64       // capacity at the last update, as a weight in draws
	// newcomer is set from the first view of a new upstream to its first report or attempt; introduceAt is when it gets a first attempt.
	newcomer    bool
	introduceAt time.Duration
}

// loads is the state of a group for services whose upstreams report their pace.
type loads struct {
	until    time.Duration // until when the reports count
	inUse    bool          // the pick in progress uses reports
	own      bool          // the pick in progress is judged without what the upstreams say
	picks    uint
	typical  time.Duration // median service time of the upstreams, zero if unknown
	updateAt time.Duration // when the tables are to be updated
	// newcomers are the new upstreams of the tiers that this node has not sent a request yet.
	newcomers []*member
	times     []time.Duration // buffers of update
	weights   []float64
}

// changed notes that the tiers have changed.
func (ls *loads) changed() {
	ls.updateAt = 0
	ls.newcomers = ls.newcomers[:0]
}

// reportLoad records the load that an upstream reports.
func (gr *Group) reportLoad(now time.Duration, in gypsumhoist.Instance, rp LoadReport) {
	if rp.PacePercent > 0 {
		gr.loads.until = max(gr.loads.until, now-rp.Age+PaceLifetime)
	}
	mb, known := gr.members[in]
	if !known || !mb.recordReport(now-rp.Age, rp) || !mb.prediction.newcomer || mb.upstream.State != StateReady {
		return
	}
	// A new upstream that reports its pace is used at its share; one that names a rate limit starts slowly.
	mb.prediction.newcomer = false
	if !gr.beliefs[in].rateLimit.Limited() {
		mb.inSlowStart = false
	}
}

// recordReport records a report that the upstream made at a time, unless a later one is known, and reports whether it names a pace.
func (mb *member) recordReport(at time.Duration, rp LoadReport) bool {
	pd := &mb.prediction
	if pd.slots > 0 && at < pd.at {
		return false
	}
	pd.at = at
	pd.extra = max(0, min(float64(rp.Running+rp.Waiting-rp.InFlight), maxExtraLoad*mb.slots))
	pd.slots = max(minReportedSlots*mb.slots, min(float64(rp.Slots), mb.slots))
	if rp.ServiceTime > 0 {
		pd.serviceTime = weightedMean(pd.serviceTime, rp.ServiceTime, usualWeight)
	}
	if rp.PacePercent == 0 {
		pd.pace = 0
		return false
	}
	pace := max(1/paceRange, min(float64(rp.PacePercent)/gypsumhoist.PaceUsual, paceRange))
	if pd.usual == 0 {
		pd.usual = 1
	}
	pd.usual += usualWeight * (min(pace, paceHighest*pd.usual) - pd.usual)
	pd.pace = max(paceLowest, min(pace/pd.usual, paceHighest))
	return true
}

// paceNow returns the pace that is expected now, relative to the usual one.
func (pd *prediction) paceNow(now time.Duration) float64 {
	age := now - pd.at
	if pd.pace == 0 || age >= paceDecay {
		return 1
	}
	return 1 + (pd.pace-1)*(1-float64(age)/float64(paceDecay))
}

// beginPick decides whether the pick that begins uses load reports, and updates what they need.
func (gr *Group) beginPick(now time.Duration) {
	ls := &gr.loads
	inUse := now < ls.until
	if !inUse && ls.inUse {
		ls.inUse = false
		gr.updateSpilling(now)
	}
	ls.inUse = inUse
	if !inUse {
		return
	}
	ls.picks++
	ls.own = ls.picks%ownInterval == 0
	if now >= ls.updateAt {
		gr.updateCapacities(now)
		gr.updateSpilling(now)
	}
}

// updateCapacities computes the weights of the members anew: slots divided by service time.
func (gr *Group) updateCapacities(now time.Duration) {
	ls := &gr.loads
	ls.updateAt = now + capacityInterval
	ls.times = ls.times[:0]
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			if mb.prediction.serviceTime > 0 {
				ls.times = append(ls.times, mb.prediction.serviceTime)
			}
		}
	}
	ls.typical = 0
	if len(ls.times) > 0 {
		slices.Sort(ls.times)
		ls.typical = ls.times[len(ls.times)/2]
	}
	for at := range gr.tiers {
		tr := &gr.tiers[at]
		ls.weights = ls.weights[:0]
		for _, mb := range tr.members {
			mb.prediction.weight = mb.slots / gr.serviceTime(mb)
			ls.weights = append(ls.weights, mb.prediction.weight)
		}
		tr.byCapacity.fill(ls.weights)
	}
}

// serviceTime returns the time in seconds that a member takes for a request at its usual pace, bounded to a range around the
// median of the service. Where no service time is reported, it is the latency that this node has measured, or else the median.
func (gr *Group) serviceTime(mb *member) float64 {
	took, typical := mb.prediction.serviceTime, gr.loads.typical
	if took == 0 {
		took = mb.latency
	}
	switch {
	case typical == 0 && took == 0:
		return 1
	case typical == 0:
		return took.Seconds()
	case took == 0:
		return typical.Seconds()
	}
	return max(typical.Seconds()/speedRange, min(took.Seconds(), typical.Seconds()*speedRange))
}

// tableOf returns the table that the pick in progress draws from.
func (gr *Group) tableOf(tr *tier) *aliasTable {
	if gr.loads.inUse {
		return &tr.byCapacity
	}
	return &tr.table
}

// use returns the utilisation of a member with one more request, by what it reports where that is used.
func (gr *Group) use(now time.Duration, mb *member) float64 {
	age := now - mb.prediction.at
	if gr.loads.own || mb.prediction.slots == 0 || age >= loadReportLifetime {
		return gr.utilisation(now, mb)
	}
	held := mb.expectedLoad(now) + mb.prediction.extra*(1-float64(age)/float64(loadReportLifetime))
	capacity := max(minCapacity, min(mb.capacity(now), mb.prediction.slots*mb.slowStartFactor(now)))
	return (held+1)/capacity + failurePenalty*mb.failureRate(now)
}

// utilisation returns the utilisation of a member with one more request, as its node counts it.
func (gr *Group) utilisation(now time.Duration, mb *member) float64 {
	if !gr.loads.inUse {
		return mb.utilisation(now)
	}
	return (mb.expectedLoad(now)+1)/mb.capacity(now) + failurePenalty*mb.failureRate(now)
}

// saturated reports whether a member has no room for one more request, fails too often, or is leaving.
func (gr *Group) saturated(now time.Duration, mb *member) bool {
	return now < mb.overloadedUntil || now < mb.leavingUntil || gr.utilisation(now, mb) > 1
}

// expectedLoad returns an estimate of the number of requests that the upstream holds. As the last count of its node gets older, the mean
// of its failure domain takes its place: a node of many hears of each upstream too rarely to know it, but often enough of the domain.
func (mb *member) expectedLoad(now time.Duration) float64 {
	mean := mb.domainUse.now(now) * mb.slots
	age := float64(now-mb.reportedAt) / float64(loadReportLifetime)
	if age >= 1 {
		return float64(mb.inFlight) + mean
	}
	return float64(mb.inFlight) + mb.reportedOthers + (mean-mb.reportedOthers)*age
}

// domainUse is the mean of the requests of other nodes for each slot in a failure domain, over the counts heard of lately.
type domainUse struct {
	mean float64
	at   time.Duration // of the last count
}

// add adds a count that was just heard of.
func (du *domainUse) add(now time.Duration, use float64) {
	weight := 1.0
	if du.at > 0 {
		weight = 1 - math.Exp(-max(float64(now-du.at)/float64(domainUseTime), domainUseLeast))
	}
	du.mean += weight * (use - du.mean)
	du.at = now
}

// now returns the mean, zero if nothing has been heard for domainUseLifetime.
func (du *domainUse) now(now time.Duration) float64 {
	if du == nil || du.at == 0 || now-du.at > domainUseLifetime {
		return 0
	}
	return du.mean
}

// predictedCompletion returns the time in which a member is expected to complete one more request, as a multiple of the typical service
// time: requests held divided by slots, times pace and service time. Recent refusals and failures add to it.
//
// Draws are in proportion to capacity, so that fast members are drawn more often already. The service time counts in full up to a
// utilisation of a half, and no longer at one, where all members complete alike late: if it counts in full there too, the fast
// members are filled beyond their slots, and 0.074 of the attempts are refused instead of 0.022 (demand equal to the capacity).
func (gr *Group) predictedCompletion(now time.Duration, mb *member) float64 {
	use := gr.use(now, mb)
	if now < mb.overloadedUntil {
		use++
	}
	if now < mb.leavingUntil {
		use += leavingCost
	}
	completion := use
	if gr.loads.typical > 0 {
		slowness := gr.serviceTime(mb) / gr.loads.typical.Seconds()
		completion *= 1 + (slowness-1)*max(0, min(1, 2-2*use))
	}
	if gr.loads.own {
		return completion
	}
	return completion * mb.prediction.paceNow(now)
}

// newcomer returns a new upstream that is due for its first attempt by this node, or nil. The nodes' first attempts are spread over
// introduceWithin, and one that may not run twice is not used for them,
// nor a large one that would leave the domain.
func (gr *Group) newcomer(now time.Duration, rq *Request, exclude []gypsumhoist.Instance) *member {
	if len(gr.loads.newcomers) == 0 || !rq.Idempotent || !gr.loads.inUse {
		return nil
	}
	for at, mb := range gr.loads.newcomers {
		if mb.prediction.introduceAt == 0 {
			mb.prediction.introduceAt = now + 1 + time.Duration(gr.random.Int64N(int64(introduceWithin)))
		}
		if mb.away != nil && (rq.Bytes > mediumBytes || gr.spillover.Mode == SpilloverOff) {
			continue
		}
		if now < mb.prediction.introduceAt || slices.Contains(exclude, mb.upstream.Instance) {
			continue
		}
		gr.loads.newcomers = slices.Delete(gr.loads.newcomers, at, at+1)
		if mb.prediction.newcomer && mb.inFlight == 0 && !mb.ejection.ejected {
			return mb
		}
		return nil
	}
	return nil
}
