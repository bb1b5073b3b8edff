package replicator_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	rp "github.com/gypsumhoist/gypsumhoist/replicator"
)

// inVirtualTime runs a test in a synctest bubble, with its own failure handler.
func inVirtualTime(body func(ctx context.Context, gm *WithT)) {
	synctest.Test(suiteT, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		body(ctx, NewWithT(t))
	})
}

func stopAll(prs ...*process) {
	for _, pr := range prs {
		pr.host.Stop()
	}
}

func within(ctx context.Context, dr time.Duration) context.Context {
	once, cancel := context.WithTimeout(ctx, dr)
	context.AfterFunc(once, cancel)
	return once
}

var _ = Describe("Group", func() {
	It("accepts proposals at any member and applies them identically on all", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			prs, err := newSimNetwork().startThree(rp.WithSnapshotEvery(16))
			gm.Expect(err).To(Succeed())
			defer stopAll(prs...)
			ld, _ := waitForLeader(prs)
			gm.Expect(ld).NotTo(BeNil())
			time.Sleep(200 * time.Millisecond)
			for turn := range 60 {
				answer, err := prs[turn%3].group.Propose(ctx, fmt.Append(nil, "c", turn))
				gm.Expect(err).To(Succeed())
				gm.Expect(string(answer)).To(Equal(fmt.Sprint(turn + 1)))
			}
			for _, pr := range prs {
				gm.Expect(pr.group.Barrier(ctx)).To(Succeed())
				gm.Expect(pr.machine.all()).To(HaveLen(60))
				gm.Expect(pr.machine.all()).To(Equal(ld.machine.all()))
			}
		})
	})

	for _, isolation := range []struct {
		name    string
		out, in bool
	}{{"in both directions", true, true}, {"outbound", true, false}, {"inbound", false, true}} {
		It("replaces a leader whose messages are silently lost "+isolation.name+" for a long time", func() {
			inVirtualTime(func(ctx context.Context, gm *WithT) {
				nw := newSimNetwork()
				prs, err := nw.startThree()
				gm.Expect(err).To(Succeed())
				defer stopAll(prs...)
				old, _ := waitForLeader(prs)
				_, err = old.group.Propose(ctx, []byte("before"))
				gm.Expect(err).To(Succeed())
				epoch, _, _ := old.group.Lease()
				nw.isolate(old.member.Peer.String(), isolation.out, isolation.in)
				_, err = old.group.Propose(within(ctx, 10*time.Second), []byte("lost"))
				var unknown *rp.ErrUnknownOutcome
				var noLeader *rp.ErrNoLeader
				gm.Expect(errors.As(err, &unknown) || errors.As(err, &noLeader)).To(BeTrue(), "%v", err)
				_, _, held := old.group.Lease()
				gm.Expect(held).To(BeFalse())
				gm.Expect(old.group.Barrier(within(ctx, 10*time.Second))).NotTo(Succeed())
				next, _ := waitForLeader(without(prs, old))
				gm.Expect(next).NotTo(BeNil())
				later, _, _ := next.group.Lease()
				gm.Expect(later).To(BeNumerically(">", epoch))
				_, err = next.group.Propose(ctx, []byte("after"))
				gm.Expect(err).To(Succeed())
				time.Sleep(2 * time.Minute)
				nw.isolate(old.member.Peer.String(), false, false)
				time.Sleep(3 * time.Second)
				gm.Expect(old.group.Barrier(ctx)).To(Succeed())
				gm.Expect(old.machine.all()).To(Equal(next.machine.all()))
				gm.Expect(old.machine.all()).To(ContainElements("before", "after"))
			})
		})
	}

	It("loses nothing when a second member fails just after another was replaced", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			prs, err := nw.startThree(rp.WithSnapshotEvery(100))
			gm.Expect(err).To(Succeed())
			ld, _ := waitForLeader(prs)
			for turn := range 700 {
				_, err := ld.group.Propose(ctx, fmt.Append(nil, turn))
				gm.Expect(err).To(Succeed())
			}
			dead := without(prs, ld)[0]
			dead.kill()
			fresh := nw.process(9, "1")
			gm.Expect(fresh.open()).To(Succeed())
			gm.Expect(ld.group.Add(ctx, fresh.member)).To(Succeed())
			var refused *rp.ErrChange
			gm.Expect(errors.As(ld.group.Promote(ctx, fresh.member), &refused)).To(BeTrue(), "promoted before it caught up")
			gm.Eventually(func() error { time.Sleep(10 * time.Millisecond); return ld.group.Promote(ctx, fresh.member) }).Should(Succeed())
			gm.Expect(ld.group.Remove(ctx, dead.member)).To(Succeed())
			ld.kill()
			rest := append(without(prs, dead, ld), fresh)
			defer stopAll(rest...)
			next, _ := waitForLeader(rest)
			gm.Expect(next).NotTo(BeNil())
			_, err = next.group.Propose(ctx, []byte("after"))
			gm.Expect(err).To(Succeed())
			gm.Expect(next.machine.all()).To(HaveLen(701))
			gm.Expect(next.group.Members().Voters()).To(Equal(3))
		})
	})

	It("transfers leadership at a planned stop without waiting for an election timeout", func() {
		inVirtualTime(func(_ context.Context, gm *WithT) {
			prs, err := newSimNetwork().startThree()
			gm.Expect(err).To(Succeed())
			old, _ := waitForLeader(prs)
			time.Sleep(time.Second)
			began := time.Now()
			old.group.Stop()
			rest := without(prs, old)
			defer stopAll(prs...)
			next, _ := waitForLeader(rest)
			gm.Expect(next).NotTo(BeNil())
			gm.Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
			_, err = old.host.Open("g", old.member, &recordingMachine{})
			gm.Expect(err).To(MatchError(rp.ErrReopened))
		})
	})

	It("notifies a removed member that was isolated during its removal", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			prs, err := nw.startThree()
			gm.Expect(err).To(Succeed())
			defer stopAll(prs...)
			ld, _ := waitForLeader(prs)
			removed := without(prs, ld)[0]
			nw.isolate(removed.member.Peer.String(), true, true)
			gm.Expect(ld.group.Remove(ctx, removed.member)).To(Succeed())
			time.Sleep(time.Minute)
			gm.Expect(removed.group.Removed()).To(BeFalse())
			nw.isolate(removed.member.Peer.String(), false, false)
			time.Sleep(3 * time.Second)
			gm.Expect(removed.group.Removed()).To(BeTrue())
			_, _, held := ld.group.Lease()
			gm.Expect(held).To(BeTrue())
		})
	})

	It("replaces a member whose disk was lost, and reports a proposal to a closed address as not accepted", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			prs, err := nw.startThree()
			gm.Expect(err).To(Succeed())
			ld, _ := waitForLeader(prs)
			_, err = ld.group.Propose(ctx, []byte("before"))
			gm.Expect(err).To(Succeed())
			lost := without(prs, ld)[0]
			lost.kill()
			_, err = ld.host.ProposeAt(ctx, netip.MustParseAddrPort("10.9.9.9:1"), "g", []byte("x"))
			var noLeader *rp.ErrNoLeader
			gm.Expect(errors.As(err, &noLeader)).To(BeTrue(), "%v", err)
			again := nw.process(int(lost.member.Peer.Addr().As4()[3]), "2")
			nw.isolate(again.member.Peer.String(), false, false)
			gm.Expect(again.open()).To(Succeed())
			rest := append(without(prs, lost), again)
			defer stopAll(rest...)
			began := time.Now()
			follower := without(prs, ld, lost)[0]
			gm.Expect(follower.group.Replace(within(ctx, 10*time.Second), lost.member, again.member)).To(Succeed())
			GinkgoWriter.Printf("full voter %s after the repair began\n", time.Since(began))
			gm.Expect(again.machine.all()).To(Equal([]string{"before"}))
			gm.Expect(ld.group.Members()).To(HaveLen(3))
		})
	})

	It("forms once all initial members are up, and lets a new identity only join", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			one, two := nw.process(1, "a"), nw.process(2, "a")
			defer stopAll(one, two)
			initial := []netip.AddrPort{one.member.Peer, two.member.Peer}
			_, err := one.host.Form(within(ctx, time.Second), "g", one.member, initial)
			gm.Expect(err).To(MatchError(context.DeadlineExceeded))
			formed, err := two.host.Form(ctx, "g", two.member, initial)
			gm.Expect(err).To(Succeed())
			gm.Expect(formed).To(Equal([]rp.Member{one.member, two.member}))
			gm.Expect(two.open(rp.WithInitialMembers(formed...))).To(Succeed())
			again := nw.process(1, "b")
			defer stopAll(again)
			formed, err = again.host.Form(ctx, "g", again.member, initial)
			gm.Expect(err).To(Succeed())
			gm.Expect(formed).To(BeNil())
		})
	})
})

var _ = Describe("a member that is not an initial one", func() {
	It("does not form a group, though all initial members are up and none knows the group", func() {
		inVirtualTime(func(ctx context.Context, gm *WithT) {
			nw := newSimNetwork()
			one, two, other := nw.process(1, "a"), nw.process(2, "a"), nw.process(3, "a")
			defer stopAll(one, two, other)
			initial := []netip.AddrPort{one.member.Peer, two.member.Peer}
			for _, pr := range []*process{one, two} {
				_, err := pr.host.Form(within(ctx, 0), "g", pr.member, initial)
				gm.Expect(err).To(HaveOccurred())
			}
			formed, err := other.host.Form(within(ctx, 2*time.Second), "g", other.member, initial)
			gm.Expect(err).To(MatchError(context.DeadlineExceeded), "%v", formed)
			formed, err = two.host.Form(ctx, "g", two.member, initial)
			gm.Expect(err).To(Succeed())
			gm.Expect(formed).To(Equal([]rp.Member{one.member, two.member}))
			gm.Expect(two.open(rp.WithInitialMembers(formed...))).To(Succeed())
			formed, err = other.host.Form(ctx, "g", other.member, initial)
			gm.Expect(err).To(Succeed())
			gm.Expect(formed).To(BeNil())
		})
	})
})

var _ = Describe("measured in virtual time", func() {
	It("elects a new leader after a crash", func() {
		inVirtualTime(func(_ context.Context, gm *WithT) {
			var took []time.Duration
			for turn := range uint64(40) {
				nw := newSimNetwork()
				nw.seed = 100 * turn
				prs, err := nw.startThree()
				gm.Expect(err).To(Succeed())
				old, _ := waitForLeader(prs)
				time.Sleep(1234 * time.Millisecond)
				nw.isolate(old.member.Peer.String(), true, true)
				_, dr := waitForLeader(without(prs, old))
				took = append(took, dr)
				old.kill()
				stopAll(without(prs, old)...)
			}
			slices.Sort(took)
			GinkgoWriter.Printf("crash to next lease: median %s, worst %s of %d\n", took[len(took)/2], took[len(took)-1], len(took))
			gm.Expect(took[len(took)-1]).To(BeNumerically("<", 3*time.Second))
		})
	})
})
