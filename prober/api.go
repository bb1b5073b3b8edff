package prober

import (
	"net/netip"

	"github.com/gypsumhoist/gypsumhoist"
)

// Grade says whether an instance can be reached.
type Grade uint8

// Grades.
const (
	// GradeReachable is an instance without evidence that it can't be reached.
	GradeReachable Grade = iota
	// GradeSilent is an instance that did not answer on an open connection within AnswerBound.
	// It may be slow, suspended or partitioned.
	GradeSilent
	// GradeUnreachable is an instance to which no connection can be opened.
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

// Reachability is a snapshot of which instances and failure domains a node can reach. It is immutable.
// In the zero value everything is reachable.
type Reachability struct {
	grades  map[netip.AddrPort]Grade
	domains map[gypsumhoist.FailureDomain]bool
}

// NewReachability returns a Reachability with the grades of instances, by peer address, and the unreachable domains.
// Instances without a grade are reachable.
func NewReachability(grades map[netip.AddrPort]Grade, domains ...gypsumhoist.FailureDomain) Reachability {
	re := Reachability{grades: grades, domains: map[gypsumhoist.FailureDomain]bool{}}
	for _, dm := range domains {
		re.domains[dm] = true
	}
	return re
}

// GradeOf returns the grade of an instance.
func (re Reachability) GradeOf(mb Member) Grade {
	if re.domains[mb.Domain] {
		return GradeUnreachable
	}
	return re.grades[mb.Peer]
}

// AllReachable reports whether everything can be reached.
func (re Reachability) AllReachable() bool { return len(re.grades) == 0 && len(re.domains) == 0 }
