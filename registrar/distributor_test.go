package registrar_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/registrar"
)

// withFleet runs body with a fleet in virtual time.
func withFleet(domains, nodesPerDomain int, body func(fl *fleet)) {
	synctest.Test(suiteT, func(_ *testing.T) {
		defer GinkgoRecover()
		fl := newFleet(domains, nodesPerDomain, 3)
		defer func() { fl.stop(); time.Sleep(time.Minute) }()
		Expect(until(5*time.Second, func() bool { return allFresh(fl.order) })).To(BeNumerically(">=", 0))
		time.Sleep(3 * time.Second) // until control claims to know all instances
		body(fl)
	})
}

func allFresh(nodes []*fleetNode) bool {
	for _, nd := range nodes {
		if nd.holder.Age() > 2*time.Second {
			return false
		}
	}
	return true
}

// change returns the change that an answer accepted.
func change(as registrar.Answer) registrar.Change {
	return registrar.Change{Revision: as.Revision, StaleRefusal: as.StaleRefusal, Accepted: time.Now()}
}

func nodesIn(fl *fleet, dm gypsumhoist.FailureDomain) []*fleetNode {
	var list []*fleetNode
	for _, nd := range fl.order {
		if nd.self.Domain == dm {
			list = append(list, nd)
		}
	}
	return list
}

var _ = Describe("distribution of the table", func() {
	It("brings an edit into force everywhere within a second and reports so", func() {
		withFleet(3, 5, func(fl *fleet) {
			as := fl.apply("", newRow("derwent", "/slips"))
			Expect(until(time.Second, func() bool { return inForce(1, fl.order...) })).To(BeNumerically(">=", 0))
			for _, name := range []gypsumhoist.Instance{"c0", "c1", "c2"} {
				ds := fl.node(name).distributor
				Expect(until(time.Second, func() bool { return ds.InForce(change(as)).Everywhere })).To(BeNumerically(">=", 0))
				Expect(ds.InForce(change(as)).Text()).To(ContainSubstring("in force everywhere: all 18 instances in 3 failure domains"))
			}
		})
	})

	It("leaves a cut-off domain on its table, names it in the answer, and updates it once it is reconnected", func() {
		withFleet(3, 5, func(fl *fleet) {
			fl.apply("", newRow("derwent", "/slips"))
			_, gk := mintKey("derwent", 1)
			fl.apply("", gk)
			until(time.Second, func() bool { return inForce(2, fl.order...) })
			fl.setPartitioned("d1", true)
			as := fl.apply("", registrar.WithdrawKey{KeyID: gk.Grant.KeyID})
			time.Sleep(10 * time.Second)
			nf := fl.node("c0").distributor.InForce(change(as))
			Expect(nf.EverywhereOrRefused).To(BeFalse())
			Expect(nf.Text()).To(And(
				ContainSubstring("Failure domain d1: 6 of 6 instances have not confirmed"),
				ContainSubstring("rows that are cut_off=serve are served there"),
			))
			Expect(fl.node("n1").holder.Current().Revision()).To(BeEquivalentTo(2))
			Expect(fl.node("n1").holder.Age()).To(BeNumerically(">", registrar.CutOffLease))
			fl.setPartitioned("d1", false)
			took := until(20*time.Second, func() bool { return inForce(3, fl.order...) })
			Expect(took).To(BeNumerically(">=", 0))
			Expect(took).To(BeNumerically("<", 5*time.Second))
			ds := fl.node("c0").distributor
			Expect(until(10*time.Second, func() bool { return ds.InForce(change(as)).Everywhere })).To(BeNumerically(">=", 0))
		})
	})

	It("reports rows with cut_off=refuse as refused once the lease of a cut-off domain has expired", func() {
		withFleet(3, 4, func(fl *fleet) {
			fl.apply("", newRow("derwent", "/slips", "cut_off=refuse"))
			_, gk := mintKey("derwent", 1)
			fl.apply("", gk)
			ds := fl.node("c0").distributor
			until(5*time.Second, func() bool { return ds.InForce(registrar.Change{Revision: 2}).Everywhere })
			fl.setPartitioned("d1", true)
			cg := change(fl.apply("", registrar.WithdrawKey{KeyID: gk.Grant.KeyID}))
			Expect(cg.StaleRefusal).To(Equal(registrar.StaleRefusal{Guaranteed: true, MinRevision: 1}))
			time.Sleep(3 * time.Second)
			Expect(ds.InForce(cg).EverywhereOrRefused).To(BeFalse())
			began := time.Now()
			nf := ds.WaitInForce(context.Background(), cg)
			Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
			Expect(nf.Everywhere).To(BeFalse())
			Expect(nf.Text()).To(ContainSubstring("nothing runs under the old table"))
			for _, nd := range nodesIn(fl, "d1") {
				Expect(nd.holder.Age()).To(BeNumerically(">", registrar.CutOffLease), string(nd.self.Instance))
			}
		})
	})

	It("never returns to a lower revision when an instance restarts in a cut-off domain whose peers lag", func() {
		withFleet(2, 6, func(fl *fleet) {
			fl.apply("", newRow("derwent", "/slips"))
			until(time.Second, func() bool { return inForce(1, fl.order...) })
			fl.node("n3").stop() // restarts without a table
			fl.setPartitioned("d1", true)
			fl.apply("", edit("derwent", "/slips", 1, "rate=9"))
			time.Sleep(3 * time.Second)
			fl.node("n3").restart()
			nd := fl.node("n3")
			Expect(until(10*time.Second, func() bool { return inForce(1, nd) })).To(BeNumerically(">=", 0))
			lowest := uint64(1)
			watch := func() bool {
				for _, it := range nodesIn(fl, "d1") {
					Expect(it.holder.Current().Revision()).To(BeNumerically(">=", lowest))
				}
				return inForce(2, nodesIn(fl, "d1")...)
			}
			Expect(until(3*time.Second, watch)).To(BeEquivalentTo(-1), "the cut-off domain can't know revision 2")
			fl.setPartitioned("d1", false)
			Expect(until(20*time.Second, watch)).To(BeNumerically(">=", 0))
		})
	})

	It("takes the highest revision of several sources when it starts", func() {
		withFleet(1, 8, func(fl *fleet) {
			fl.apply("", newRow("derwent", "/slips"))
			until(time.Second, func() bool { return inForce(1, fl.order...) })
			nd := fl.node("n2")
			nd.stop()
			for _, name := range []gypsumhoist.Instance{"c0", "c1"} {
				fl.node(name).noQuorum.Store(true)
				fl.node(name).distributor.Stop() // its handler goes on answering with an old table
			}
			fl.apply("", edit("derwent", "/slips", 1, "rate=9")) // c0 and c1 stay at revision 1
			var peers []*fleetNode
			for _, it := range fl.order {
				if !it.self.Control && it != nd {
					peers = append(peers, it)
				}
			}
			Expect(until(5*time.Second, func() bool { return inForce(2, peers...) })).To(BeNumerically(">=", 0))
			Expect(fl.node("c0").holder.Current().Revision()).To(BeEquivalentTo(1))
			nd.restart()
			<-nd.distributor.Ready()
			Expect(nd.holder.Current().Revision()).To(BeEquivalentTo(2))
		})
	})

	It("is not ready with a table that no control instance has confirmed since the whole fleet restarted", func() {
		withFleet(2, 4, func(fl *fleet) {
			fl.apply("", newRow("derwent", "/slips"))
			until(time.Second, func() bool { return inForce(1, fl.order...) })
			fl.stop()
			for _, nd := range fl.order {
				nd.noQuorum.Store(nd.self.Control)
				nd.restart()
			}
			ready := func() int {
				count := 0
				for _, nd := range fl.order {
					select {
					case <-nd.distributor.Ready():
						count++
					default:
					}
				}
				return count
			}
			time.Sleep(3 * time.Second)
			Expect(fl.node("n0").holder.Current().Revision()).To(BeEquivalentTo(1))
			Expect(ready()).To(BeZero())
			apply(fl.state, "", edit("derwent", "/slips", 1, "rate=9"))
			for _, nd := range fl.order {
				nd.noQuorum.Store(false)
			}
			Expect(until(registrar.ApplyWithin, func() bool { return ready() == len(fl.order) })).To(BeNumerically(">=", 0))
			Expect(inForce(2, fl.order...)).To(BeTrue())
		})
	})

	It("stays fresh when parents and a control instance fail, and names an instance that failed", func() {
		withFleet(2, 20, func(fl *fleet) {
			failed := []gypsumhoist.Instance{"c0", "n0", "n1", "n2", "n3", "n4", "n5"}
			for _, name := range failed {
				fl.node(name).stop()
			}
			var alive []*fleetNode
			for _, nd := range fl.order {
				if !nd.down.Load() {
					alive = append(alive, nd)
				}
			}
			oldest := time.Duration(0)
			until(20*time.Second, func() bool {
				for _, nd := range alive {
					oldest = max(oldest, nd.holder.Age())
				}
				return false
			})
			Expect(oldest).To(BeNumerically("<", registrar.CutOffLease))
			as := fl.apply("", newRow("derwent", "/slips"))
			Expect(until(2*time.Second, func() bool { return inForce(1, alive...) })).To(BeNumerically(">=", 0))
			time.Sleep(2 * time.Second)
			nf := fl.node("c1").distributor.InForce(change(as))
			late := 0
			for _, dm := range nf.Domains {
				late += len(dm.Late)
			}
			Expect(late).To(Equal(len(failed)))
			Expect(nf.Text()).To(ContainSubstring("n0 had revision 0 when last heard at"))
		})
	})

	It("stops pulling from a control instance whose log lost its quorum", func() {
		withFleet(3, 4, func(fl *fleet) {
			fl.node("c0").noQuorum.Store(true)
			time.Sleep(10 * time.Second)
			Expect(allFresh(fl.order)).To(BeTrue(), "c0 itself pulls from others")
			fl.apply("", newRow("derwent", "/slips"))
			Expect(until(2*time.Second, func() bool { return inForce(1, fl.order...) })).To(BeNumerically(">=", 0))
		})
	})

	DescribeTable("meets its bounds of latency and traffic", Label("measure"), func(nodes int) {
		withFleet(4, nodes/4, func(fl *fleet) {
			time.Sleep(10 * time.Second)
			for _, nd := range fl.order {
				nd.bytes.Store(0)
			}
			var slowest, confirmed time.Duration
			const edits, interval = 5, 2 * time.Second
			for ix := range uint64(edits) {
				as := fl.apply("", edit("derwent", "/slips", ix, "service=rolls", "rate=5", fmt.Sprint("burst=", ix+1)))
				began := time.Now()
				took := until(5*time.Second, func() bool { return inForce(ix+1, fl.order...) })
				Expect(took).To(BeNumerically(">=", 0))
				slowest = max(slowest, took)
				ds := fl.node("c0").distributor
				Expect(until(10*time.Second, func() bool { return ds.InForce(change(as)).Everywhere })).To(BeNumerically(">=", 0))
				confirmed = max(confirmed, time.Since(began))
				time.Sleep(interval - time.Since(began))
			}
			var most, control int64
			for _, nd := range fl.order {
				perSecond := nd.bytes.Load() / int64(edits*interval/time.Second)
				if nd.self.Control {
					control = max(control, perSecond)
					continue
				}
				most = max(most, perSecond)
			}
			line := fmt.Sprintf("%d nodes: in force after at most %s, confirmed after %s; "+
				"busiest node %d B/s, busiest control %d B/s, at an edit every %s", nodes, slowest, confirmed, most, control, interval)
			GinkgoWriter.Println(line)
			AddReportEntry(strings.ReplaceAll(line, "\n", " "))
			Expect(slowest).To(BeNumerically("<", time.Second))
			Expect(confirmed).To(BeNumerically("<", 2*time.Second))
			Expect(most).To(BeNumerically("<", 16<<10))
			Expect(control).To(BeNumerically("<", 16<<10))
		})
	}, Entry(nil, 8), Entry(nil, 32), Entry(nil, 128))
})
