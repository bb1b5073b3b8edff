package prober

import (
	"net/netip"

	"github.com/gypsumhoist/gypsumhoist"
)

// Grade says how far an instance can be reached.
type Grade uint8

// Grades.
const (
	// GradeReachable is an instance that nothing speaks against.
	GradeReachable Grade = iota
	// GradeSilent is an instance that gave no answer on an open connection in the usual time.
	// It may be slow, suspended or cut off.
	GradeSilent
	// GradeUnreachable is an instance that no connection can be opened to.
	GradeUnreachable
)

var gradeNames = [...]string{"reachable", "silent", "unreachable"}

// String returns the grade in snake case.
func (gd Grade) String() string {
	if int(gd) >= len(gradeNames) {
		return "unknown"
	}
	return gradeNames[gd]
}

// Member is an instance that the node may call.
type Member struct {
	Peer   netip.AddrPort
	Domain gypsumhoist.FailureDomain
}

// Reach is what a node can reach at one moment. It must not be changed. The zero value reaches everything.
type Reach struct {
	grades  map[netip.AddrPort]Grade
	domains map[gypsumhoist.FailureDomain]bool
}

// NewReach returns a Reach in which the instances have their grades and the domains can't be reached.
func NewReach(grades map[netip.AddrPort]Grade, domains ...gypsumhoist.FailureDomain) Reach {
	re := Reach{grades: grades, domains: map[gypsumhoist.FailureDomain]bool{}}
	for _, dm := range domains {
		re.domains[dm] = true
	}
	return re
}

// Of returns the grade of an instance.
func (re Reach) Of(mb Member) Grade {
	if re.domains[mb.Domain] {
		return GradeUnreachable
	}
	return re.grades[mb.Peer]
}

// All reports whether everything can be reached.
func (re Reach) All() bool { return len(re.grades) == 0 && len(re.domains) == 0 }
