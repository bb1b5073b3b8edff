package prober

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

const (
	// minUnanswered is the number of instances that must not have answered before their whole domain counts as unreachable.
	minUnanswered = 2
	// domainConfirmTime is how long nothing must have been received from a domain before it counts as unreachable.
	domainConfirmTime = 50 * time.Millisecond
	// maxOverdueFactor caps an observed answer time, as a multiple of the current bound.
	maxOverdueFactor = 2
	// maxDomainProbes limits the concurrent probes of an unreachable domain, maxProbes those of all instances.
	maxDomainProbes = 2
	maxProbes       = 8
)

// Core is the state machine of a Prober: the network paths to other instances. It has no clock and no goroutine of its own.
// Times count from any fixed start. It is not safe for concurrent use. The zero value is not usable; call NewCore.
type Core struct {
	local   gypsumhoist.FailureDomain
	paths   map[netip.AddrPort]*path
	domains map[gypsumhoist.FailureDomain]*domain
	changed bool
}

// NewCore returns the core of a node in the local failure domain. It knows no instances yet.
func NewCore(local gypsumhoist.FailureDomain) *Core {
	return &Core{local: local, paths: map[netip.AddrPort]*path{}, domains: map[gypsumhoist.FailureDomain]*domain{}}
}

// SetMembers replaces the known instances. The state of those that stay unchanged is kept.
func (cr *Core) SetMembers(members []Member) {
	paths := make(map[netip.AddrPort]*path, len(members))
	domains := map[gypsumhoist.FailureDomain]*domain{}
	for _, mb := range members {
		dm := cr.domain(mb.Domain)
		domains[mb.Domain] = dm
		pt := cr.paths[mb.Peer]
		if pt == nil || pt.member != mb {
			pt = &path{member: mb}
		}
		pt.domain = dm
		paths[mb.Peer] = pt
	}
	cr.paths, cr.domains = paths, domains
	cr.changed = true
}

func (cr *Core) domain(name gypsumhoist.FailureDomain) *domain {
	dm := cr.domains[name]
	if dm == nil {
		dm = &domain{name: name, local: name == cr.local, lastHeard: -1}
		cr.domains[name] = dm
	}
	return dm
}

// ConnectBound returns how long opening a connection to a reachable instance takes at most.
func (cr *Core) ConnectBound(to netip.AddrPort) time.Duration {
	if pt := cr.paths[to]; pt != nil {
		return pt.domain.connect.Timeout(boundLimits)
	}
	return boundLimits.Initial
}

// AnswerBound returns the time after which an answer of an instance on an open connection is overdue.
func (cr *Core) AnswerBound(to netip.AddrPort) time.Duration {
	if pt := cr.paths[to]; pt != nil {
		return pt.domain.answer.Timeout(boundLimits)
	}
	return boundLimits.Initial
}

// Connected records that a connection was opened.
func (cr *Core) Connected(now time.Duration, to netip.AddrPort, took time.Duration) {
	if pt := cr.paths[to]; pt != nil {
		pt.domain.connect.Observe(took)
		cr.markReachable(now, pt)
	}
}

// Answered records the answer to a ping on an open connection. The observed time is capped, since an answer delayed by a network
// partition says little about the usual time.
func (cr *Core) Answered(now time.Duration, to netip.AddrPort, took time.Duration) {
	if pt := cr.paths[to]; pt != nil {
		pt.domain.answer.Observe(min(took, maxOverdueFactor*pt.domain.answer.Timeout(boundLimits)))
		cr.markReachable(now, pt)
	}
}

// Heard records that bytes were received from an instance.
func (cr *Core) Heard(now time.Duration, to netip.AddrPort) {
	if pt := cr.paths[to]; pt != nil {
		cr.markReachable(now, pt)
	}
}

func (cr *Core) markReachable(now time.Duration, pt *path) {
	pt.domain.lastHeard = now
	pt.unanswered = false
	cr.changed = cr.changed || pt.grade != GradeReachable || pt.domain.unreachable
	pt.grade = GradeReachable
	pt.domain.unreachable = false
}

// Refused records that the machine of an instance refused a connection: the process is gone, but its domain can be reached.
func (cr *Core) Refused(now time.Duration, to netip.AddrPort) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	cr.changed = cr.changed || pt.grade != GradeUnreachable || pt.domain.unreachable
	pt.domain.lastHeard = now
	pt.domain.unreachable = false
	pt.markFailed(now, now, GradeUnreachable, false)
}

// TimedOut records that opening a connection, begun at since, timed out.
func (cr *Core) TimedOut(now time.Duration, to netip.AddrPort, since time.Duration) {
	cr.markUnanswered(now, to, since, GradeUnreachable)
}

// Silent records that nothing has been received since a time on a connection on which an answer is overdue.
func (cr *Core) Silent(now time.Duration, to netip.AddrPort, since time.Duration) {
	cr.markUnanswered(now, to, since, GradeSilent)
}

func (cr *Core) markUnanswered(now time.Duration, to netip.AddrPort, since time.Duration, gd Grade) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	cr.changed = cr.changed || pt.grade < gd
	pt.markFailed(now, since, gd, true)
}

// Tick marks domains as unreachable: those in which minUnanswered instances have not answered for domainConfirmTime and from
// which nothing has been received since. The local domain always counts as reachable.
func (cr *Core) Tick(now time.Duration) {
	count := map[*domain]int{}
	for _, pt := range cr.paths {
		dm := pt.domain
		if pt.unanswered && !dm.local && !dm.unreachable && pt.unansweredSince > dm.lastHeard && now-pt.unansweredSince >= domainConfirmTime {
			count[dm]++
		}
	}
	for dm, num := range count {
		if num >= minUnanswered {
			dm.unreachable = true
			cr.changed = true
		}
	}
}

// Degraded reports whether any instance or domain is not reachable. Otherwise Heard need not be called.
func (cr *Core) Degraded() bool {
	for _, pt := range cr.paths {
		if pt.grade != GradeReachable || pt.domain.unreachable {
			return true
		}
	}
	return false
}

// DueProbes returns the instances to probe now and marks them as being probed.
func (cr *Core) DueProbes(now time.Duration) []netip.AddrPort {
	probing := 0
	perDomain := map[*domain]int{}
	var due []*path
	for _, pt := range cr.paths {
		switch {
		case pt.probing:
			probing++
			perDomain[pt.domain]++
		case (pt.grade != GradeReachable || pt.domain.unreachable) && now >= pt.nextProbeAt:
			due = append(due, pt)
		}
	}
	slices.SortFunc(due, func(pa, pb *path) int {
		return cmp.Or(cmp.Compare(pa.nextProbeAt, pb.nextProbeAt), pa.member.Peer.Compare(pb.member.Peer))
	})
	var out []netip.AddrPort
	for _, pt := range due {
		if probing >= maxProbes {
			break
		}
		if pt.domain.unreachable && perDomain[pt.domain] >= maxDomainProbes {
			continue
		}
		probing++
		perDomain[pt.domain]++
		pt.probing = true
		out = append(out, pt.member.Peer)
	}
	return out
}

// Probed records the end of a probe.
func (cr *Core) Probed(now time.Duration, to netip.AddrPort, answered bool) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	pt.scheduleProbe(now)
	if answered {
		cr.markReachable(now, pt)
	}
}

// Changed reports whether the snapshot may have changed since the last call of Changed.
func (cr *Core) Changed() bool {
	was := cr.changed
	cr.changed = false
	return was
}

// Reachability returns a snapshot of which instances and domains can be reached.
func (cr *Core) Reachability() Reachability {
	re := Reachability{grades: map[netip.AddrPort]Grade{}, domains: map[gypsumhoist.FailureDomain]bool{}}
	for _, pt := range cr.paths {
		if pt.grade != GradeReachable {
			re.grades[pt.member.Peer] = pt.grade
		}
	}
	for _, dm := range cr.domains {
		if dm.unreachable {
			re.domains[dm.name] = true
		}
	}
	return re
}

// diff returns the sorted instances and domains whose reachability differs in a later snapshot.
func (re Reachability) diff(later Reachability) (peers []netip.AddrPort, domains []gypsumhoist.FailureDomain) {
	for pr := range union(re.grades, later.grades) {
		if re.grades[pr] != later.grades[pr] {
			peers = append(peers, pr)
		}
	}
	for dm := range union(re.domains, later.domains) {
		if re.domains[dm] != later.domains[dm] {
			domains = append(domains, dm)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	slices.Sort(domains)
	return peers, domains
}

func union[K comparable, V any](ma, mb map[K]V) map[K]V {
	out := maps.Clone(ma)
	if out == nil {
		out = map[K]V{}
	}
	maps.Copy(out, mb)
	return out
}
