package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Constants of a pick.
const (
	drawsMax  = 4   // draws for one candidate before all members are looked through
	farMargin = 0.1 // utilisation by which a farther upstream must be better when all are short
	goneCost  = 10  // utilisation that a refusal of one that leaves counts as
)

// choice is one attempt's claim on a member.
type choice struct {
	member *member
	probe  bool
}

// pick chooses a member and counts an attempt on it. The member is nil if there is none.
func (gr *Group) pick(now time.Duration, idempotent bool, exclude []gypsumhoist.Instance) choice {
	if mb := gr.probe(now, idempotent, exclude); mb != nil {
		mb.health.probing = true
		mb.inFlight++
		return choice{member: mb, probe: true}
	}
	mb := gr.choose(now, exclude)
	if mb != nil {
		mb.inFlight++
	}
	return choice{member: mb}
}

// probe returns an ejected member that is due for a probe.
func (gr *Group) probe(now time.Duration, idempotent bool, exclude []gypsumhoist.Instance) *member {
	for _, mb := range gr.out {
		if mb.health.due(now, idempotent) && !slices.Contains(exclude, mb.upstream.Instance) {
			return mb
		}
	}
	return nil
}

// choose takes the nearest member with room, then one that is stopping and has room; if none has room, the least utilised
// candidate. One that is silent is better than none, one that can't be reached is not.
func (gr *Group) choose(now time.Duration, exclude []gypsumhoist.Instance) *member {
	var best *member
	var bestUse float64
	for at := range gr.tiers {
		mb := gr.better(now, &gr.tiers[at], exclude)
		if mb == nil {
			continue
		}
		if !mb.short(now) {
			return mb
		}
		use := mb.utilisation(now)
		if best == nil || use < bestUse-farMargin {
			best, bestUse = mb, use
		}
	}
	last := gr.spare(now, gr.stopping, exclude)
	if best != nil && (last == nil || last.short(now) && now >= best.goneUntil) {
		return best
	}
	return cmp.Or(last, gr.spare(now, gr.silent, exclude))
}

// spare returns the least utilised of some members that can be used.
func (gr *Group) spare(now time.Duration, members []*member, exclude []gypsumhoist.Instance) *member {
	var best *member
	for _, mb := range members {
		if gr.usable(mb, exclude) && (best == nil || gr.cost(now, mb) < gr.cost(now, best)) {
			best = mb
		}
	}
	return best
}

// pickOf chooses the least utilised of some members that can still be used, and counts an attempt on it.
func (gr *Group) pickOf(now time.Duration, among []gypsumhoist.Instance) *member {
	var members []*member
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			if slices.Contains(among, mb.upstream.Instance) {
				members = append(members, mb)
			}
		}
	}
	mb := gr.spare(now, members, nil)
	if mb != nil {
		mb.inFlight++
	}
	return mb
}

// left counts the members that can be used.
func (gr *Group) left(now time.Duration, exclude []gypsumhoist.Instance) int {
	num := 0
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			if !slices.Contains(exclude, mb.upstream.Instance) {
				num++
			}
		}
	}
	if gr.spare(now, gr.stopping, exclude) != nil {
		num++
	}
	return num
}

// better returns the better of two random members of a tier.
func (gr *Group) better(now time.Duration, tr *tier, exclude []gypsumhoist.Instance) *member {
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

// cost orders members: utilisation, weighed by latency, and last those that just refused.
func (gr *Group) cost(now time.Duration, mb *member) float64 {
	cost := mb.utilisation(now)
	if now < mb.shortUntil {
		cost++
	}
	if now < mb.goneUntil {
		cost += goneCost
	}
	if mb.latency > 0 {
		cost *= mb.latency.Seconds()
	}
	return cost
}

// draw returns a random member that can be used, in proportion to its slots and warmth.
func (gr *Group) draw(now time.Duration, tr *tier, exclude []gypsumhoist.Instance) *member {
	for range drawsMax {
		mb := tr.members[tr.alias.draw(gr.random)]
		if gr.usable(mb, exclude) && gr.warmEnough(now, mb) {
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
	if mb.health.out && !gr.panicking() {
		return false
	}
	return !slices.Contains(exclude, mb.upstream.Instance)
}

func (gr *Group) warmEnough(now time.Duration, mb *member) bool {
	warmth := mb.warmth(now)
	return warmth >= 1 || gr.random.Float64() < warmth
}

// change is what an outcome did to a member's place in its group.
type change uint8

const (
	changeNone change = iota
	changeEjected
	changeReturned
)

// done takes the outcome of an attempt.
func (gr *Group) done(now time.Duration, ch choice, oc Outcome) change {
	mb := ch.member
	mb.inFlight--
	mb.measure(now, oc)
	if oc.Result == ResultAnswered {
		gr.latency = blendLatency(gr.latency, oc.Latency)
	}
	if ch.probe {
		if mb.health.probed(now, oc.Result) {
			gr.restore(now, mb)
			return changeReturned
		}
		return changeNone
	}
	if oc.Result != ResultFailed || mb.health.out {
		return changeNone
	}
	failing := mb.failuresInRow >= ejectInRow || mb.failing(now) >= ejectFailing
	if failing && gr.outlier(now, mb) && gr.eject(now, mb) {
		return changeEjected
	}
	return changeNone
}
