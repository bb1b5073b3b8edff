package router

import (
	"fmt"
	"math"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// SpilloverMode says when calls leave the failure domain, for services whose upstreams report their pace.
type SpilloverMode uint8

// Modes.
const (
	// SpilloverPriced lets a call leave if no upstream at home has room and leaving costs less than staying.
	SpilloverPriced SpilloverMode = iota
	// SpilloverOverflow takes the nearest domain with room, as for services whose upstreams do not report their pace.
	SpilloverOverflow
	// SpilloverOff lets no call leave while an upstream at home is usable.
	SpilloverOff
)

// Spillover configures leaving the failure domain. The zero value is not usable; see DefaultSpillover.
type Spillover struct {
	Mode SpilloverMode
	// MaxShare is the largest share of a service's calls that may leave a node's domain, over about two seconds.
	MaxShare float64
	// PerMegabyte is the waiting time that a megabyte between domains is worth.
	PerMegabyte time.Duration
}

// DefaultSpillover is the configuration of a router without WithSpillover. A megabyte takes 40 ms on a link of 200 Mbit/s.
var DefaultSpillover = Spillover{Mode: SpilloverPriced, MaxShare: 1, PerMegabyte: 40 * time.Millisecond}

// Request is what a pick needs to know about a call. The zero value describes a call of unknown size, importance and time left.
type Request struct {
	// Idempotent is true if the call may run more than once.
	Idempotent bool
	// Nested is true for a call that an upstream makes for another request.
	Nested     bool
	Importance gypsumhoist.Importance
	// Bytes is the expected size of request and response.
	Bytes int
	// Remaining is the time until the answer is due; zero if that is unknown.
	Remaining time.Duration
}

const (
	// allowanceStart is the allowance of a domain of which nothing is known; allowanceLeast allows a few calls, which find out.
	allowanceStart, allowanceLeast = 0.5, 0.02
	// allowanceStep is added for an answer of an upstream that has room.
	allowanceStep = 0.2
	// An allowance is halved by an answer of a full upstream at most once in allowanceInterval, about the time in which the change shows.
	allowanceInterval = 50 * time.Millisecond
	// allowanceReturn is the time without an answer over which an allowance returns to allowanceStart.
	allowanceReturn = 2 * time.Second
	// delayLifetime is how long a measured delay counts. Then another call finds out.
	delayLifetime = 10 * time.Second
	// awayRoom is the part of its slots up to which an upstream of another domain may be filled to be taken. It keeps room for the
	// domain's own callers.
	awayRoom = 0.9
	// refusedCost is what a refusal costs, in seconds of waiting.
	refusedCost = 1.0
	// homeDraws bounds the upstreams at home that are looked at for one with room.
	homeDraws = 16
	// trafficDecay is the time over which calls count for the share that leaves.
	trafficDecay = 2 * time.Second
	// A domain counts as one that traffic is sent to from spillBegins on, and until spillEnds, as shares of the service's calls.
	spillBegins, spillEnds = 0.02, 0.005
	// spillCallsLeast is how many calls must have left recently for traffic to count as sent away.
	spillCallsLeast = 3
	// spillEventsApart is the shortest time between two changes that are logged of one domain.
	spillEventsApart = 5 * time.Second
)

// Classes of bytes and importance, which add up to the rank in which calls leave.
const (
	smallBytes, mediumBytes, largeBytes = 1 << 10, 16 << 10, 256 << 10
	importantFrom, lessImportantFrom    = 67, 34
)

// away is another failure domain as a destination for the calls of one service.
type away struct {
	domain      gypsumhoist.FailureDomain
	allowance   float64
	allowanceAt time.Duration // when the allowance was changed
	halvedAt    time.Duration
	calls       decayed
	delay       time.Duration // one-way delay as last measured, at delayAt
	delayAt     time.Duration
	// gauged is set once the share has a gauge.
	gauged bool
	// spilling is set while traffic is sent to the domain, changedAt when that began or ended.
	spilling  bool
	changedAt time.Duration
}

// decayed is a count whose older parts weigh less.
type decayed struct {
	value float64
	at    time.Duration
}

func (dc *decayed) now(now time.Duration) float64 {
	return dc.value * math.Exp(-float64(now-dc.at)/float64(trafficDecay))
}

func (dc *decayed) add(now time.Duration, num float64) {
	dc.value = dc.now(now) + num
	dc.at = now
}

// rank returns the order in which a call leaves: 0 is the first to leave, 5 the last.
func (rq *Request) rank() int {
	rank := 0
	switch {
	case rq.Bytes > largeBytes:
		rank = 3
	case rq.Bytes > mediumBytes:
		rank = 2
	case rq.Bytes > smallBytes:
		rank = 1
	}
	switch {
	case rq.Importance < lessImportantFrom:
		rank += 2
	case rq.Importance < importantFrom:
		rank++
	}
	if rq.Nested {
		rank = max(0, rank-1)
	}
	return rank
}

// allowanceNow returns the allowance of a domain.
func (aw *away) allowanceNow(now time.Duration) float64 {
	age := now - aw.allowanceAt
	if age >= allowanceReturn {
		return allowanceStart
	}
	return aw.allowance + (allowanceStart-aw.allowance)*float64(age)/float64(allowanceReturn)
}

// answered updates the allowance after an answer or refusal of an upstream of the domain.
func (aw *away) answered(now time.Duration, use float64, refused bool) {
	allowance := aw.allowanceNow(now)
	switch {
	case refused || use > 1:
		if now-aw.halvedAt < allowanceInterval {
			return
		}
		aw.halvedAt = now
		allowance = max(allowanceLeast, allowance/2)
	case use <= awayRoom:
		allowance = min(1, allowance+allowanceStep)
	}
	aw.allowance, aw.allowanceAt = allowance, now
}

// chance returns the chance that a call of a rank may go to the domain: the allowance for the first rank, a higher power of it for later
// ones. It is never zero, so that calls of one rank alone find out as well whether the domain has room.
func (aw *away) chance(now time.Duration, rank int) float64 {
	allowance := aw.allowanceNow(now)
	chance := allowance
	for range (rank + 1) / 2 {
		chance *= allowance
	}
	return chance
}

// reportRoundTrip records the time of the way to an upstream and back.
func (gr *Group) reportRoundTrip(now time.Duration, in gypsumhoist.Instance, took time.Duration) {
	if mb, ok := gr.members[in]; ok && mb.away != nil && took > 0 {
		mb.away.delay, mb.away.delayAt = updateMean(gr.delayTo(now, mb), took/2), now
	}
}

// delayTo returns the one-way delay to a member of another domain: as measured with calls in the last delayLifetime, or else that of
// the domain.
func (gr *Group) delayTo(now time.Duration, mb *member) time.Duration {
	if mb.away.delay > 0 && now-mb.away.delayAt < delayLifetime {
		return mb.away.delay
	}
	return gr.distance(mb)
}

// stayCost returns what it costs a call in seconds to stay with a member that has no room: its wait, and the share of the calls at
// home that were refused in the last seconds, times the cost of a refusal.
func (gr *Group) stayCost(now time.Duration, rq *Request, mb *member) float64 {
	cost := refusedCost
	if now >= mb.overloadedUntil && now >= mb.leavingUntil {
		wait := max(0, gr.utilisation(now, mb)-1) * gr.serviceTime(mb) * mb.prediction.paceNow(now)
		cost = min(cost, wait+refusedCost*gr.homeRefused.now(now)/max(1, gr.homeEnded.now(now)))
	}
	return cost * (0.5 + float64(rq.Importance)/float64(gypsumhoist.ImportanceMax))
}

// leaveCost returns what it costs a call in seconds to go to another domain.
func (gr *Group) leaveCost(rq *Request, delay time.Duration) float64 {
	return 2*delay.Seconds() + float64(rq.Bytes)/1e6*gr.spillover.PerMegabyte.Seconds()
}

// chooseByCost returns a member at home that has room, or else one of another domain if leaving costs less than staying, or else the
// best one at home. It returns nil if no member at home is usable.
func (gr *Group) chooseByCost(now time.Duration, rq *Request, exclude []gypsumhoist.Instance) *member {
	home := &gr.tiers[0]
	mb := gr.betterOfTwo(now, home, exclude)
	if mb == nil || !gr.saturated(now, mb) {
		return mb
	}
	from := gr.random.IntN(len(home.members))
	for at := range min(len(home.members), homeDraws) {
		other := home.members[(from+at)%len(home.members)]
		if gr.usable(other, exclude) && !gr.saturated(now, other) && gr.passesSlowStart(now, other) {
			return other
		}
	}
	if gr.spillover.Mode == SpilloverOff {
		return mb
	}
	if other := gr.chooseAway(now, rq, gr.stayCost(now, rq, mb), exclude); other != nil {
		return other
	}
	return mb
}

// chooseAway returns a member of another domain that has room and costs less than staying, of the nearest tier that has one, or nil.
func (gr *Group) chooseAway(now time.Duration, rq *Request, stayCost float64, exclude []gypsumhoist.Instance) *member {
	if gr.awayShare(now) >= gr.spillover.MaxShare {
		return nil
	}
	rank, luck := rq.rank(), gr.random.Float64()
	for at := 1; at < len(gr.tiers); at++ {
		tr := &gr.tiers[at]
		var best *member
		var bestCost float64
		for range maxDraws {
			mb := tr.members[tr.byCapacity.draw(gr.random)]
			if luck >= mb.away.chance(now, rank) || !gr.usable(mb, exclude) || mb.slowStartFactor(now) < 1 ||
				gr.saturated(now, mb) || mb.expectedLoad(now) > awayRoom*mb.capacity(now) {
				continue
			}
			delay := gr.delayTo(now, mb)
			if rq.Remaining > 0 && 2*delay >= rq.Remaining || gr.leaveCost(rq, delay) >= stayCost {
				continue
			}
			if cost := gr.predictedCompletion(now, mb); best == nil || cost < bestCost {
				best, bestCost = mb, cost
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// countEnd counts the end of an attempt for the decision to leave: the use of its domain, the refusals at home, and the allowances of
// other domains.
func (gr *Group) countEnd(now time.Duration, mb *member, oc Outcome) {
	if now >= gr.loads.until {
		return
	}
	if oc.Load != nil && mb.domainUse != nil {
		mb.domainUse.add(now, mb.reportedOthers/mb.slots)
	}
	if oc.Result != ResultAnswered && oc.Result != ResultOverloaded {
		return
	}
	refused := oc.Result == ResultOverloaded
	if mb.away != nil {
		mb.away.answered(now, mb.utilisation(now), refused)
		return
	}
	gr.homeEnded.add(now, 1)
	if refused {
		gr.homeRefused.add(now, 1)
	}
}

// countPick counts a pick for the share that leaves.
func (gr *Group) countPick(now time.Duration, mb *member) {
	gr.calls.add(now, 1)
	if mb.away != nil {
		gr.awayCalls.add(now, 1)
		mb.away.calls.add(now, 1)
	}
}

// awayShare returns the share of the service's calls that left the domain in the last seconds.
func (gr *Group) awayShare(now time.Duration) float64 {
	return gr.awayCalls.now(now) / max(1, gr.calls.now(now))
}

// shareOf returns the share of the service's calls that went to a domain in the last seconds.
func (gr *Group) shareOf(now time.Duration, aw *away) float64 {
	return aw.calls.now(now) / max(1, gr.calls.now(now))
}

// spillChange is a domain to which a service has begun or ended to send traffic.
type spillChange struct {
	domain gypsumhoist.FailureDomain
	begun  bool
	share  float64
}

// updateSpilling finds out to which domains traffic is sent. Once reports are no longer used, it is not decided here, so that all end.
func (gr *Group) updateSpilling(now time.Duration) {
	for _, aw := range gr.aways {
		share := gr.shareOf(now, aw)
		spilling := gr.loads.inUse &&
			(share >= spillBegins && aw.calls.now(now) >= spillCallsLeast || aw.spilling && share >= spillEnds)
		if spilling == aw.spilling || gr.loads.inUse && aw.changedAt > 0 && now-aw.changedAt < spillEventsApart {
			continue
		}
		aw.spilling, aw.changedAt = spilling, now
		gr.spillChanges = append(gr.spillChanges, spillChange{domain: aw.domain, begun: spilling, share: share})
	}
}

// pickNotes is what a pick leaves to be done outside the lock.
type pickNotes struct {
	changes []spillChange
	gauge   *away // a destination that has no gauge yet
}

// notes returns what the pick that ends leaves to be done.
func (gr *Group) notes(mb *member) pickNotes {
	nt := pickNotes{changes: gr.spillChanges}
	gr.spillChanges = nil
	if gr.loads.inUse && mb != nil && mb.away != nil && !mb.away.gauged {
		mb.away.gauged = true
		nt.gauge = mb.away
	}
	return nt
}

// apply logs and registers what a pick has left.
func (nt pickNotes) apply(rt *Router, name gypsumhoist.Service, sv *service) {
	if aw := nt.gauge; aw != nil {
		rt.metrics.GetOrCreateGauge(fmt.Sprintf("gypsumhoist_router_away_share{service=%q,domain=%q}", name, aw.domain), func() float64 {
			sv.mu.Lock()
			defer sv.mu.Unlock()
			return sv.group.shareOf(rt.now(), aw)
		})
	}
	for _, ch := range nt.changes {
		if ch.begun {
			rt.logger.Log(eventSpilloverBegun, "service", name, "failure_domain", ch.domain, "share", ch.share)
		} else {
			rt.logger.Log(eventSpilloverEnded, "service", name, "failure_domain", ch.domain)
		}
	}
}

// setAways gives each member of another domain than the home tier's the state of its domain.
func (gr *Group) setAways() {
	for at := range gr.tiers {
		for _, mb := range gr.tiers[at].members {
			mb.away, mb.domainUse = nil, gr.domainUseOf(mb.upstream.Domain)
			if at > 0 {
				mb.away = gr.awayTo(mb.upstream.Domain)
			}
		}
	}
}

func (gr *Group) domainUseOf(dm gypsumhoist.FailureDomain) *domainUse {
	du, ok := gr.domainUses[dm]
	if !ok {
		du = &domainUse{}
		gr.domainUses[dm] = du
	}
	return du
}

// awayTo returns the state of a domain, and creates it if necessary.
func (gr *Group) awayTo(dm gypsumhoist.FailureDomain) *away {
	for _, aw := range gr.aways {
		if aw.domain == dm {
			return aw
		}
	}
	aw := &away{domain: dm, allowance: allowanceStart, halvedAt: -allowanceInterval}
	gr.aways = append(gr.aways, aw)
	return aw
}
