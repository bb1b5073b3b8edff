package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	netemulator "github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// evacuationWithin is the time from the acknowledgement within which no node in contact sends to an evacuated domain: the bound of the requirements.
const evacuationWithin = 5 * time.Second

// evacuationFleet is a fleet of four instances in each of three failure domains, of which the first of each is a control instance too,
// under a constant load from callers at every instance.
type evacuationFleet struct {
	fleet   *emulator.Fleet
	network *netemulator.Network
	client  *http.Client
	key     string
	disks   *disks
	leases  *leaseWatch

	mu sync.Mutex
	// lastRun is when the upstreams of a domain last began a request, and ran how many they have begun.
	lastRun  map[gypsumhoist.FailureDomain]time.Time
	ran      map[gypsumhoist.FailureDomain]int
	statuses map[int]int
	stopped  bool
}

// domainOf returns the failure domain of an instance.
func domainOf(fleet *emulator.Fleet, in gypsumhoist.Instance) gypsumhoist.FailureDomain {
	for _, sp := range fleet.InstanceSpecs() {
		if sp.Settings.Instance == in {
			return sp.Settings.FailureDomain
		}
	}
	return ""
}

func (ef *evacuationFleet) observe(rn checker.Run) {
	dm := domainOf(ef.fleet, rn.Instance)
	ef.mu.Lock()
	defer ef.mu.Unlock()
	ef.ran[dm]++
	if rn.Began.After(ef.lastRun[dm]) {
		ef.lastRun[dm] = rn.Began
	}
}

// withEvacuationFleet runs a spec with a fleet under load.
func withEvacuationFleet(spec func(ef *evacuationFleet)) func() {
	return func() {
		folder, err := os.MkdirTemp("", "gypsumhoist-server-")
		Expect(err).NotTo(HaveOccurred())
		defer os.RemoveAll(folder)
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			ef := newEvacuationFleet(folder)
			defer ef.fleet.Close()
			defer ef.client.CloseIdleConnections()
			var load sync.WaitGroup
			defer load.Wait()
			defer ef.stop()
			for ix := range ef.fleet.InstanceSpecs() {
				load.Go(func() { ef.load(ix) })
			}
			time.Sleep(2 * time.Second)
			spec(ef)
		})
	}
}

func newEvacuationFleet(folder string) *evacuationFleet {
	nw := netemulator.New()
	host := func(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network { return nw.Host(addr, fd) }
	dp := emulator.Deployment{
		Domains:      []gypsumhoist.FailureDomain{"hobart", "kingston", "huonville"},
		Services:     []emulator.Service{{Name: "slips", Upstreams: 12, Slots: 20, Connections: 200, MeanServiceTime: 5 * time.Millisecond}},
		ControlCount: 3,
	}
	for ix, da := range dp.Domains {
		for _, db := range dp.Domains[ix+1:] {
			nw.SetDelay(da, db, 1400*time.Microsecond)
		}
	}
	specs := dp.InstanceSpecs(func(domain, number int) netip.Addr {
		return netip.AddrFrom4([4]byte{127, 0, byte(domain + 1), byte(number)})
	}, folder)
	for ix := range specs {
		st := &specs[ix].Settings
		st.Rates.Keepers, st.Claims.Off = loader.KeepersChosen, true
	}
	ef := &evacuationFleet{
		network: nw, lastRun: map[gypsumhoist.FailureDomain]time.Time{}, ran: map[gypsumhoist.FailureDomain]int{}, statuses: map[int]int{},
		disks:  &disks{full: map[gypsumhoist.Instance]bool{}, stalled: map[gypsumhoist.Instance]bool{}},
		leases: &leaseWatch{},
	}
	ef.fleet = emulator.NewFleet(specs, emulator.WithRunObserver(ef.observe), emulator.WithInstanceNetworks(host),
		emulator.WithLog(ef.leases), emulator.WithDataFolders(ef.disks.open),
		emulator.WithCallerNetwork(host(netip.MustParseAddr("10.9.0.1"), "outside")))
	ef.client = ef.fleet.Client()
	Expect(ef.fleet.Start()).To(Succeed())
	time.Sleep(10 * time.Second)
	office := ef.fleet.OperatorClient(ef.client, ef.fleet.Names()[0])
	_, err := office.EditRow(context.Background(), connect.NewRequest(&registrarpb.EditRowRequest{
		Workspace: "school", Route: "/slips", EditId: "row", WaitMs: 5000, Values: map[string]string{"service": "slips", "rate": "5000", "burst": "5000"},
	}))
	Expect(err).NotTo(HaveOccurred())
	key, err := office.GrantKey(context.Background(), connect.NewRequest(&registrarpb.GrantKeyRequest{Workspace: "school", EditId: "key", WaitMs: 5000}))
	Expect(err).NotTo(HaveOccurred())
	ef.key = key.Msg.GetKey()
	time.Sleep(5 * time.Second)
	return ef
}

// loadInterval is the time between two calls at an instance.
const loadInterval = 40 * time.Millisecond

// load calls one instance until the spec has ended.
func (ef *evacuationFleet) load(at int) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		ef.mu.Lock()
		stopped := ef.stopped
		ef.mu.Unlock()
		if stopped {
			return
		}
		calls.Go(func() { ef.call(at) })
		time.Sleep(loadInterval)
	}
}

func (ef *evacuationFleet) call(at int) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/slips/1", ef.fleet.InstanceSpecs()[at].Settings.Listen.Callers), nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set(gypsumhoist.HeaderKey, ef.key)
	status := 0
	if rs, err := ef.client.Do(req); err == nil {
		status = rs.StatusCode
		// Only the status is of interest.
		_ = rs.Body.Close()
	}
	ef.mu.Lock()
	defer ef.mu.Unlock()
	ef.statuses[status]++
}

func (ef *evacuationFleet) stop() {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	ef.stopped = true
}

// controls returns the control instances.
func (ef *evacuationFleet) controls() []gypsumhoist.Instance {
	var list []gypsumhoist.Instance
	for _, sp := range ef.fleet.InstanceSpecs() {
		if sp.Settings.Has(loader.RoleControl) {
			list = append(list, sp.Settings.Instance)
		}
	}
	return list
}

// order sends an order to the control instances in turn until one acknowledges it, as an operator of the platform does. It returns the revision and
// how long the acknowledgement took.
func (ef *evacuationFleet) order(dm gypsumhoist.FailureDomain, restore bool) (registrar.Answer, time.Duration) {
	began := time.Now()
	for number := 0; ; number++ {
		in := ef.controls()[number%3]
		if pr := ef.fleet.Process(in); pr != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			as, err := pr.Server.OperatorService().Evacuate(ctx, dm, restore)
			cancel()
			if err == nil && as.Outcome != registrar.OutcomeConflict {
				return as, time.Since(began)
			}
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Minute), "no instance acknowledges")
		time.Sleep(250 * time.Millisecond)
	}
}

// expectEmpty checks that a domain has got no request later than evacuationWithin after the given time, and gets none for a while.
func (ef *evacuationFleet) expectEmpty(dm gypsumhoist.FailureDomain, since time.Time) time.Duration {
	ginkgo.GinkgoHelper()
	time.Sleep(evacuationWithin)
	ef.mu.Lock()
	last := ef.lastRun[dm].Sub(since)
	ef.mu.Unlock()
	Expect(last).To(BeNumerically("<", evacuationWithin))
	before := ef.runs(dm)
	time.Sleep(3 * time.Second)
	Expect(ef.runs(dm)).To(Equal(before))
	return last
}

func (ef *evacuationFleet) runs(dm gypsumhoist.FailureDomain) int {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	return ef.ran[dm]
}

// expectServed checks that a domain gets requests again.
func (ef *evacuationFleet) expectServed(dm gypsumhoist.FailureDomain) {
	ginkgo.GinkgoHelper()
	time.Sleep(2 * time.Second)
	before := ef.runs(dm)
	time.Sleep(time.Second)
	Expect(ef.runs(dm) - before).To(BeNumerically(">", 50))
}

func (ef *evacuationFleet) expectAllAnswered() {
	ginkgo.GinkgoHelper()
	ef.mu.Lock()
	defer ef.mu.Unlock()
	Expect(ef.statuses).To(HaveLen(1))
	Expect(ef.statuses).To(HaveKey(http.StatusOK))
}

var _ = ginkgo.Describe("an evacuation", func() {
	const dm gypsumhoist.FailureDomain = "hobart"

	// Guards against requests that go on to the domain, from its own nodes too, and against requests that fail because of the evacuation.
	ginkgo.It("empties a domain in time, whose nodes go on serving callers, and a restore ends it", withEvacuationFleet(func(ef *evacuationFleet) {
		as, took := ef.order(dm, false)
		acknowledged := time.Now()
		Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(took).To(BeNumerically("<", time.Second))
		ginkgo.AddReportEntry(fmt.Sprintf("acknowledged after %s, last request to the domain %s after the acknowledgement", took, ef.expectEmpty(dm, acknowledged)))
		ef.expectAllAnswered()
		// No node tries: each call takes one attempt, apart from those in flight when the counts are read.
		picks, calls := ef.picks(), ef.calls()
		time.Sleep(3 * time.Second)
		Expect(ef.picks() - picks).To(BeNumerically("<=", ef.calls()-calls+len(ef.fleet.Names())))
		dw := ef.work(dm)
		Expect(dw.Evacuated).To(BeTrue())
		Expect(dw.Instances).To(HaveLen(4))
		Expect(dw.Requests).To(BeZero())
		Expect(ef.work("kingston").Evacuated).To(BeFalse())
		_, took = ef.order(dm, true)
		Expect(took).To(BeNumerically("<", time.Second))
		ef.expectServed(dm)
		ef.expectAllAnswered()
	}))

	// Guards against an order that only the leader of the log takes: an operator sends it to any control instance.
	ginkgo.It("is acknowledged by each control instance within a second", withEvacuationFleet(func(ef *evacuationFleet) {
		for _, in := range ef.controls() {
			for _, restore := range []bool{false, false, true, true} {
				began := time.Now()
				as, err := ef.fleet.Process(in).Server.OperatorService().Evacuate(context.Background(), dm, restore)
				Expect(err).NotTo(HaveOccurred())
				Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
				Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			}
		}
		time.Sleep(2 * time.Second)
		for _, in := range ef.fleet.Names() {
			Expect(ef.evacuatedAt(in)).To(BeEmpty())
		}
	}))

	// Guards against nodes that wait for a source of the table that has fallen silent, and go on sending meanwhile.
	ginkgo.It("is in force in time though a control instance falls silent just before", withEvacuationFleet(func(ef *evacuationFleet) {
		silent := ef.controls()[1]
		Expect(domainOf(ef.fleet, silent)).NotTo(Equal(dm))
		ef.network.CutBoth(ef.addresses(silent))
		time.Sleep(50 * time.Millisecond)
		_, took := ef.order(dm, false)
		acknowledged := time.Now()
		ginkgo.AddReportEntry(fmt.Sprintf("acknowledged after %s, last request to the domain %s after the acknowledgement", took, ef.expectEmpty(dm, acknowledged)))
		ef.network.HealBoth(ef.addresses(silent))
	}))

	// Guards against an evacuation that is lost, or carried out twice, with the instance that accepted it.
	ginkgo.It("outlasts the control instance that dies between the log and the acknowledgement, and a resend is accepted", withEvacuationFleet(func(ef *evacuationFleet) {
		leader := ef.leases.current()
		revision := ef.fleet.Process(leader).Server.Revision()
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, _ = ef.fleet.Process(leader).Server.OperatorService().Evacuate(ctx, dm, false)
		}()
		for ef.fleet.Process(leader).Server.Revision() == revision {
			time.Sleep(100 * time.Microsecond)
		}
		go ef.fleet.Kill(leader)
		as, took := ef.order(dm, false)
		acknowledged := time.Now()
		Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		Expect(took).To(BeNumerically("<", 8*time.Second))
		ginkgo.AddReportEntry(fmt.Sprintf("%s killed, resend acknowledged after %s, last request to the domain %s after that", leader, took, ef.expectEmpty(dm, acknowledged)))
		<-answered
		for _, in := range ef.controls() {
			if in != leader {
				Expect(ef.evacuatedAt(in)).To(ConsistOf(dm))
				Expect(ef.fleet.Process(in).Server.Revision()).To(BeNumerically(">", revision))
			}
		}
	}))

	// Guards against a node that comes back with the table from before the evacuation and goes on under it.
	ginkgo.It("reaches a node that was cut off when it comes back", withEvacuationFleet(func(ef *evacuationFleet) {
		lost := ef.fleet.Names()[len(ef.fleet.Names())-1]
		ef.network.CutBoth(ef.addresses(lost))
		time.Sleep(time.Second)
		_, _ = ef.order(dm, false)
		acknowledged := time.Now()
		ef.expectEmpty(dm, acknowledged)
		Expect(ef.evacuatedAt(lost)).To(BeEmpty())
		ef.network.HealBoth(ef.addresses(lost))
		healed := time.Now()
		for len(ef.evacuatedAt(lost)) == 0 {
			Expect(time.Since(healed)).To(BeNumerically("<", evacuationWithin))
			time.Sleep(10 * time.Millisecond)
		}
		ginkgo.AddReportEntry(fmt.Sprintf("in force at the node %s after its return", time.Since(healed)))
		ef.expectEmpty(dm, acknowledged)
	}))

	// Guards against requests that run in the domain because the node that sent them has an older table, and against requests that fail for that.
	ginkgo.It("is enforced by the nodes of the domain against those that have an older table", withEvacuationFleet(func(ef *evacuationFleet) {
		for _, in := range ef.fleet.Names() {
			if domainOf(ef.fleet, in) == dm {
				server.SetEvacuatedLocally(ef.fleet.Process(in).Server, dm)
			}
		}
		time.Sleep(100 * time.Millisecond)
		before := ef.runs(dm)
		time.Sleep(3 * time.Second)
		Expect(ef.runs(dm)).To(Equal(before))
		ef.expectAllAnswered()
	}))

	// Guards against an evacuation that ends with the processes that know of it.
	ginkgo.It("outlasts a restart of all control instances, and of all instances", withEvacuationFleet(func(ef *evacuationFleet) {
		_, _ = ef.order(dm, false)
		acknowledged := time.Now()
		ef.expectEmpty(dm, acknowledged)
		for _, in := range ef.controls() {
			ef.fleet.Kill(in)
		}
		time.Sleep(time.Second)
		for _, in := range ef.controls() {
			Expect(ef.fleet.StartInstance(in)).To(Succeed())
		}
		ef.expectEmpty(dm, acknowledged)
		for _, in := range ef.fleet.Names() {
			ef.fleet.Kill(in)
		}
		for _, in := range ef.fleet.Names() {
			Expect(ef.fleet.StartInstance(in)).To(Succeed())
		}
		ef.expectEmpty(dm, acknowledged)
		ef.expectServed("kingston")
		_, _ = ef.order(dm, true)
		ef.expectServed(dm)
	}))

	// Guards against two operators of whom each is told that the domain is in the state that it ordered last.
	ginkgo.It("that races with a restore leaves all instances with the state that was accepted last", withEvacuationFleet(func(ef *evacuationFleet) {
		for range 5 {
			type result struct {
				as      registrar.Answer
				restore bool
			}
			results := make(chan result, 2)
			for ix, in := range ef.controls()[:2] {
				go func() {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					defer cancel()
					as, err := ef.fleet.Process(in).Server.OperatorService().Evacuate(ctx, dm, ix == 1)
					Expect(err).NotTo(HaveOccurred())
					results <- result{as, ix == 1}
				}()
			}
			var last result
			for range 2 {
				re := <-results
				if re.as.Outcome == registrar.OutcomeAccepted && re.as.Revision >= last.as.Revision {
					// A fulfilled order has the revision of the change that fulfilled it, which then is the other one's.
					last = re
				}
			}
			Expect(last.as.Outcome).To(Equal(registrar.OutcomeAccepted))
			time.Sleep(2 * time.Second)
			want := ef.evacuatedAt(ef.controls()[0])
			for _, in := range ef.fleet.Names() {
				Expect(ef.evacuatedAt(in)).To(Equal(want))
			}
			Expect(len(want) == 0).To(Equal(last.restore))
		}
	}))

	// Guards against a domain that gets requests again because the table was replaced.
	ginkgo.It("stays while the sheet is replaced", withEvacuationFleet(func(ef *evacuationFleet) {
		_, _ = ef.order(dm, false)
		acknowledged := time.Now()
		office := ef.fleet.OperatorClient(ef.client, ef.fleet.Names()[0])
		export, err := office.Export(context.Background(), connect.NewRequest(&registrarpb.ExportRequest{}))
		Expect(err).NotTo(HaveOccurred())
		rs, err := office.Replace(context.Background(), connect.NewRequest(&registrarpb.ReplaceRequest{Version: 1, Csv: export.Msg.GetCsv(), KeepKeys: true}))
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Msg.GetOutcome()).To(Equal(registrarpb.Outcome_OUTCOME_ACCEPTED))
		ef.expectEmpty(dm, acknowledged)
		ef.expectAllAnswered()
	}))

	// Guards against an order that leaves no domain, after which every request would be refused.
	ginkgo.It("of the last domain is refused", withEvacuationFleet(func(ef *evacuationFleet) {
		for _, other := range []gypsumhoist.FailureDomain{"kingston", "huonville"} {
			as, _ := ef.order(other, false)
			Expect(as.Outcome).To(Equal(registrar.OutcomeAccepted))
		}
		as, _ := ef.order(dm, false)
		Expect(as.Outcome).To(Equal(registrar.OutcomeRefused))
		acknowledged := time.Now()
		ef.expectEmpty("kingston", acknowledged)
		ef.expectServed(dm)
	}))
})

// addresses returns the address of an instance and those of all others, as the two sides of a partition.
func (ef *evacuationFleet) addresses(in gypsumhoist.Instance) (one, others []netip.Addr) {
	for _, sp := range ef.fleet.InstanceSpecs() {
		if sp.Settings.Instance == in {
			one = append(one, sp.Address())
			continue
		}
		others = append(others, sp.Address())
	}
	return one, others
}

// picks returns how many attempts the routers of all instances have made.
func (ef *evacuationFleet) picks() int {
	ginkgo.GinkgoHelper()
	sum := 0
	for _, sp := range ef.fleet.InstanceSpecs() {
		rs, err := ef.client.Get(fmt.Sprintf("http://%s/metrics", sp.Settings.Listen.Operator))
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(rs.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(rs.Body.Close()).To(Succeed())
		found := regexp.MustCompile(`(?m)^gypsumhoist_router_picks_total (\d+)$`).FindSubmatch(text)
		Expect(found).To(HaveLen(2))
		count, err := strconv.Atoi(string(found[1]))
		Expect(err).NotTo(HaveOccurred())
		sum += count
	}
	return sum
}

// calls returns how many calls have ended.
func (ef *evacuationFleet) calls() int {
	ef.mu.Lock()
	defer ef.mu.Unlock()
	sum := 0
	for _, count := range ef.statuses {
		sum += count
	}
	return sum
}

// work returns what runs in a domain, as an operator reads it.
func (ef *evacuationFleet) work(dm gypsumhoist.FailureDomain) server.DomainWork {
	ginkgo.GinkgoHelper()
	rs, err := ef.client.Get(fmt.Sprintf("http://%s/status/work/%s", ef.fleet.InstanceSpecs()[0].Settings.Listen.Operator, dm))
	Expect(err).NotTo(HaveOccurred())
	defer rs.Body.Close()
	var dw server.DomainWork
	Expect(json.NewDecoder(rs.Body).Decode(&dw)).To(Succeed())
	return dw
}

// evacuatedAt returns the evacuated domains of the table in force at an instance.
func (ef *evacuationFleet) evacuatedAt(in gypsumhoist.Instance) []gypsumhoist.FailureDomain {
	return ef.fleet.Process(in).Server.Evacuated()
}
