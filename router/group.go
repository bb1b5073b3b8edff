package router

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/prober"
)

// Delays of domains that form one tier differ by less than this.
const tierBand = 2 * time.Millisecond

// delayNoise is a change of delay that doesn't matter.
const delayNoise = 500 * time.Microsecond

// delayUnknown stands for the delay of a domain that nobody has measured.
const delayUnknown = time.Millisecond

// Group holds the upstreams of one service, without clock or goroutine.
// It is for one goroutine at a time. The zero value is not usable; call NewGroup.
type Group struct {
	local   gypsumhoist.FailureDomain
	random  *rand.Rand
	delays  map[gypsumhoist.FailureDomain]time.Duration
	members map[gypsumhoist.Instance]*member
	list    []*member // in order of instances, those that leave too
	reach   prober.Reach
	tiers   []tier
	// stopping and silent hold members that take work only where those of the tiers can't.
	stopping, silent []*member
	out              []*member     // ejected ones
	open             int           // members of the tiers
	slots            float64       // of members of the tiers
	outside          float64       // of ejected members
	latency          time.Duration // mean of answers
	seen             bool          // SetUpstreams was called
}

// tier is a set of upstreams at about the same distance.
type tier struct {
	members []*member
	alias   alias
}

// NewGroup returns a group without upstreams, seen from a local failure domain.
func NewGroup(local gypsumhoist.FailureDomain, random *rand.Rand) *Group {
	return &Group{
		local:   local,
		random:  random,
		delays:  map[gypsumhoist.FailureDomain]time.Duration{},
		members: map[gypsumhoist.Instance]*member{},
	}
}

// SetUpstreams replaces the view of the service. What was measured on an upstream is kept as
// long as its boot stays the same. Upstreams that are new to a view that was there before, and
// those that end warming, begin a slow start; one that has run for long by its own word does not.
func (gr *Group) SetUpstreams(now time.Duration, upstreams []Upstream) {
	members := make(map[gypsumhoist.Instance]*member, len(upstreams))
	for _, up := range upstreams {
		members[up.Instance] = gr.renew(now, up)
	}
	gr.members = members
	gr.seen = true
	gr.list = gr.list[:0]
	for _, mb := range members {
		gr.list = append(gr.list, mb)
	}
	slices.SortFunc(gr.list, func(ma, mb *member) int { return cmp.Compare(ma.upstream.Instance, mb.upstream.Instance) })
	gr.build()
}

func (gr *Group) renew(now time.Duration, up Upstream) *member {
	old, known := gr.members[up.Instance]
	if !known || old.upstream.Boot != up.Boot {
		mb := &member{
			upstream: up, slots: float64(max(up.Slots, 1)), hintAt: -hintLife, failuresAt: -failureFade,
			slowFor: slowStart, warmingAt: now,
		}
		if gr.seen {
			mb.chill(now - up.Age)
		}
		return mb
	}
	if old.upstream.State == StateWarming && up.State == StateReady {
		old.chill(now)
		old.slowFor = min(max(now-old.warmingAt, slowStartLeast), slowStart)
	}
	if old.upstream.State != StateWarming && up.State == StateWarming {
		old.warmingAt = now
	}
	old.upstream = up
	old.slots = float64(max(up.Slots, 1))
	return old
}

// SetDelay takes the measured delay to a failure domain.
func (gr *Group) SetDelay(dm gypsumhoist.FailureDomain, delay time.Duration) {
	old, known := gr.delays[dm]
	if known && (delay-old).Abs() < delayNoise {
		return
	}
	gr.delays[dm] = delay
	gr.build()
}

// SetReach takes what the node can reach.
func (gr *Group) SetReach(reach prober.Reach) {
	gr.reach = reach
	gr.build()
}

// build sorts the members that can be reached and don't leave into tiers, the nearest first.
func (gr *Group) build() {
	gr.tiers = gr.tiers[:0]
	gr.out, gr.stopping, gr.silent = gr.out[:0], gr.stopping[:0], gr.silent[:0]
	gr.open, gr.slots, gr.outside = 0, 0, 0
	var open []*member
	for _, mb := range gr.list {
		grade := gr.reach.GradeOf(prober.Member{Peer: mb.upstream.Peer, Domain: mb.upstream.Domain})
		switch {
		case mb.upstream.State == StateLeaving, grade == prober.GradeUnreachable:
			continue
		case grade == prober.GradeSilent:
			gr.silent = append(gr.silent, mb)
			continue
		case mb.upstream.State == StateStopping:
			gr.stopping = append(gr.stopping, mb)
			continue
		}
		open = append(open, mb)
		gr.open++
		gr.slots += mb.slots
		if mb.health.out {
			gr.out = append(gr.out, mb)
			gr.outside += mb.slots
		}
	}
	slices.SortStableFunc(open, func(ma, mb *member) int { return cmp.Compare(gr.distance(ma), gr.distance(mb)) })
	for from := 0; from < len(open); {
		to := from + 1
		for to < len(open) && gr.sameTier(open[from], open[to]) {
			to++
		}
		gr.tiers = append(gr.tiers, newTier(open[from:to]))
		from = to
	}
}

func newTier(members []*member) tier {
	weights := make([]float64, len(members))
	for at, mb := range members {
		weights[at] = mb.slots
	}
	return tier{members: members, alias: newAlias(weights)}
}

// distance returns the delay to a member's domain, less than zero for the local one.
func (gr *Group) distance(mb *member) time.Duration {
	if mb.upstream.Domain == gr.local {
		return -1
	}
	if delay, ok := gr.delays[mb.upstream.Domain]; ok {
		return max(delay, 0)
	}
	return delayUnknown
}

func (gr *Group) sameTier(near, far *member) bool {
	if (near.upstream.Domain == gr.local) != (far.upstream.Domain == gr.local) {
		return false
	}
	return gr.distance(far)-gr.distance(near) < tierBand
}

// panicking reports whether so much is ejected that ejections no longer count.
func (gr *Group) panicking() bool {
	return len(gr.out) > 0 && gr.slots-gr.outside < panicCapacity*gr.slots
}

// outlier reports whether a member fails clearly more often than the others. Where all fail alike, what they have in common fails,
// and leaving one out only adds to the load of the rest.
func (gr *Group) outlier(now time.Duration, mb *member) bool {
	sum, num := 0.0, 0
	for at := range gr.tiers {
		for _, other := range gr.tiers[at].members {
			if other != mb && !other.health.out {
				sum += other.failing(now)
				num++
			}
		}
	}
	return num == 0 || mb.failing(now) >= outlierTimes*sum/float64(num)
}

// eject takes a member out if enough others stay.
func (gr *Group) eject(now time.Duration, mb *member) bool {
	most := min(gr.open-1, max(1, int(ejectMost*float64(gr.open))))
	if mb.upstream.State >= StateStopping || gr.members[mb.upstream.Instance] != mb || len(gr.out) >= most {
		return false
	}
	mb.health.begin(now)
	gr.out = append(gr.out, mb)
	gr.outside += mb.slots
	return true
}

// restore ends an ejection with a slow start.
func (gr *Group) restore(now time.Duration, mb *member) {
	mb.chill(now)
	mb.failures = 0
	mb.failuresInRow = 0
	if at := slices.Index(gr.out, mb); at >= 0 {
		gr.out = slices.Delete(gr.out, at, at+1)
		gr.outside -= mb.slots
	}
}
