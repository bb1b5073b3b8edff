package claimer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/claimer"
)

// groups is a claimer.Group with one machine per domain.
type groups struct {
	mu       sync.Mutex
	machines map[gypsumhoist.FailureDomain]*claimer.Machine
	// fault returns whether a proposal runs, and the error to return in either case.
	fault func() (bool, error)
	count int
}

func (gs *groups) setFault(fault func() (bool, error)) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.fault = fault
}

func (gs *groups) size(dm gypsumhoist.FailureDomain) int {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.machines[dm].Len()
}

type notAccepted struct{}

func (notAccepted) Error() string     { return "no leader" }
func (notAccepted) NotAccepted() bool { return true }

var errLost = errors.New("the reply was lost")

// ShardOf implements claimer.Group.
func (gs *groups) ShardOf(string) int { return 0 }

// Propose implements claimer.Group.
func (gs *groups) Propose(_ context.Context, dm gypsumhoist.FailureDomain, _ int, cmd []byte) ([]byte, error) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	gs.count++
	var err error
	runs := true
	if gs.fault != nil {
		runs, err = gs.fault()
	}
	if !runs {
		return nil, err
	}
	raw := gs.machines[dm].Apply(cmd, time.Now())
	return raw, err
}

func inGroups(t *testing.T, test func(g *WithT, gs *groups, cl *claimer.Claimer)) {
	synctest.Test(t, func(t *testing.T) {
		gs := &groups{machines: map[gypsumhoist.FailureDomain]*claimer.Machine{}}
		for _, dm := range []gypsumhoist.FailureDomain{"d0", "d1"} {
			gs.machines[dm] = claimer.NewMachine(claimer.Settings{}, 1, time.Now())
		}
		cl := claimer.New(claimer.WithGroup(gs))
		cl.SetDomains([]gypsumhoist.FailureDomain{"d0", "d1"}, nil)
		cl.Start()
		defer cl.Stop()
		test(NewWithT(t), gs, cl)
	})
}

func TestClaimFinishReplay(t *testing.T) {
	inGroups(t, func(g *WithT, _ *groups, cl *claimer.Claimer) {
		ctx, rq := context.Background(), request("d1/order", "crate")
		gr := cl.Claim(ctx, rq).(claimer.Granted)
		g.Expect(gr.Homes).To(Equal([]gypsumhoist.FailureDomain{"d1"}))
		g.Expect(refused(cl.Claim(ctx, rq))).To(Equal("409 may_have_run duplicate"))
		g.Expect(cl.Finish(ctx, gr, claimer.Answer{Status: 200, Body: []byte("ok")})).To(Succeed())
		g.Expect(cl.Claim(ctx, rq).(claimer.Replay).Answer.Body).To(Equal([]byte("ok")))
	})
}

func TestClaimWithoutHomeIsNotRun(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		gs.setFault(func() (bool, error) { return false, notAccepted{} })
		g.Expect(refused(cl.Claim(context.Background(), request("a", "b")))).To(Equal("503 not_run claim_unavailable"))
		g.Expect(gs.count).To(Equal(1))
		g.Expect(refused(claimer.New().Claim(context.Background(), request("a", "b")))).To(Equal("503 not_run claim_unavailable"))
		g.Expect(refused(cl.Claim(context.Background(), request("with space", "b")))).To(Equal("400 not_run bad_request"))
	})
}

func TestClaimIsResentAfterLostReply(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		lost := true
		gs.setFault(func() (bool, error) {
			if lost {
				lost = false
				return true, errLost
			}
			return true, nil
		})
		g.Expect(refused(cl.Claim(context.Background(), request("a", "b")))).To(Equal(granted))
	})
}

func TestClaimOfUnknownOutcomeIsReleased(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		gs.setFault(func() (bool, error) { return true, errLost })
		rq := request("d0/a", "b")
		g.Expect(refused(cl.Claim(context.Background(), rq))).To(Equal("503 not_run claim_unavailable"))
		gs.setFault(nil)
		time.Sleep(time.Second)
		g.Expect(gs.size("d0")).To(BeZero())
		g.Expect(refused(cl.Claim(context.Background(), rq))).To(Equal(granted))
	})
}

func TestFinishIsRetriedUntilStored(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		ctx, rq := context.Background(), request("d0/a", "b")
		gr := cl.Claim(ctx, rq).(claimer.Granted)
		gs.setFault(func() (bool, error) { return false, errLost })
		g.Expect(cl.Finish(ctx, gr, claimer.Answer{Status: 200})).NotTo(Succeed())
		// Not at the moment of a retry, which would race with the claim below.
		time.Sleep(5*time.Second + 100*time.Millisecond)
		gs.setFault(nil)
		g.Expect(refused(cl.Claim(ctx, rq))).To(Equal("409 may_have_run duplicate"))
		time.Sleep(time.Second)
		g.Expect(cl.Claim(ctx, rq)).To(Equal(claimer.Replay{Answer: claimer.Answer{Status: 200}}))
	})
}

func TestStopStoresPendingEnds(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		ctx, rq := context.Background(), request("d0/a", "b")
		gr := cl.Claim(ctx, rq).(claimer.Granted)
		gs.setFault(func() (bool, error) { return false, errLost })
		g.Expect(cl.Finish(ctx, gr, claimer.Answer{Status: 200})).NotTo(Succeed())
		synctest.Wait()
		gs.setFault(nil)
		cl.Stop()
		g.Expect(cl.Claim(ctx, rq)).To(Equal(claimer.Replay{Answer: claimer.Answer{Status: 200}}))
		claimer.New().Stop()
	})
}

// TestDomainChangeKeepsClaims checks that a key whose home changes with the set of domains is claimed at both homes
// until the previous set is dropped.
func TestDomainChangeKeepsClaims(t *testing.T) {
	inGroups(t, func(g *WithT, gs *groups, cl *claimer.Claimer) {
		ctx := context.Background()
		one, two := []gypsumhoist.FailureDomain{"d0"}, []gypsumhoist.FailureDomain{"d0", "d1"}
		moved := request("order", "b")
		for nr := 0; claimer.Home(moved.Key, two) != "d1"; nr++ {
			moved = request("order"+string(rune('a'+nr)), "b")
		}
		cl.SetDomains(one, nil)
		old := cl.Claim(ctx, moved).(claimer.Granted)
		cl.SetDomains(two, one)
		g.Expect(refused(cl.Claim(ctx, moved))).To(Equal("409 may_have_run duplicate"))
		g.Expect(gs.size("d1")).To(BeZero())
		g.Expect(cl.Release(ctx, old)).To(Succeed())
		both := cl.Claim(ctx, moved).(claimer.Granted)
		g.Expect(both.Homes).To(Equal([]gypsumhoist.FailureDomain{"d0", "d1"}))
		cl.SetDomains(two, nil)
		g.Expect(refused(cl.Claim(ctx, moved))).To(Equal("409 may_have_run duplicate"))
	})
}
