package gossiper

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// setUpstream stores the announcement of the node's upstream and publishes what is urgent in it.
func (cr *Core) setUpstream(up Upstream) {
	cr.pendingHints.load = up.Load
	cr.pendingHints.cutOff = up.CutOff
	current := cr.self.member.Upstream
	if up.withoutHints() == current.withoutHints() {
		return
	}
	cr.self.member.Upstream = up
	cr.publishUrgent()
}

// applyHints writes the pending hints into the instance's record.
func (cr *Core) applyHints() {
	self := &cr.self.member
	self.Upstream.Load = cr.pendingHints.load
	self.Upstream.CutOff = cr.pendingHints.cutOff
	self.Revision = cr.pendingHints.revision
	cr.hintAt = cr.now.Add(cr.hintInterval())
}

// hintInterval grows with the domain, so that the load reports of all its members together have a constant rate.
func (cr *Core) hintInterval() time.Duration {
	count := 0
	for _, rec := range cr.records {
		if rec.member.Domain == cr.self.member.Domain {
			count++
		}
	}
	return max(minHintInterval, time.Duration(count)*hintIntervalPerMember)
}

// publishHints publishes changed hints that are due.
func (cr *Core) publishHints() {
	cr.sendForeignHints()
	if cr.now.Before(cr.hintAt) || !cr.hintsChanged() {
		return
	}
	cr.self.member.Incarnation++
	cr.applyHints()
	cr.publishSelf(false)
}

func (cr *Core) hintsChanged() bool {
	self := &cr.self.member
	loadChange := cr.pendingHints.load - self.Upstream.Load
	return loadChange >= minLoadChangePermille || loadChange <= -minLoadChangePermille ||
		cr.pendingHints.cutOff != self.Upstream.CutOff || cr.pendingHints.revision != self.Revision
}

// sendForeignHints queues the records of the bridge's domain whose hints changed for other domains,
// each record at most once in an interval that grows with the fleet.
func (cr *Core) sendForeignHints() {
	if !cr.self.member.Bridge {
		return
	}
	interval := max(minForeignHintInterval, time.Duration(len(cr.records))*foreignHintIntervalPerMember)
	for in, rec := range cr.records {
		if rec.foreignHintDue && rec.foreignHintAt.IsZero() {
			// The first hints of a domain change all at once; the ring position spreads them over the interval.
			rec.foreignHintAt = cr.now.Add(time.Duration(rec.ringPosition % uint64(interval)))
		}
		if !rec.foreignHintDue || cr.now.Before(rec.foreignHintAt) {
			continue
		}
		rec.foreignHintDue = false
		rec.foreignHintAt = cr.now.Add(interval)
		for _, ln := range cr.links {
			if ln.to.member.Domain != cr.self.member.Domain && cr.shouldSend(ln, &rec.member) {
				ln.members[in] = struct{}{}
			}
		}
	}
}

// watch adds a service whose upstreams in other domains the instance needs.
func (cr *Core) watch(svc gypsumhoist.Service) {
	self := &cr.self.member
	if svc == "" || self.watches(svc) {
		return
	}
	self.Watches = append(slices.Clone(self.Watches), svc)
	slices.Sort(self.Watches)
	cr.publishUrgent()
}

// startLeaving publishes that the instance is about to stop.
func (cr *Core) startLeaving() {
	if cr.leaving {
		return
	}
	cr.leaving = true
	cr.self.member.Leaving = true
	cr.publishUrgent()
}

// hasLeft reports whether the instance has published that it stops.
func (cr *Core) hasLeft() bool { return cr.self.member.Status == StatusLeft }

// leave publishes that the instance stops now.
func (cr *Core) leave() {
	cr.leaving = true
	cr.self.member.Leaving = true
	cr.self.member.Status = StatusLeft
	cr.publishUrgent()
}
