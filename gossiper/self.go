package gossiper

import (
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// announce takes what the node's upstream says.
func (cr *Core) announce(up Upstream) {
	cr.hint.load = up.Load
	cr.hint.cutOff = up.CutOff
	now := cr.self.member.Upstream
	if up.settled() == now.settled() {
		return
	}
	cr.self.member.Upstream = up
	cr.settle()
}

// takeHints puts the latest hints into the own record.
func (cr *Core) takeHints() {
	self := &cr.self.member
	self.Upstream.Load = cr.hint.load
	self.Upstream.CutOff = cr.hint.cutOff
	self.Revision = cr.hint.revision
	cr.hintAt = cr.now.Add(cr.hintEvery())
}

// hintEvery grows with the domain, so that the domain's load reports together keep to one rate.
func (cr *Core) hintEvery() time.Duration {
	count := 0
	for _, rec := range cr.records {
		if rec.member.Domain == cr.self.member.Domain {
			count++
		}
	}
	return max(leastHintEvery, time.Duration(count)*hintEveryMember)
}

// publishHints tells changed hints once their time has come.
func (cr *Core) publishHints() {
	cr.crossHints()
	if cr.now.Before(cr.hintAt) || !cr.hintsDiffer() {
		return
	}
	cr.self.member.Incarnation++
	cr.takeHints()
	cr.publish(false)
}

func (cr *Core) hintsDiffer() bool {
	self := &cr.self.member
	moved := cr.hint.load - self.Upstream.Load
	return moved >= hintStep || moved <= -hintStep ||
		cr.hint.cutOff != self.Upstream.CutOff || cr.hint.revision != self.Revision
}

// crossHints sends changed hints of the own domain to other domains, each record's seldom.
func (cr *Core) crossHints() {
	if !cr.self.member.Bridge {
		return
	}
	every := max(leastCrossEvery, time.Duration(len(cr.records))*crossEveryMember)
	for in, rec := range cr.records {
		if rec.crossDue && rec.crossAt.IsZero() {
			// The first hints of a domain come all at once; they cross one after the other.
			rec.crossAt = cr.now.Add(time.Duration(rec.order % uint64(every)))
		}
		if !rec.crossDue || cr.now.Before(rec.crossAt) {
			continue
		}
		rec.crossDue = false
		rec.crossAt = cr.now.Add(every)
		for _, ln := range cr.links {
			if ln.to.member.Domain != cr.self.member.Domain && cr.wants(ln, &rec.member) {
				ln.members[in] = struct{}{}
			}
		}
	}
}

// watch adds a service whose upstreams are followed.
func (cr *Core) watch(svc gypsumhoist.Service) {
	self := &cr.self.member
	if svc == "" || self.watches(svc) {
		return
	}
	self.Watches = append(slices.Clone(self.Watches), svc)
	slices.Sort(self.Watches)
	cr.settle()
}

// depart tells that the instance is about to stop.
func (cr *Core) depart() {
	if cr.departing {
		return
	}
	cr.departing = true
	cr.self.member.Leaving = true
	cr.settle()
}

// departed tells whether the instance has said its last word.
func (cr *Core) departed() bool { return cr.self.member.Status == StatusLeft }

// leave tells that the instance stops now.
func (cr *Core) leave() {
	cr.departing = true
	cr.self.member.Leaving = true
	cr.self.member.Status = StatusLeft
	cr.settle()
}
