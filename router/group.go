package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
)

// tierWidth is the difference in delay from the nearest domain of a tier at which the next tier begins.
const tierWidth = 2 * time.Millisecond

// minDelayChange is the smallest change of a delay that is applied; smaller ones are noise.
const minDelayChange = 500 * time.Microsecond

// defaultDelay is assumed for a domain whose delay has not been measured.
const defaultDelay = time.Millisecond

// Group holds the upstreams of one service. It has no clock and no goroutine of its own.
// It is not safe for concurrent use. The zero value is not usable; call NewGroup.
type Group struct {
	local        gypsumhoist.FailureDomain
	random       *rand.Rand
	delays       map[gypsumhoist.FailureDomain]time.Duration
	members      map[gypsumhoist.Instance]*member
	beliefs      map[gypsumhoist.Instance]belief
	sorted       []*member // all members by instance, including draining ones
	reachability prober.Reachability
	evacuated    []gypsumhoist.FailureDomain
	tiers        []tier
	// stopping and silent hold members that get requests only if the tiers can't take them.
	stopping, silent []*member
	ejected          []*member     // ejected members of the tiers
	active           int           // number of members of the tiers
	activeSlots      float64       // slots of the members of the tiers
	ejectedSlots     float64       // slots of the ejected members
	latency          time.Duration // moving average over answers
	initialized      bool          // SetUpstreams has been called
	loads            loads
	domainUses       map[gypsumhoist.FailureDomain]*domainUse
	spillover        Spillover
	aways            []*away // all other domains that the service had upstreams in
	calls, awayCalls decayed // picks by reports, and those of them that left the domain
	// homeEnded and homeRefused count the attempts at home that were answered or refused, and the refused ones.
	homeEnded, homeRefused decayed
	spillChanges           []spillChange // not logged yet
}

// tier is a set of upstreams at about the same distance.
type tier struct {
	members []*member
	table   aliasTable
	// byCapacity draws in proportion to capacity, for services whose upstreams report their pace; empty until then.
	byCapacity aliasTable
}

// NewGroup returns a group without upstreams for a node in the local failure domain.
func NewGroup(local gypsumhoist.FailureDomain, random *rand.Rand) *Group {
	return &Group{
		local:   local,
		random:  random,
		delays:  map[gypsumhoist.FailureDomain]time.Duration{},
		members: map[gypsumhoist.Instance]*member{},
		beliefs: map[gypsumhoist.Instance]belief{},

		domainUses: map[gypsumhoist.FailureDomain]*domainUse{},
		spillover:  DefaultSpillover,
	}
}

// SetUpstreams replaces the upstreams of the service. Measurements of an upstream are kept while its
// Boot stays the same. Except in the first call, new upstreams begin a slow start, which counts from their
// start as given by Age. Upstreams that become ready after warming begin one as well.
func (gr *Group) SetUpstreams(now time.Duration, upstreams []Upstream) {
	members := make(map[gypsumhoist.Instance]*member, len(upstreams))
	for _, up := range upstreams {
		members[up.Instance] = gr.updateMember(now, up)
	}
	gr.members = members
	gr.initialized = true
	gr.reviewBeliefs()
	gr.sorted = gr.sorted[:0]
	for _, mb := range members {
		gr.sorted = append(gr.sorted, mb)
	}
	slices.SortFunc(gr.sorted, func(ma, mb *member) int { return cmp.Compare(ma.upstream.Instance, mb.upstream.Instance) })
	gr.buildTiers()
}

func (gr *Group) updateMember(now time.Duration, up Upstream) *member {
	old, known := gr.members[up.Instance]
	if !known || old.upstream.Boot != up.Boot {
		mb := &member{
			upstream: up, slots: float64(max(up.Slots, 1)), reportedAt: -loadReportLifetime, failureRateAt: -failureDecayTime,
			slowStartTime: maxSlowStart, warmingSince: now,
		}
		if gr.initialized {
			mb.beginSlowStart(now - up.Age)
			mb.prediction.newcomer = up.State == StateReady
		}
		return mb
	}
	if old.upstream.State == StateWarming && up.State == StateReady {
		old.beginSlowStart(now)
		old.slowStartTime = min(max(now-old.warmingSince, minSlowStart), maxSlowStart)
	}
	if old.upstream.State != StateWarming && up.State == StateWarming {
		old.warmingSince = now
	}
	old.upstream = up
	old.slots = float64(max(up.Slots, 1))
	return old
}

// SetDelay sets the measured delay to a failure domain.
func (gr *Group) SetDelay(dm gypsumhoist.FailureDomain, delay time.Duration) {
	old, known := gr.delays[dm]
	if known && (delay-old).Abs() < minDelayChange {
		return
	}
	gr.delays[dm] = delay
	gr.buildTiers()
}

// SetReachability sets which instances and failure domains the node can reach.
func (gr *Group) SetReachability(re prober.Reachability) {
	gr.reachability = re
	gr.buildTiers()
}

// buildTiers groups the members into tiers by distance, nearest first. It leaves out evacuated, unreachable and draining members, and
// keeps silent and stopping ones apart.
func (gr *Group) buildTiers() {
	gr.tiers = gr.tiers[:0]
	gr.ejected, gr.stopping, gr.silent = gr.ejected[:0], gr.stopping[:0], gr.silent[:0]
	gr.active, gr.activeSlots, gr.ejectedSlots = 0, 0, 0
	var active []*member
	for _, mb := range gr.sorted {
		switch gr.exclusion(mb) {
		case ExclusionEvacuated, ExclusionDraining, ExclusionUnreachable:
			continue
		case ExclusionSilent:
			gr.silent = append(gr.silent, mb)
			continue
		case ExclusionStopping:
			gr.stopping = append(gr.stopping, mb)
			continue
		case ExclusionNone, ExclusionEjected:
		}
		active = append(active, mb)
		gr.active++
		gr.activeSlots += mb.slots
		if mb.ejection.ejected {
			gr.ejected = append(gr.ejected, mb)
			gr.ejectedSlots += mb.slots
		}
	}
	slices.SortStableFunc(active, func(ma, mb *member) int { return cmp.Compare(gr.distance(ma), gr.distance(mb)) })
	for from := 0; from < len(active); {
		to := from + 1
		for to < len(active) && gr.sameTier(active[from], active[to]) {
			to++
		}
		gr.tiers = append(gr.tiers, newTier(active[from:to]))
		from = to
	}
	gr.setAways()
	gr.loads.changed()
	for _, mb := range active {
		if mb.prediction.newcomer && mb.upstream.State == StateReady {
			gr.loads.newcomers = append(gr.loads.newcomers, mb)
		}
	}
}

func newTier(members []*member) tier {
	weights := make([]float64, len(members))
	for at, mb := range members {
		weights[at] = mb.slots
	}
	return tier{members: members, table: newAliasTable(weights)}
}

// distance returns the delay to a member's failure domain, -1 for the local one.
func (gr *Group) distance(mb *member) time.Duration {
	if mb.upstream.Domain == gr.local {
		return -1
	}
	if delay, ok := gr.delays[mb.upstream.Domain]; ok {
		return max(delay, 0)
	}
	return defaultDelay
}

func (gr *Group) sameTier(near, far *member) bool {
	if (near.upstream.Domain == gr.local) != (far.upstream.Domain == gr.local) {
		return false
	}
	return gr.distance(far)-gr.distance(near) < tierWidth
}

// panicMode reports whether ejections are ignored because the members that are not ejected hold too small a share of the slots.
func (gr *Group) panicMode() bool {
	return len(gr.ejected) > 0 && gr.activeSlots-gr.ejectedSlots < panicThreshold*gr.activeSlots
}

// isOutlier reports whether a member fails clearly more often than the others. If all fail alike, the cause is something they
// share, and ejecting one only adds load to the rest.
func (gr *Group) isOutlier(now time.Duration, mb *member) bool {
	sum, num := 0.0, 0
	for at := range gr.tiers {
		for _, other := range gr.tiers[at].members {
			if other != mb && !other.ejection.ejected {
				sum += other.failureRate(now)
				num++
			}
		}
	}
	return num == 0 || mb.failureRate(now) >= outlierFactor*sum/float64(num)
}

// eject ejects a member and reports whether it did. It doesn't if the member is stopping, draining, evacuated or no longer in the group, or
// if too many are ejected.
func (gr *Group) eject(now time.Duration, mb *member) bool {
	limit := min(gr.active-1, max(1, int(maxEjectedShare*float64(gr.active))))
	if mb.upstream.State >= StateStopping || gr.evacuates(mb) || gr.members[mb.upstream.Instance] != mb || len(gr.ejected) >= limit {
		return false
	}
	mb.ejection.begin(now)
	gr.ejected = append(gr.ejected, mb)
	gr.ejectedSlots += mb.slots
	return true
}

// readmit puts a member back after its ejection; it begins a slow start.
func (gr *Group) readmit(now time.Duration, mb *member) {
	mb.beginSlowStart(now)
	mb.lastFailureRate = 0
	mb.consecutiveFailures = 0
	if at := slices.Index(gr.ejected, mb); at >= 0 {
		gr.ejected = slices.Delete(gr.ejected, at, at+1)
		gr.ejectedSlots -= mb.slots
	}
}
