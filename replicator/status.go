package replicator

import "time"

// Status is the state of a member as shown to operators.
type Status struct {
	Self               Member
	Role               Role
	Term               uint64
	Leader             Member // the zero value means that none is known
	Configuration      Configuration
	ConfigurationIndex uint64 // index of the entry that holds the configuration
	Lease              Lease
	LastIndex          uint64
	Commit             uint64
	FirstIndex         uint64 // the lowest index that the log holds as an entry
	// Peers is set on the leader only.
	Peers []PeerStatus
}

// PeerStatus is the leader's view of another member.
type PeerStatus struct {
	Member Member
	Voter  bool
	Match  uint64
	// Answered is the time at which the newest heartbeat that it acknowledged was sent; the zero time means never.
	Answered time.Time
	// CaughtUp means that it holds all committed entries and still answers.
	CaughtUp bool
}

// Status returns the member's status.
func (co *Core) Status(now time.Time) Status {
	su := Status{
		Self: co.self, Role: co.role, Term: co.state.Term, Leader: co.leader, Configuration: co.config(),
		Lease: co.Lease(now), LastIndex: co.log.last(), Commit: co.commit, FirstIndex: co.log.base + 1,
	}
	if len(co.configs) > 0 {
		su.ConfigurationIndex = co.configs[len(co.configs)-1].index
	}
	for _, mp := range co.config() {
		pg := co.lead.peer(mp.Member.ID())
		if pg == nil {
			continue
		}
		ps := PeerStatus{Member: mp.Member, Voter: mp.Voter, Match: pg.match, CaughtUp: co.caughtUp(now, mp.Member.ID())}
		if pg.answered {
			ps.Answered = co.start.Add(pg.ackedSent)
		}
		su.Peers = append(su.Peers, ps)
	}
	return su
}

// Leader returns the leader that this member knows; the second result is false when it knows none.
func (co *Core) Leader() (Member, bool) { return co.leader, co.leader != Member{} }

// Role returns the member's role in its term.
func (co *Core) Role() Role { return co.role }

// Term returns the member's term.
func (co *Core) Term() uint64 { return co.state.Term }
