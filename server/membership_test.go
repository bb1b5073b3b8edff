package server_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/replicator"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// controlMembers are the control instances of a fleet, as seen by the leader of the table's log.
type controlMembers struct {
	config replicator.Configuration
	gossip map[gypsumhoist.Instance]gossiper.Member
}

func newControlMembers() *controlMembers {
	return &controlMembers{gossip: map[gypsumhoist.Instance]gossiper.Member{}}
}

func (cm *controlMembers) join(name gypsumhoist.Instance, domain gypsumhoist.FailureDomain) replicator.Member {
	cm.gossip[name] = gossiper.Member{Instance: name, Domain: domain, Status: gossiper.StatusAlive}
	return replicator.Member{Instance: name, Boot: "boot-" + string(name)}
}

func (cm *controlMembers) addMember(mb replicator.Member, voter bool) {
	cm.config = append(cm.config, replicator.Membership{Member: mb, Voter: voter})
}

func (cm *controlMembers) setStatus(name gypsumhoist.Instance, st gossiper.Status) {
	mb := cm.gossip[name]
	mb.Status = st
	cm.gossip[name] = mb
}

func (cm *controlMembers) find(in gypsumhoist.Instance) (gossiper.Member, bool) {
	mb, known := cm.gossip[in]
	return mb, known
}

func (cm *controlMembers) next(mb replicator.Member, waited time.Duration) (any, replicator.Member) {
	return server.NextJoinStep(cm.config, mb, cm.find, waited)
}

// TestNewMemberReplacesOneFoundLostLater covers a control instance that is lost for good and whose replacement starts
// within a second, before gossip has detected the loss.
// The replacement must take the place of the lost member rather than become one more: otherwise the loss of one more disk would stop the log for good.
func TestNewMemberReplacesOneFoundLostLater(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1"} {
		cm.addMember(cm.join(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	newMember := cm.join("b-2", "b")
	step, _ := cm.next(newMember, 0)
	gm.Expect(step).To(gomega.Equal(server.JoinAdd))
	cm.addMember(newMember, false)
	step, _ = cm.next(newMember, time.Second)
	gm.Expect(step).To(gomega.Equal(server.JoinNone))
	cm.setStatus("b-1", gossiper.StatusUnreachable)
	step, old := cm.next(newMember, 2*time.Second)
	gm.Expect(step).To(gomega.Equal(server.JoinReplace))
	gm.Expect(old.Instance).To(gomega.Equal(gypsumhoist.Instance("b-1")))
}

func TestNewMemberIsPromotedBesideLiveVoterOfItsDomain(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	cm.addMember(cm.join("b-1", "b"), true)
	newMember := cm.join("b-2", "b")
	cm.addMember(newMember, false)
	step, _ := cm.next(newMember, 5*time.Second)
	gm.Expect(step).To(gomega.Equal(server.JoinPromote))
}

func TestNewMemberOfAnotherDomainIsPromotedAtOnce(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	cm.addMember(cm.join("a-1", "a"), true)
	newMember := cm.join("d-1", "d")
	cm.addMember(newMember, false)
	step, _ := cm.next(newMember, 0)
	gm.Expect(step).To(gomega.Equal(server.JoinPromote))
}

func TestInstanceWithLostDiskReplacesItsEarlierIdentity(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	cm.addMember(cm.join("a-1", "a"), true)
	again := replicator.Member{Instance: "a-1", Boot: "later"}
	step, old := cm.next(again, 0)
	gm.Expect(step).To(gomega.Equal(server.JoinReplace))
	gm.Expect(old.Boot).To(gomega.Equal("boot-a-1"))
}

func TestNewMemberReplacesOneThatLeft(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1"} {
		cm.addMember(cm.join(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	cm.setStatus("b-1", gossiper.StatusLeft)
	newMember := cm.join("b-2", "b")
	cm.addMember(newMember, false)
	step, _ := cm.next(newMember, time.Second)
	gm.Expect(step).To(gomega.Equal(server.JoinNone))
	step, old := cm.next(newMember, 4*time.Second)
	gm.Expect(step).To(gomega.Equal(server.JoinReplace))
	gm.Expect(old.Instance).To(gomega.Equal(gypsumhoist.Instance("b-1")))
}

// TestMemberThatLeftIsRemovedOnceItsSuccessorVotes covers a planned replacement: the successor already votes when its predecessor leaves.
func TestMemberThatLeftIsRemovedOnceItsSuccessorVotes(t *testing.T) {
	gm := gomega.NewWithT(t)
	cm := newControlMembers()
	for _, name := range []gypsumhoist.Instance{"a-1", "b-1", "c-1", "b-2"} {
		cm.addMember(cm.join(name, gypsumhoist.FailureDomain(name[:1])), true)
	}
	dp, start := server.Departures{}, time.Now()
	removable := func(after time.Duration) (gypsumhoist.Instance, bool) {
		mb, ok := server.RemovableMember(dp, cm.config, cm.find, start.Add(after))
		return mb.Instance, ok
	}
	_, ok := removable(0)
	gm.Expect(ok).To(gomega.BeFalse())
	cm.setStatus("b-1", gossiper.StatusLeft)
	cm.setStatus("c-1", gossiper.StatusLeft)
	_, ok = removable(time.Second)
	gm.Expect(ok).To(gomega.BeFalse())
	cm.setStatus("b-1", gossiper.StatusAlive)
	_, ok = removable(5 * time.Second)
	gm.Expect(ok).To(gomega.BeFalse(), "it was restarted")
	cm.setStatus("b-1", gossiper.StatusLeft)
	_, ok = removable(6 * time.Second)
	gm.Expect(ok).To(gomega.BeFalse())
	name, ok := removable(12 * time.Second)
	gm.Expect(ok).To(gomega.BeTrue())
	gm.Expect(name).To(gomega.Equal(gypsumhoist.Instance("b-1")), "c-1 has no successor")
}
