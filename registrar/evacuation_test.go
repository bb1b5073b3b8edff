package registrar_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

var threeDomains = []gypsumhoist.FailureDomain{"d0", "d1", "d2"}

func evacuate(dm gypsumhoist.FailureDomain, base uint64) registrar.EvacuateDomain {
	return registrar.EvacuateDomain{Domain: dm, Base: base, Serving: threeDomains}
}

func restore(dm gypsumhoist.FailureDomain, base uint64) registrar.EvacuateDomain {
	return registrar.EvacuateDomain{Domain: dm, Restore: true, Base: base}
}

var _ = Describe("an evacuation in the table", func() {
	var st *registrar.State
	BeforeEach(func() { st = registrar.NewState() })

	// Guards against a second revision for a resend, and against an error for an order that is already fulfilled.
	It("is one revision, and an order that is already fulfilled is accepted without a change", func() {
		Expect(apply(st, "", restore("d0", 0)).Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(st.Table().Revision()).To(BeZero())
		for range 2 {
			as := apply(st, "", evacuate("d0", 0))
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
			Expect(as.Revision).To(BeEquivalentTo(1))
		}
		Expect(st.Table().Evacuated()).To(ConsistOf(gypsumhoist.FailureDomain("d0")))
		for range 2 {
			Expect(apply(st, "", restore("d0", 1)).Revision).To(BeEquivalentTo(2))
		}
		Expect(st.Table().Evacuated()).To(BeEmpty())
	})

	// Guards against a copy of the first order that is delayed in a queue and evacuates the domain again after it was restored.
	It("is not repeated by a delayed copy of its order", func() {
		apply(st, "", evacuate("d0", 0))
		apply(st, "", restore("d0", 1))
		Expect(apply(st, "", evacuate("d0", 0)).Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(apply(st, "", evacuate("d0", 2)).Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(apply(st, "", restore("d0", 1)).Outcome).To(Equal(registrar.OutcomeConflict))
		Expect(st.Table().Evacuated()).To(HaveLen(1))
	})

	// Guards against an evacuation that ends with the sheet that was in force when it began, or with a restart.
	It("stays over a replaced sheet and a snapshot", func() {
		apply(st, "", sheet(1, 0, "a", sheetRow("/a/", "rolls")))
		apply(st, "", evacuate("d0", 0))
		st = restored(st)
		Expect(apply(st, "", sheet(2, 1, "b", sheetRow("/b/", "fees"))).Outcome).To(Equal(registrar.OutcomeAccepted))
		st = restored(st)
		Expect(st.Table().Evacuated()).To(ConsistOf(gypsumhoist.FailureDomain("d0")))
		Expect(apply(st, "", evacuate("d0", 2)).Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(st.Table().Revision()).To(BeEquivalentTo(3))
	})

	// Guards against two operators who evacuate the last two domains, each of them seeing another one in service.
	It("leaves one of the serving domains", func() {
		apply(st, "", evacuate("d0", 0))
		Expect(apply(st, "", evacuate("d1", 0)).Outcome).To(Equal(registrar.OutcomeAccepted))
		last := apply(st, "", evacuate("d2", 0))
		Expect(last.Outcome).To(Equal(registrar.OutcomeRefused))
		Expect(last.Detail).To(ContainSubstring("no other failure domain"))
		apply(st, "", restore("d1", 2))
		Expect(apply(st, "", evacuate("d2", 0)).Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(st.Table().Evacuated()).To(Equal([]gypsumhoist.FailureDomain{"d0", "d2"}))
	})

	// Guards against a list that an older build, which relays tables without it, makes a newer one forget, and against messages that
	// differ from those of older builds where nobody evacuates.
	It("is ignored by older builds, and not forgotten by newer ones that get a table from them", func() {
		apply(st, "", newRow("derwent", "/slips"))
		before := st.Table()
		Expect(registrar.EvacuationsSize(before, 0)).To(BeZero())
		apply(st, "", evacuate("d0", 0))
		evacuated := st.Table()
		Expect(registrar.EvacuationsSize(evacuated, 1)).To(And(BeNumerically(">", 0), BeNumerically("<", 20)))
		apply(st, "", edit("derwent", "/slips", 1, "rate=9"))
		for _, from := range []*registrar.Table{nil, before, evacuated} {
			got, err := registrar.ApplyOlderDelta(from, st.Table())
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Revision()).To(BeEquivalentTo(3))
			Expect(got.Evacuated()).To(Equal(from.Evacuated()))
		}
	})

	It("reaches every earlier table by a delta, and agrees with a simple model", func() {
		rapid.Check(suiteT, checkEvacuations)
	})
})

// checkEvacuations draws orders, edits and restarts, and compares the evacuated domains and the tables updated by deltas with a model.
func checkEvacuations(rt *rapid.T) {
	st := registrar.NewState()
	tables := []*registrar.Table{nil}
	model, bases := map[gypsumhoist.FailureDomain]bool{}, map[gypsumhoist.FailureDomain]uint64{}
	for step := range rapid.IntRange(1, 30).Draw(rt, "steps") {
		dm := rapid.SampledFrom(threeDomains).Draw(rt, "domain")
		cm := evacuate(dm, bases[dm])
		if rapid.IntRange(0, 2).Draw(rt, "kind") == 0 {
			cm = restore(dm, bases[dm])
		}
		change := model[dm] == cm.Restore
		if change && !cm.Restore {
			others := 0
			for _, other := range threeDomains {
				if other != dm && !model[other] {
					others++
				}
			}
			change = others > 0
		}
		as, err := registrar.DecodeAnswer(st.Apply(registrar.EncodeCommand("", cm), proposed))
		if err != nil || as.Outcome == registrar.OutcomeConflict {
			rt.Fatalf("answer %+v, %v", as, err)
		}
		if change {
			model[dm], bases[dm] = !cm.Restore, as.Revision
		}
		st.Apply(registrar.EncodeCommand("", newRow("w", fmt.Sprint("/r", step))), proposed)
		tables = append(tables, st.Table())
		if rapid.Bool().Draw(rt, "restart") {
			next := registrar.NewState()
			if err := next.Restore(st.Snapshot()); err != nil {
				rt.Fatal(err)
			}
			st = next
		}
	}
	var want []gypsumhoist.FailureDomain
	for _, dm := range threeDomains {
		if model[dm] {
			want = append(want, dm)
		}
	}
	for _, old := range tables {
		got, _, err := registrar.ApplyDelta(old, st.Table())
		if err != nil || fmt.Sprint(got.Evacuated()) != fmt.Sprint(want) {
			rt.Fatalf("evacuated %v, %v; want %v", got.Evacuated(), err, want)
		}
	}
}

var _ = Describe("an order to evacuate", func() {
	ctx := context.Background()
	order := func(nd *fleetNode, dm string, restore bool) *registrarpb.EditAnswer {
		rs, err := operatorClient(nd).EvacuateDomain(ctx, request(&registrarpb.EvacuateDomainRequest{Domain: dm, Restore: restore}))
		Expect(err).NotTo(HaveOccurred())
		return rs.Msg
	}

	It("is forwarded from any instance, and in force everywhere within milliseconds", func() {
		withFleet(3, 2, func(fl *fleet) {
			rs, err := operatorClient(fl.node("n4")).EvacuateDomain(ctx, request(&registrarpb.EvacuateDomainRequest{Domain: "d1", WaitMs: 2000}))
			Expect(err).NotTo(HaveOccurred())
			answer := rs.Msg
			Expect(answer.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			Expect(answer.GetInForce().GetEverywhere()).To(BeTrue())
			for _, nd := range fl.order {
				Expect(nd.holder.Current().Evacuated()).To(ConsistOf(gypsumhoist.FailureDomain("d1")))
			}
			status, err := operatorClient(fl.node("n2")).Status(ctx, request(&registrarpb.StatusRequest{}))
			Expect(err).NotTo(HaveOccurred())
			Expect(status.Msg.GetEvacuated()).To(Equal([]string{"d1"}))
			Expect(fl.logs.named("domain_evacuated")).To(HaveLen(len(fl.order)))
			answer = order(fl.node("c2"), "d1", true)
			Expect(answer.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			Expect(until(time.Second, func() bool { return inForce(answer.GetRevision(), fl.order...) })).To(BeNumerically(">=", 0))
			Expect(fl.node("n1").holder.Current().Evacuated()).To(BeEmpty())
			Expect(until(time.Second, func() bool { return len(fl.logs.named("domain_restored")) == len(fl.order) })).To(BeNumerically(">=", 0))
		})
	})

	It("is refused for a domain without a known instance, and for the last domain; a restore of a domain that vanished is not", func() {
		withFleet(2, 2, func(fl *fleet) {
			_, err := fl.node("c0").operators.Evacuate(ctx, "nowhere", false)
			Expect(err).To(MatchError(registrar.ErrUnknownDomain))
			Expect(order(fl.node("n0"), "nowhere", true).GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_REFUSED))
			Expect(order(fl.node("n0"), "d1", false).GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			as, err := fl.node("c0").operators.Evacuate(ctx, "d0", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
			var left []registrar.Source
			for _, sc := range fl.sources() {
				if sc.Domain != "d1" {
					left = append(left, sc)
				}
			}
			fl.node("c0").operators.SetSources(left)
			as, err = fl.node("c0").operators.Evacuate(ctx, "d1", true)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
			Expect(as.Revision).To(BeEquivalentTo(2))
		})
	})

	// A domain whose instances are all control instances can't take requests, unless it has as many as gossip passes on of any domain.
	It("counts a domain of control instances as no other domain", func() {
		withFleet(2, 2, func(fl *fleet) {
			c0 := fl.node("c0")
			c0.operators.SetSources([]registrar.Source{
				{Instance: "n0", Domain: "d0"}, {Instance: "c1", Domain: "d1", Control: true, ControlOnly: true},
			})
			as, err := c0.operators.Evacuate(ctx, "d0", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
			as, err = c0.operators.Evacuate(ctx, "d1", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted), "no request goes there anyway")
			c0.operators.SetSources([]registrar.Source{
				{Instance: "c1", Domain: "d2", ControlOnly: true}, {Instance: "c2", Domain: "d2", ControlOnly: true}, {Instance: "c3", Domain: "d2", ControlOnly: true},
			})
			as, err = c0.operators.Evacuate(ctx, "d0", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted), "d2 may have instances that are not known here")
		})
	})

	// Guards against a wrong 404, which ends the operator's call, from an instance that does not know the fleet yet.
	It("is answered as not proposed by an instance that has just started and doesn't know the domain", func() {
		withFleet(2, 2, func(fl *fleet) {
			c0 := fl.node("c0")
			c0.stop()
			c0.restart()
			c0.operators.SetSources(nil)
			for _, dm := range []gypsumhoist.FailureDomain{"d0", "d1"} {
				_, err := c0.operators.Evacuate(ctx, dm, false)
				Expect(err).To(MatchError(registrar.ErrNotProposed), "unknown, or seemingly the last one")
			}
			time.Sleep(3 * time.Second)
			_, err := c0.operators.Evacuate(ctx, "d1", false)
			Expect(err).To(MatchError(registrar.ErrUnknownDomain))
		})
	})

	// Guards against replicas of the log whose revisions differ from then on: an older build refuses the command.
	It("is not proposed while a control instance runs an older build", func() {
		withFleet(2, 2, func(fl *fleet) {
			fl.node("c2").older.Store(true)
			_, err := fl.node("c0").operators.Evacuate(ctx, "d1", false)
			Expect(err).To(MatchError(registrar.ErrNotProposed))
			Expect(err).To(MatchError(ContainSubstring("c2 runs a build that does not know evacuations")))
			Expect(fl.state.Table().Revision()).To(BeZero())
			fl.node("c2").older.Store(false)
			as, err := fl.node("c0").operators.Evacuate(ctx, "d1", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		})
	})

	It("is not delayed by more than half a second by a control instance that doesn't answer", func() {
		withFleet(2, 2, func(fl *fleet) {
			fl.node("c1").silent.Store(true)
			began := time.Now()
			as, err := fl.node("c0").operators.Evacuate(ctx, "d1", false)
			Expect(err).NotTo(HaveOccurred())
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
			Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		})
	})

	It("that races with its opposite leaves the state of the order that was accepted last", func() {
		withFleet(3, 2, func(fl *fleet) {
			type result struct {
				restore bool
				as      registrar.Answer
				err     error
			}
			results := make(chan result, 6)
			for ix := range 6 {
				go func() {
					as, err := fl.node(gypsumhoist.Instance(fmt.Sprint("c", ix%3))).operators.Evacuate(ctx, "d1", ix%2 == 1)
					results <- result{ix%2 == 1, as, err}
				}()
			}
			last, evacuated := uint64(0), false
			for range 6 {
				re := <-results
				Expect(re.err).NotTo(HaveOccurred())
				Expect(re.as.Outcome).NotTo(Equal(registrar.OutcomeRefused))
				if re.as.Outcome == registrar.OutcomeAccepted && re.as.Revision > last {
					last, evacuated = re.as.Revision, !re.restore
				}
			}
			Expect(last).To(BeNumerically(">", 0))
			Expect(len(fl.node("c0").holder.Current().Evacuated()) > 0).To(Equal(evacuated))
		})
	})

	It("is not proposed without a quorum, and by an instance whose operator has gone", func() {
		withFleet(2, 2, func(fl *fleet) {
			gone, cancel := context.WithCancel(ctx)
			cancel()
			_, err := fl.node("c0").operators.Evacuate(gone, "d1", false)
			Expect(err).To(MatchError(registrar.ErrNotProposed))
			fl.node("c0").noQuorum.Store(true)
			_, err = fl.node("c0").operators.Evacuate(ctx, "d1", false)
			Expect(errors.Is(err, registrar.ErrNotProposed)).To(BeTrue())
			Expect(order(fl.node("c0"), "d1", false).GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED), "forwarded")
		})
	})

	// Guards against a node that never learns of an evacuation, or of its end, because the instances above it in the tree run an older build and
	// relay the table without it: every second node, and among them all that pull from control.
	It("reaches every node of this build though others relay the table without it", func() {
		withFleet(2, 24, func(fl *fleet) {
			var newer []*fleetNode
			for ix, nd := range fl.order {
				if nd.self.Control {
					continue
				}
				nd.older.Store(registrar.PreferredSources(nd.self, fl.sources())[0].Control || ix%3 == 0)
				if !nd.older.Load() {
					newer = append(newer, nd)
				}
			}
			Expect(len(newer)).To(BeNumerically(">", 10))
			evacuatedAt := func(want int) func() bool {
				return func() bool {
					for _, nd := range newer {
						if len(nd.holder.Current().Evacuated()) != want {
							return false
						}
					}
					return true
				}
			}
			fl.apply("", newRow("w", "/"))
			time.Sleep(5 * time.Second)
			for round := range 3 {
				order(fl.node("c0"), "d1", false)
				took := until(10*time.Second, evacuatedAt(1))
				Expect(took).To(And(BeNumerically(">=", 0), BeNumerically("<", 5*time.Second)))
				order(fl.node("c0"), "d1", true)
				// An edit that is relayed together with the restore hides it.
				fl.apply("", newRow("w", fmt.Sprint("/", round)))
				restored := until(10*time.Second, evacuatedAt(0))
				Expect(restored).To(And(BeNumerically(">=", 0), BeNumerically("<", 5*time.Second)))
				AddReportEntry(fmt.Sprintf("evacuated after %s, restored after %s", took, restored))
			}
		})
	})

	// A domain that is cut off keeps its table, and a node there goes on sending; it follows within ApplyWithin of its return.
	It("reaches a domain that was cut off when it comes back", func() {
		withFleet(3, 3, func(fl *fleet) {
			fl.setPartitioned("d0", true)
			Expect(order(fl.node("n1"), "d0", false).GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
			time.Sleep(10 * time.Second)
			Expect(fl.node("n0").holder.Current().Evacuated()).To(BeEmpty())
			fl.setPartitioned("d0", false)
			took := until(10*time.Second, func() bool { return len(fl.node("n0").holder.Current().Evacuated()) == 1 })
			AddReportEntry(fmt.Sprintf("in force %s after the return", took))
			Expect(took).To(And(BeNumerically(">=", 0), BeNumerically("<=", 5*time.Second)))
		})
	})
})
