package replicator

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/gypsumhoist/gypsumhoist"
)

// MemberID is the identity of a member. It is never reused once the member's state is lost:
// Boot changes at each process start with a MemoryJournal, and with each new data folder otherwise.
type MemberID struct {
	Instance gypsumhoist.Instance
	Boot     string
}

// String returns the instance and the boot, separated by a slash.
func (mi MemberID) String() string { return fmt.Sprintf("%s/%s", mi.Instance, mi.Boot) }

// Member is one participant of a group. The zero value means no member.
// Instance and Boot are its identity; Peer is its address.
type Member struct {
	Instance gypsumhoist.Instance
	Boot     string
	Peer     netip.AddrPort
}

// ID returns the identity of the member.
func (mb Member) ID() MemberID { return MemberID{Instance: mb.Instance, Boot: mb.Boot} }

// Membership holds one member of a configuration and whether it votes.
type Membership struct {
	Member Member
	// Voter is false for a learner, which replicates the log but counts in no majority.
	Voter bool
}

// Configuration lists the members of a group. It is immutable.
type Configuration []Membership

// Find returns the membership of an identity; the second result is false when it isn't a member.
func (cf Configuration) Find(id MemberID) (Membership, bool) {
	at := cf.index(id)
	if at < 0 {
		return Membership{}, false
	}
	return cf[at], true
}

// Voters returns the number of voters.
func (cf Configuration) Voters() int {
	count := 0
	for _, mp := range cf {
		if mp.Voter {
			count++
		}
	}
	return count
}

// Majority returns the number of voters that form a majority.
func (cf Configuration) Majority() int { return cf.Voters()/2 + 1 }

// ids returns the identities of the voters and of the learners, separated by commas.
func (cf Configuration) ids() (voters, learners string) {
	var lists [2][]string
	for _, mp := range cf {
		at := 1
		if mp.Voter {
			at = 0
		}
		lists[at] = append(lists[at], mp.Member.ID().String())
	}
	return strings.Join(lists[0], ","), strings.Join(lists[1], ",")
}

func (cf Configuration) index(id MemberID) int {
	return slices.IndexFunc(cf, func(mp Membership) bool { return mp.Member.ID() == id })
}

func (cf Configuration) votes(id MemberID) bool {
	mp, ok := cf.Find(id)
	return ok && mp.Voter
}

// VoterConfiguration returns a configuration in which all given members are voters.
func VoterConfiguration(members ...Member) Configuration {
	cf := make(Configuration, 0, len(members))
	for _, mb := range members {
		cf = append(cf, Membership{Member: mb, Voter: true})
	}
	return cf
}
