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

// seeded returns places whose control instances are told nothing but seeds, with chosen keepers of rates and no claims.
// The fourth one, of the first failure domain, is a control instance that no seed names.
func seeded(folder string) []emulator.Place {
	dp := emulator.Deployment{
		Domains:  []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
		Services: []emulator.Service{{Name: "slips", Upstreams: 4, Slots: 20, Connections: 200, Took: 5 * time.Millisecond}},
		Controls: 3,
	}
	places := dp.Places(func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 0, byte(domain + 1), byte(number)})
	}, folder)
	for ix := range places {
		st := &places[ix].Settings
		st.Control.Founders, st.Control.SeedsFound = nil, true
		st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
	}
	spare := &places[3].Settings
	spare.Roles = append(spare.Roles, loader.RoleControl)
	spare.DataFolder = filepath.Join(folder, string(spare.Instance))
	return places
}

// inSeededFleet runs a spec with the first three instances up.
func inSeededFleet(spec func(bn *bench), opts ...emulator.FleetOption) func() {
	return func() {
		folder, err := os.MkdirTemp("", "gypsumhoist-server-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			nw := netemulator.New()
			host := func(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network { return nw.Host(addr, fd) }
			bn := &bench{ran: map[gypsumhoist.Instance]int{}}
			opts = append(opts, emulator.WithRuns(bn.note),
				emulator.WithHosts(host), emulator.WithCaller(host(netip.MustParseAddr("10.9.0.1"), "outside")))
			bn.fleet = emulator.NewFleet(seeded(folder), opts...)
			bn.client = bn.fleet.Client()
			defer bn.fleet.Close()
			defer bn.client.CloseIdleConnections()
			for _, name := range bn.fleet.Names()[:3] {
				Expect(bn.fleet.Run(name)).To(Succeed())
			}
			time.Sleep(5 * time.Second)
			bn.edit("/slips")
			bn.grant()
			spec(bn)
		})
	}
}

// voters returns the control instances that vote, as an instance tells them.
func (bn *bench) voters(at int) []gypsumhoist.Instance {
	rs, err := bn.fleet.Office(bn.client, bn.fleet.Names()[at]).Status(context.Background(), connect.NewRequest(&registrarpb.StatusRequest{}))
	Expect(err).NotTo(HaveOccurred())
	var out []gypsumhoist.Instance
	for _, cm := range rs.Msg.GetControls() {
		if cm.GetVoter() {
			out = append(out, gypsumhoist.Instance(cm.GetInstance()))
		}
	}
	return out
}

var _ = ginkgo.Describe("a fleet that was told nothing but seeds", func() {
	ginkgo.It("forms, serves what the rate allows, and no more", inSeededFleet(func(bn *bench) {
		Expect(bn.voters(0)).To(HaveLen(3))
		counts := map[int]int{}
		for range 200 {
			status, _ := bn.call(1, "/slips/1")
			counts[status]++
			time.Sleep(25 * time.Millisecond)
		}
		Expect(counts[http.StatusOK]).To(BeNumerically(">=", 195))
		began, served := time.Now(), 0
		for time.Since(began) < 5*time.Second {
			if status, _ := bn.call(2, "/slips/1"); status == http.StatusOK {
				served++
			}
			time.Sleep(5 * time.Millisecond)
		}
		Expect(served).To(BeNumerically("<=", 20+5*50+1))
		Expect(served).To(BeNumerically(">=", 5*50*9/10))
	}))

	ginkgo.It("gives the seat of a lost control instance to a new one of its failure domain, and survives the next loss", inSeededFleet(func(bn *bench) {
		names := bn.fleet.Names()
		bn.fleet.Kill(names[0])
		time.Sleep(time.Second)
		Expect(bn.fleet.Run(names[3])).To(Succeed())
		time.Sleep(20 * time.Second)
		Expect(bn.voters(1)).To(ConsistOf(names[1], names[2], names[3]))
		bn.fleet.Kill(names[1])
		time.Sleep(5 * time.Second)
		rq := &registrarpb.EditRowRequest{
			Workspace: "school", Route: "/fees", EditId: "after", WaitMs: 0,
			Values: map[string]string{"service": "slips", "rate": "5", "burst": "5"},
		}
		rs, err := bn.fleet.Office(bn.client, names[3]).EditRow(context.Background(), connect.NewRequest(rq))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
	}))

	ginkgo.It("reads its settings again: good ones take effect, bad ones change nothing", inSeededFleet(func(bn *bench) {
		sv := bn.fleet.Process(bn.fleet.Names()[0]).Server
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
		status, _ := bn.call(0, "/slips/1")
		Expect(status).To(Equal(http.StatusOK))
	}))
})
