package server_test

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/connector"
	netemulator "github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// seededSpecs returns the specs of a fleet that is configured with seeds only, with chosen keepers (the nodes that hold
// a failure domain's token buckets) and without claims.
// The fourth instance, in the first failure domain, is a control instance that is not among the seeds.
func seededSpecs(folder string) []emulator.InstanceSpec {
	dp := emulator.Deployment{
		Domains:      []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
		Services:     []emulator.Service{{Name: "slips", Upstreams: 4, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond}},
		ControlCount: 3,
	}
	specs := dp.InstanceSpecs(func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 0, byte(domain + 1), byte(number)})
	}, folder)
	for ix := range specs {
		st := &specs[ix].Settings
		st.Control.Founders, st.Control.SeedsFound = nil, true
		st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
	}
	spare := &specs[3].Settings
	spare.Roles = append(spare.Roles, loader.RoleControl)
	spare.DataFolder = filepath.Join(folder, string(spare.Instance))
	return specs
}

// inSeededFleet runs a spec on a seeded fleet with the first three instances running.
func inSeededFleet(spec func(tf *testFleet), opts ...emulator.FleetOption) func() {
	return func() {
		folder, err := os.MkdirTemp("", "gypsumhoist-server-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			nw := netemulator.New()
			host := func(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network { return nw.Host(addr, fd) }
			tf := &testFleet{ran: map[gypsumhoist.Instance]int{}, network: nw}
			opts = append(opts, emulator.WithRunObserver(tf.countRun),
				emulator.WithInstanceNetworks(host), emulator.WithCallerNetwork(host(netip.MustParseAddr("10.9.0.1"), "outside")))
			tf.fleet = emulator.NewFleet(seededSpecs(folder), opts...)
			tf.client = tf.fleet.Client()
			defer tf.fleet.Close()
			defer tf.client.CloseIdleConnections()
			for _, name := range tf.fleet.Names()[:3] {
				Expect(tf.fleet.StartInstance(name)).To(Succeed())
			}
			time.Sleep(5 * time.Second)
			tf.editRow("/slips")
			tf.grantKey()
			spec(tf)
		})
	}
}

// voters returns the voting control instances, as reported by an instance.
func (tf *testFleet) voters(at int) []gypsumhoist.Instance {
	rs, err := tf.fleet.OperatorClient(tf.client, tf.fleet.Names()[at]).Status(context.Background(), connect.NewRequest(&registrarpb.StatusRequest{}))
	Expect(err).NotTo(HaveOccurred())
	var out []gypsumhoist.Instance
	for _, cm := range rs.Msg.GetControls() {
		if cm.GetVoter() {
			out = append(out, gypsumhoist.Instance(cm.GetInstance()))
		}
	}
	return out
}

var _ = ginkgo.Describe("a fleet that is configured with seeds only", func() {
	ginkgo.It("forms, and serves calls up to the rate limit and no more", inSeededFleet(func(tf *testFleet) {
		Expect(tf.voters(0)).To(HaveLen(3))
		counts := map[int]int{}
		for range 200 {
			status, _ := tf.call(1, "/slips/1")
			counts[status]++
			time.Sleep(25 * time.Millisecond)
		}
		Expect(counts[http.StatusOK]).To(BeNumerically(">=", 195))
		began, served := time.Now(), 0
		for time.Since(began) < 5*time.Second {
			if status, _ := tf.call(2, "/slips/1"); status == http.StatusOK {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		Expect(served).To(BeNumerically("<=", 20+5*50+1))
		Expect(served).To(BeNumerically(">=", 5*50*9/10))
	}))

	ginkgo.It("replaces a lost control instance by a new one of its failure domain, and survives the next loss", inSeededFleet(func(tf *testFleet) {
		names := tf.fleet.Names()
		tf.fleet.Kill(names[0])
		time.Sleep(time.Second)
		Expect(tf.fleet.StartInstance(names[3])).To(Succeed())
		time.Sleep(20 * time.Second)
		Expect(tf.voters(1)).To(ConsistOf(names[1], names[2], names[3]))
		tf.fleet.Kill(names[1])
		time.Sleep(5 * time.Second)
		rq := &registrarpb.EditRowRequest{
			Workspace: "school", Route: "/fees", EditId: "after", WaitMs: 0,
			Values: map[string]string{"service": "slips", "rate": "5", "burst": "5"},
		}
		rs, err := tf.fleet.OperatorClient(tf.client, names[3]).EditRow(context.Background(), connect.NewRequest(rq))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
	}))

	ginkgo.It("reloads its settings: valid ones take effect, invalid ones change nothing", inSeededFleet(func(tf *testFleet) {
		sv := tf.fleet.Process(tf.fleet.Names()[0]).Server
		folder, err := os.MkdirTemp("", "gypsumhoist-settings-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		file := filepath.Join(folder, "a.toml")
		good := "instance = \"a\"\nfailure_domain = \"hobart\"\n[listen]\ncallers = \"127.0.0.1:1\"\nupstream = \"127.0.0.1:2\"\n" +
			"peers = \"127.0.0.1:3\"\noperator = \"127.0.0.1:4\"\n[peers]\nseeds = [\"127.0.2.1:7402\"]\n"
		Expect(os.WriteFile(file, []byte(good), 0o600)).To(Succeed())
		Expect(sv.Reload(file)).To(Succeed())
		Expect(os.WriteFile(file, []byte(good+"seeds = 3\n"), 0o600)).To(Succeed())
		Expect(sv.Reload(file)).NotTo(Succeed())
		status, _ := tf.call(0, "/slips/1")
		Expect(status).To(Equal(http.StatusOK))
	}))
})
