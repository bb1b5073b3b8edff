package server_test

import (
	"context"
	"net/netip"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// loseDisk empties the data folder of an instance that is down. It starts as one that was not told of the others that are down.
func loseDisk(sp *emulator.InstanceSpec) {
	Expect(os.RemoveAll(sp.Settings.DataFolder)).To(Succeed())
	sp.Settings.Control.JoinOnly = true
	sp.Settings.Peers.Seeds = []netip.AddrPort{sp.Settings.Listen.Peers}
}

// revision returns the revision that an instance's operator port reports.
func (tf *testFleet) revision(at int) uint64 {
	rs, err := tf.fleet.OperatorClient(tf.client, tf.fleet.Names()[at]).ListRows(context.Background(), connect.NewRequest(&registrarpb.ListRowsRequest{}))
	Expect(err).NotTo(HaveOccurred())
	return rs.Msg.GetRevision()
}

var _ = ginkgo.Describe("a control instance that lost its disk", func() {
	ginkgo.It("founds no second log while the others are down, and joins theirs once they are back", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		before := tf.revision(0)
		for _, name := range names[:3] {
			tf.fleet.Kill(name)
		}
		loseDisk(&tf.fleet.InstanceSpecs()[0])
		Expect(tf.fleet.StartInstance(names[0])).To(Succeed())
		time.Sleep(8 * time.Second)
		Expect(tf.fleet.StartInstance(names[1])).To(Succeed())
		Expect(tf.fleet.StartInstance(names[2])).To(Succeed())
		time.Sleep(10 * time.Second)
		for at := range 3 {
			Expect(tf.revision(at)).To(BeNumerically(">=", before), string(names[at]))
		}
		Expect(tf.voters(1)).To(ConsistOf(names[0], names[1], names[2]))
		tf.fleet.Kill(names[1])
		time.Sleep(3 * time.Second)
		tf.editRow("/rolls")
	}))
})

var _ = ginkgo.Describe("a control instance that lost its disk, with seeds that are gone", func() {
	ginkgo.It("joins through those that are left", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		tf.fleet.Kill(names[0])
		sp := &tf.fleet.InstanceSpecs()[0]
		present := sp.Settings.Peers.Seeds
		loseDisk(sp)
		sp.Settings.Peers.Seeds = nil
		for last := range byte(6) {
			sp.Settings.Peers.Seeds = append(sp.Settings.Peers.Seeds, netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 100 + last}), present[0].Port()))
		}
		sp.Settings.Peers.Seeds = append(sp.Settings.Peers.Seeds, present...)
		for _, sd := range sp.Settings.Peers.Seeds[:6] {
			tf.network.Cut([]netip.Addr{sp.Settings.Listen.Peers.Addr()}, []netip.Addr{sd.Addr()})
		}
		Expect(tf.fleet.StartInstance(names[0])).To(Succeed())
		time.Sleep(5 * time.Second)
		Expect(tf.voters(1)).To(ConsistOf(names[0], names[1], names[2]))
		Expect(tf.revision(0)).To(Equal(tf.revision(1)))
	}))
})

// Guards against a member of the table's log that is gone and keeps its vote beside its successor's: with one more disk lost, two of four
// votes were left, and nobody could change that (docs/incidents/dead-vote.md).
var _ = ginkgo.Describe("the table's log", func() {
	accepts := func(tf *testFleet, at int) {
		rq := &registrarpb.EditRowRequest{
			Workspace: "school", Route: "/fees", EditId: "after", WaitMs: 0,
			Values: map[string]string{"service": "slips", "rate": "5", "burst": "5"},
		}
		rs, err := tf.fleet.OperatorClient(tf.client, tf.fleet.Names()[at]).EditRow(context.Background(), connect.NewRequest(rq))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
	}
	// loseDiskFor kills an instance, and starts it a second later without its disk.
	loseDiskFor := func(tf *testFleet, at int) {
		tf.fleet.Kill(tf.fleet.Names()[at])
		loseDisk(&tf.fleet.InstanceSpecs()[at])
		tf.fleet.InstanceSpecs()[at].Settings.Peers.Seeds = tf.fleet.InstanceSpecs()[2].Settings.Peers.Seeds
		time.Sleep(time.Second)
		Expect(tf.fleet.StartInstance(tf.fleet.Names()[at])).To(Succeed())
	}

	ginkgo.It("survives that a disk is lost 2 s after another control instance was replaced as planned", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		Expect(tf.fleet.StartInstance(names[3])).To(Succeed())
		time.Sleep(10 * time.Second)
		Expect(tf.voters(1)).To(ConsistOf(names[0], names[1], names[2], names[3]))
		Expect(tf.fleet.Stop(context.Background(), names[0])).To(Succeed())
		time.Sleep(2 * time.Second)
		loseDiskFor(tf, 1)
		time.Sleep(5 * time.Second)
		accepts(tf, 2)
		Expect(tf.voters(2)).To(ContainElements(names[1], names[2], names[3]))
	}))

	ginkgo.It("survives that a disk is lost 4 s after another control instance with a successor was found lost", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		Expect(tf.fleet.StartInstance(names[3])).To(Succeed())
		time.Sleep(10 * time.Second)
		tf.fleet.Kill(names[0])
		time.Sleep(4 * time.Second)
		loseDiskFor(tf, 1)
		time.Sleep(5 * time.Second)
		accepts(tf, 2)
	}))

	ginkgo.It("gives a control instance its vote again that was restarted beside another one of its failure domain", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		Expect(tf.fleet.StartInstance(names[3])).To(Succeed())
		time.Sleep(10 * time.Second)
		Expect(tf.fleet.Stop(context.Background(), names[0])).To(Succeed())
		time.Sleep(1500 * time.Millisecond)
		Expect(tf.voters(1)).To(ConsistOf(names[1], names[2], names[3]))
		Expect(tf.fleet.StartInstance(names[0])).To(Succeed())
		time.Sleep(8 * time.Second)
		Expect(tf.voters(1)).To(ConsistOf(names[0], names[1], names[2], names[3]))
	}))

	ginkgo.It("survives that one machine loses its disk twice within a second, and another one its own soon after", inSeededFleet(func(tf *testFleet) {
		loseDiskFor(tf, 0)
		time.Sleep(30 * time.Millisecond)
		loseDiskFor(tf, 0)
		time.Sleep(2 * time.Second)
		loseDiskFor(tf, 1)
		time.Sleep(5 * time.Second)
		accepts(tf, 2)
		Expect(tf.voters(2)).To(ConsistOf(tf.fleet.Names()[:3]))
	}))
})
