package prober

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/gypsumhoist/gypsumhoist"
)

// Constants of what is concluded.
const (
	// witnesses is how many instances of a domain must give no answer before the others count as unreachable too.
	witnesses = 2
	// confirmFor is how long nothing may come from a domain before that is concluded.
	confirmFor = 50 * time.Millisecond
	// overdueMost is how many times the usual bound an answer is taken to have needed at most.
	overdueMost = 2
	// domainProbes is how many instances of a lost domain are probed at a time, probesMost how many instances in all.
	domainProbes = 2
	probesMost   = 8
)

// Core holds what is known of the ways to other instances, without clock or goroutine.
// Times count from any fixed start. It is for one goroutine at a time. The zero value is not usable; call NewCore.
type Core struct {
	local   gypsumhoist.FailureDomain
	paths   map[netip.AddrPort]*path
	domains map[gypsumhoist.FailureDomain]*domain
	changed bool
}

// NewCore returns a core of a node in a failure domain, to which everything can be reached.
func NewCore(local gypsumhoist.FailureDomain) *Core {
	return &Core{local: local, paths: map[netip.AddrPort]*path{}, domains: map[gypsumhoist.FailureDomain]*domain{}}
}

// SetMembers replaces the instances that are known. What is known of those that stay is kept.
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
		dm = &domain{name: name, local: name == cr.local, heard: -1}
		cr.domains[name] = dm
	}
	return dm
}

// ConnectBound returns how long opening a connection to an instance takes at most, where it can be reached.
func (cr *Core) ConnectBound(to netip.AddrPort) time.Duration {
	if pt := cr.paths[to]; pt != nil {
		return pt.domain.connect.Bound(limits)
	}
	return limits.Unknown
}

// AnswerBound returns after how long an answer of an instance on an open connection is overdue.
func (cr *Core) AnswerBound(to netip.AddrPort) time.Duration {
	if pt := cr.paths[to]; pt != nil {
		return pt.domain.answer.Bound(limits)
	}
	return limits.Unknown
}

// Connected takes a connection that was opened.
func (cr *Core) Connected(now time.Duration, to netip.AddrPort, took time.Duration) {
	if pt := cr.paths[to]; pt != nil {
		pt.domain.connect.Learn(took)
		cr.hear(now, pt)
	}
}

// Answered takes an answer on an open connection to a question without effect.
// One that a cut held up says little of the usual time.
func (cr *Core) Answered(now time.Duration, to netip.AddrPort, took time.Duration) {
	if pt := cr.paths[to]; pt != nil {
		pt.domain.answer.Learn(min(took, overdueMost*pt.domain.answer.Bound(limits)))
		cr.hear(now, pt)
	}
}

// Heard takes a byte from an instance.
func (cr *Core) Heard(now time.Duration, to netip.AddrPort) {
	if pt := cr.paths[to]; pt != nil {
		cr.hear(now, pt)
	}
}

func (cr *Core) hear(now time.Duration, pt *path) {
	pt.domain.heard = now
	pt.witness = false
	cr.changed = cr.changed || pt.grade != GradeReachable || pt.domain.lost
	pt.grade = GradeReachable
	pt.domain.lost = false
}

// Refused takes a connection that the other machine refused: its process is gone, and its domain can be reached.
func (cr *Core) Refused(now time.Duration, to netip.AddrPort) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	cr.changed = cr.changed || pt.grade != GradeUnreachable || pt.domain.lost
	pt.domain.heard = now
	pt.domain.lost = false
	pt.lose(now, now, GradeUnreachable, false)
}

// TimedOut takes a connection that could not be opened in time since a moment.
func (cr *Core) TimedOut(now time.Duration, to netip.AddrPort, since time.Duration) {
	cr.miss(now, to, since, GradeUnreachable)
}

// Silent takes that nothing has come since a moment on a connection on which an answer is overdue.
func (cr *Core) Silent(now time.Duration, to netip.AddrPort, since time.Duration) {
	cr.miss(now, to, since, GradeSilent)
}

func (cr *Core) miss(now time.Duration, to netip.AddrPort, since time.Duration, gd Grade) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	cr.changed = cr.changed || pt.grade < gd
	pt.lose(now, since, gd, true)
}

// Tick concludes what time tells.
func (cr *Core) Tick(now time.Duration) {
	count := map[*domain]int{}
	for _, pt := range cr.paths {
		dm := pt.domain
		if pt.witness && !dm.local && !dm.lost && pt.lost > dm.heard && now-pt.lost >= confirmFor {
			count[dm]++
		}
	}
	for dm, num := range count {
		if num >= witnesses {
			dm.lost = true
			cr.changed = true
		}
	}
}

// Attentive reports whether anything can't be reached, so that bytes from anybody tell something.
func (cr *Core) Attentive() bool {
	for _, pt := range cr.paths {
		if pt.grade != GradeReachable || pt.domain.lost {
			return true
		}
	}
	return false
}

// Due returns the instances that are to be probed now, and counts a probe of each.
func (cr *Core) Due(now time.Duration) []netip.AddrPort {
	probing := 0
	perDomain := map[*domain]int{}
	var due []*path
	for _, pt := range cr.paths {
		switch {
		case pt.probing:
			probing++
			perDomain[pt.domain]++
		case (pt.grade != GradeReachable || pt.domain.lost) && now >= pt.probeAt:
			due = append(due, pt)
		}
	}
	slices.SortFunc(due, func(pa, pb *path) int {
		return cmp.Or(cmp.Compare(pa.probeAt, pb.probeAt), pa.member.Peer.Compare(pb.member.Peer))
	})
	var out []netip.AddrPort
	for _, pt := range due {
		if probing >= probesMost {
			break
		}
		if pt.domain.lost && perDomain[pt.domain] >= domainProbes {
			continue
		}
		probing++
		perDomain[pt.domain]++
		pt.probing = true
		out = append(out, pt.member.Peer)
	}
	return out
}

// Probed takes the end of a probe.
func (cr *Core) Probed(now time.Duration, to netip.AddrPort, answered bool) {
	pt := cr.paths[to]
	if pt == nil {
		return
	}
	pt.probed(now)
	if answered {
		cr.hear(now, pt)
	}
}

// Changed reports whether what can be reached has changed since the last call.
func (cr *Core) Changed() bool {
	was := cr.changed
	cr.changed = false
	return was
}

// Reach returns what can be reached.
func (cr *Core) Reach() Reach {
	re := Reach{grades: map[netip.AddrPort]Grade{}, domains: map[gypsumhoist.FailureDomain]bool{}}
	for _, pt := range cr.paths {
		if pt.grade != GradeReachable {
			re.grades[pt.member.Peer] = pt.grade
		}
	}
	for _, dm := range cr.domains {
		if dm.lost {
			re.domains[dm.name] = true
		}
	}
	return re
}

// differences returns the instances and domains whose grade is another one in a later Reach, in order.
func (re Reach) differences(later Reach) (peers []netip.AddrPort, domains []gypsumhoist.FailureDomain) {
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
