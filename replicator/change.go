package replicator

import "slices"

// ChangeKind is the effect of a Change on the configuration.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdd     ChangeKind = "add"     // adds a new member as a learner
	ChangePromote ChangeKind = "promote" // makes a learner that has caught up a voter
	ChangeDemote  ChangeKind = "demote"  // makes a voter a learner
	ChangeRemove  ChangeKind = "remove"  // removes a member for good
)

// Change is a single change of a group's configuration. It adds or removes at most one voter.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// apply returns the configuration after the change, or the reason why the change is invalid.
func (ch Change) apply(cf Configuration) (Configuration, string) {
	at := cf.index(ch.Member.ID())
	switch {
	case ch.Kind == ChangeAdd && at >= 0:
		return nil, "already a member"
	case ch.Kind == ChangeAdd:
		return append(slices.Clone(cf), Membership{Member: ch.Member}), ""
	case at < 0:
		return nil, "not a member"
	case ch.Kind == ChangePromote && cf[at].Voter:
		return nil, "already a voter"
	case ch.Kind == ChangeDemote && !cf[at].Voter:
		return nil, "not a voter"
	case (ch.Kind == ChangeDemote || ch.Kind == ChangeRemove) && cf[at].Voter && cf.Voters() == 1:
		return nil, "the only voter can't be demoted or removed"
	case ch.Kind == ChangePromote || ch.Kind == ChangeDemote:
		next := slices.Clone(cf)
		next[at].Voter = ch.Kind == ChangePromote
		return next, ""
	case ch.Kind == ChangeRemove:
		return slices.Delete(slices.Clone(cf), at, at+1), ""
	default:
		return nil, "unknown kind of change"
	}
}
