package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	maxDraws       = 4   // random draws for one candidate before a scan of all members
	distanceMargin = 0.1 // utilisation by which a farther upstream must be lower when all are saturated
	leavingCost    = 10  // utilisation added after ResultLeaving
)

// choice is a member chosen for one attempt.
type choice struct {
	member *member
	probe  bool
}

// pick chooses a member and counts an attempt in flight on it. The member is nil if there is none.
func (gr *Group) pick(now time.Duration, rq *Request, exclude []gypsumhoist.Instance) choice {
	if mb := gr.dueProbe(now, rq.Idempotent, exclude); mb != nil {
		mb.ejection.probing = true
		mb.inFlight++
		return choice{member: mb, probe: true}
	}
	gr.beginPick(now)
	mb := gr.newcomer(now, rq, exclude)
	if mb == nil {
		mb = gr.choose(now, rq, exclude)
	}
	if mb != nil {
		mb.inFlight++
		if gr.loads.inUse {
			gr.countPick(now, mb)
		}
	}
	return choice{member: mb}
}

// dueProbe returns an ejected member that is due for a probe, or nil.
func (gr *Group) dueProbe(now time.Duration, idempotent bool, exclude []gypsumhoist.Instance) *member {
	for _, mb := range gr.ejected {
		if mb.ejection.probeDue(now, idempotent) && !slices.Contains(exclude, mb.upstream.Instance) {
			return mb
		}
	}
	return nil
}

// choose takes one candidate per tier and returns the nearest that is not saturated, or else a stopping member that is not
// saturated. If all are saturated, it returns the least utilised candidate, or a stopping member if that candidate is leaving.
// A silent member is the last resort; an unreachable one is never chosen.
//
// For services whose upstreams report their pace, chooseByCost decides whether a call leaves the nearest tier.
func (gr *Group) choose(now time.Duration, rq *Request, exclude []gypsumhoist.Instance) *member {
	var best *member
	var bestUse float64
	tiers := gr.tiers
	if gr.loads.inUse && gr.spillover.Mode != SpilloverOverflow && len(tiers) > 0 {
		best = gr.chooseByCost(now, rq, exclude)
		if best != nil && !gr.saturated(now, best) {
			return best
		}
		if best != nil {
			tiers = nil
		}
	}
	for at := range tiers {
		mb := gr.betterOfTwo(now, &gr.tiers[at], exclude)
		if mb == nil {
			continue
		}
		if !gr.saturated(now, mb) {
			return mb
		}
		use := gr.utilisation(now, mb)
		if best == nil || use < bestUse-distanceMargin {
			best, bestUse = mb, use
		}
	}
	stopping := gr.cheapest(now, gr.stopping, exclude)
	if best != nil && (stopping == nil || gr.saturated(now, stopping) && now >= best.leavingUntil) {
		return best
	}
	return cmp.Or(stopping, gr.cheapest(now, gr.silent, exclude))
}

// cheapest returns the usable member of the lowest cost, or nil.
func (gr *Group) cheapest(now time.Duration, members []*member, exclude []gypsumhoist.Instance) *member {
	var best *member
	for _, mb := range members {
		if gr.usable(mb, exclude) && (best == nil || gr.cost(now, mb) < gr.cost(now, best)) {
			best = mb
		}
	}
	return best
}

// pickAmong chooses the usable member of the lowest cost among the given instances, and counts an attempt in flight on it.
func (gr *Group) pickAmong(now time.Duration, among []gypsumhoist.Instance) *member {
	gr.beginPick(now)
	var members []*member
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			if slices.Contains(among, mb.upstream.Instance) {
				members = append(members, mb)
			}
		}
	}
	mb := gr.cheapest(now, members, nil)
	if mb != nil {
		mb.inFlight++
	}
	return mb
}

// available counts the members that an attempt could go to: those of the tiers, including ejected ones, and at most one that is
// stopping.
func (gr *Group) available(now time.Duration, exclude []gypsumhoist.Instance) int {
	num := 0
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			if !slices.Contains(exclude, mb.upstream.Instance) {
				num++
			}
		}
	}
	if gr.cheapest(now, gr.stopping, exclude) != nil {
		num++
	}
	return num
}

// betterOfTwo draws two members of a tier and returns the one of lower cost.
func (gr *Group) betterOfTwo(now time.Duration, tr *tier, exclude []gypsumhoist.Instance) *member {
	one := gr.draw(now, tr, exclude)
	if one == nil || len(tr.members) == 1 {
		return one
	}
	two := gr.draw(now, tr, exclude)
	if one == two {
		two = gr.draw(now, tr, exclude)
	}
	if gr.cost(now, two) < gr.cost(now, one) {
		return two
	}
	return one
}

// cost returns the utilisation of a member with penalties for recent refusals, multiplied by its latency if that is known,
// or its predicted completion if upstreams of the service report their pace.
func (gr *Group) cost(now time.Duration, mb *member) float64 {
	if gr.loads.inUse {
		return gr.predictedCompletion(now, mb)
	}
	cost := mb.utilisation(now)
	if now < mb.overloadedUntil {
		cost++
	}
	if now < mb.leavingUntil {
		cost += leavingCost
	}
	if mb.latency > 0 {
		cost *= mb.latency.Seconds()
	}
	return cost
}

// draw returns a random usable member in proportion to its slots, or capacity, and slow-start factor, or nil.
func (gr *Group) draw(now time.Duration, tr *tier, exclude []gypsumhoist.Instance) *member {
	for range maxDraws {
		mb := tr.members[gr.tableOf(tr).draw(gr.random)]
		if gr.usable(mb, exclude) && gr.passesSlowStart(now, mb) {
			return mb
		}
	}
	from := gr.random.IntN(len(tr.members))
	for at := range tr.members {
		mb := tr.members[(from+at)%len(tr.members)]
		if gr.usable(mb, exclude) {
			return mb
		}
	}
	return nil
}

func (gr *Group) usable(mb *member, exclude []gypsumhoist.Instance) bool {
	if mb.ejection.ejected && !gr.panicMode() {
		return false
	}
	return !slices.Contains(exclude, mb.upstream.Instance)
}

func (gr *Group) passesSlowStart(now time.Duration, mb *member) bool {
	factor := mb.slowStartFactor(now)
	return factor >= 1 || gr.random.Float64() < factor
}

// change is the effect of an outcome on the ejection of a member.
type change uint8

const (
	changeNone change = iota
	changeEjected
	changeReturned
)

// done records the outcome of an attempt.
func (gr *Group) done(now time.Duration, ch choice, oc Outcome) change {
	mb := ch.member
	mb.inFlight--
	mb.record(now, oc)
	if oc.Result == ResultAnswered {
		gr.latency = updateMean(gr.latency, oc.Latency)
	}
	gr.countEnd(now, mb, oc)
	if ch.probe {
		if mb.ejection.endProbe(now, oc.Result) {
			gr.readmit(now, mb)
			return changeReturned
		}
		return changeNone
	}
	if oc.Result != ResultFailed || mb.ejection.ejected {
		return changeNone
	}
	failing := mb.consecutiveFailures >= ejectConsecutiveFailures || mb.failureRate(now) >= ejectFailureRate
	if failing && gr.isOutlier(now, mb) && gr.eject(now, mb) {
		return changeEjected
	}
	return changeNone
}
