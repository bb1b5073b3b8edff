package server_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"regexp"
	"sync"
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

const (
	// applyWithin is the time from its acceptance within which an edit must be in force at each instance that reaches control.
	applyWithin = 2 * time.Second
	stallLength = 3 * time.Second
	// settleAfter is how long the disturbed instance has to catch up.
	settleAfter  = 3 * time.Second
	editInterval = 250 * time.Millisecond
)

// leaseWatch remembers which instance took the lease of the table's log last.
type leaseWatch struct {
	mu     sync.Mutex
	leader gypsumhoist.Instance
}

var leaseTaken = regexp.MustCompile(`instance=(\S+) event=2200 .*group=table`)

func (lw *leaseWatch) Write(line []byte) (int, error) {
	if found := leaseTaken.FindSubmatch(line); found != nil {
		lw.mu.Lock()
		lw.leader = gypsumhoist.Instance(found[1])
		lw.mu.Unlock()
	}
	return len(line), nil
}

func (lw *leaseWatch) current() gypsumhoist.Instance {
	lw.mu.Lock()
	defer lw.mu.Unlock()
	return lw.leader
}

// leaderLoss edits the table of a fleet all the time, and measures how late edits are at the instances other than the disturbed one.
type leaderLoss struct {
	fleet  *emulator.Fleet
	disks  *disks
	leases *leaseWatch
	rng    *rand.Rand

	mu sync.Mutex
	// accepted holds when the answers to the accepted edits came, by revision, up to newest.
	accepted map[uint64]time.Time
	newest   uint64
	stopped  bool
	// disturbed is the instance that is left out of the measurement.
	disturbed gypsumhoist.Instance
	worst     time.Duration
	late      []string
}

// edits sends one edit after the other to a control instance.
func (ll *leaderLoss) edits(in gypsumhoist.Instance) {
	client := ll.fleet.Client()
	defer client.CloseIdleConnections()
	office := ll.fleet.OperatorClient(client, in)
	for number := 0; ; number++ {
		ll.mu.Lock()
		stopped := ll.stopped
		ll.mu.Unlock()
		if stopped {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		rs, err := office.EditRow(ctx, connect.NewRequest(&registrarpb.EditRowRequest{
			Workspace: "school", Route: fmt.Sprintf("/%s/%d", in, number), EditId: fmt.Sprint(in, number),
			Values: map[string]string{"service": "slips", "rate": "5", "burst": "5"},
		}))
		cancel()
		if err == nil && rs.Msg.GetOutcome() == registrarpb.Outcome_OUTCOME_ACCEPTED {
			ll.accept(rs.Msg.GetRevision())
		}
		time.Sleep(editInterval)
	}
}

func (ll *leaderLoss) accept(revision uint64) {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.accepted[revision] = time.Now()
	ll.newest = max(ll.newest, revision)
}

// missingSince returns for how long a table of the given revision has lacked the next accepted edit; zero if it lacks none. It needs the mutex.
func (ll *leaderLoss) missingSince(revision uint64) time.Duration {
	for next := revision + 1; next <= ll.newest; next++ {
		if at, ok := ll.accepted[next]; ok {
			return time.Since(at)
		}
	}
	return 0
}

// check records each instance that lacks an edit longer than applyWithin.
func (ll *leaderLoss) check() {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	for _, in := range ll.fleet.Names() {
		if in == ll.disturbed {
			continue
		}
		since := ll.missingSince(ll.fleet.Process(in).Server.Revision())
		ll.worst = max(ll.worst, since)
		if since > applyWithin {
			ll.late = append(ll.late, fmt.Sprintf("%s lacks an edit after %s", in, since))
		}
	}
}

// stop ends the edits.
func (ll *leaderLoss) stop() {
	ll.mu.Lock()
	defer ll.mu.Unlock()
	ll.stopped = true
}

// stallLeader makes the disk of the leader stall and leaves the leader out of the measurement. The function that it returns ends the stall.
func (ll *leaderLoss) stallLeader() func() {
	leader := ll.leases.current()
	ll.mu.Lock()
	ll.disturbed = leader
	ll.mu.Unlock()
	ll.disks.setStalled(leader, true)
	return func() { ll.disks.setStalled(leader, false) }
}

// watch checks all instances again and again for the given time.
func (ll *leaderLoss) watch(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		ll.check()
	}
}

// leaderLossSpecs returns a fleet of five failure domains with two instances each.
func leaderLossSpecs(folder string, controls int) []emulator.InstanceSpec {
	dp := emulator.Deployment{
		Domains:      []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville", "sorell", "glenorchy"},
		Services:     []emulator.Service{{Name: "slips", Upstreams: 10, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond}},
		ControlCount: controls,
	}
	specs := dp.InstanceSpecs(func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 0, byte(domain + 1), byte(number)})
	}, folder)
	for ix := range specs {
		st := &specs[ix].Settings
		st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
	}
	return specs
}

// withLeaderLoss runs body with a fleet whose table is edited through each control instance.
func withLeaderLoss(controls int, seed uint64, body func(ll *leaderLoss)) {
	folder, err := os.MkdirTemp("", "gypsumhoist-server-")
	Expect(err).NotTo(HaveOccurred())
	defer os.RemoveAll(folder)
	synctest.Test(suite, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		nw := netemulator.New()
		host := func(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network { return nw.Host(addr, fd) }
		ll := &leaderLoss{
			disks:  &disks{full: map[gypsumhoist.Instance]bool{}, stalled: map[gypsumhoist.Instance]bool{}},
			leases: &leaseWatch{}, rng: rand.New(rand.NewPCG(seed, 37)), accepted: map[uint64]time.Time{},
		}
		ll.fleet = emulator.NewFleet(leaderLossSpecs(folder, controls), emulator.WithInstanceNetworks(host), emulator.WithLog(ll.leases),
			emulator.WithCallerNetwork(host(netip.MustParseAddr("10.9.0.1"), "outside")), emulator.WithDataFolders(ll.disks.open))
		Expect(ll.fleet.Start()).To(Succeed())
		defer ll.fleet.Close()
		time.Sleep(10 * time.Second)
		var editors sync.WaitGroup
		for _, sp := range ll.fleet.InstanceSpecs() {
			if sp.Settings.Has(loader.RoleControl) {
				editors.Go(func() { ll.edits(sp.Settings.Instance) })
			}
		}
		defer editors.Wait()
		defer ll.stop()
		body(ll)
	})
}

var _ = ginkgo.Describe("an edit", func() {
	ginkgo.DescribeTable("is in force in time though the disk of the leader stalls", func(controls int) {
		withLeaderLoss(controls, 1, func(ll *leaderLoss) {
			for range 2 {
				ll.watch(time.Second + time.Duration(ll.rng.IntN(1000))*time.Millisecond)
				end := ll.stallLeader()
				ll.watch(stallLength)
				end()
				ll.watch(settleAfter)
			}
			ginkgo.AddReportEntry(fmt.Sprintf("worst %s of %d edits", ll.worst, len(ll.accepted)))
			Expect(ll.late).To(BeEmpty(), "worst %s", ll.worst)
		})
	}, ginkgo.Entry("one of three control instances", 3), ginkgo.Entry("one of five control instances", 5))
})
