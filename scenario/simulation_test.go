package scenario_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	netemulator "github.com/gypsumhoist/gypsumhoist/connector/emulator"
	"github.com/gypsumhoist/gypsumhoist/emulator"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
)

// externalDomain is the failure domain of callers and operators, outside of the fleet.
const externalDomain gypsumhoist.FailureDomain = "outside"

// operatorTimeout bounds an operator's request, including resends under the same edit id.
const operatorTimeout = 20 * time.Second

// simulation is one run of a script: the fleet of a site, its callers and the recorded history.
type simulation struct {
	folder   string
	baseline bool
	// skipped is set if this is the baseline run of a script that has none.
	skipped bool
	out     *bytes.Buffer
	site    site
	network *netemulator.Network
	fleet   *emulator.Fleet
	history *checker.History
	loads   map[string]*emulator.Load
	// usedLoadNames are the names of all loads so far.
	usedLoadNames      map[string]bool
	stoppingLoads      []*emulator.Load
	keys               map[gypsumhoist.Workspace]key
	marks              map[string]time.Time
	measures           map[string]float64
	baselineInstances  []*baselineInstance
	client             *http.Client
	editCount          int
	restartedUpstreams int
	// acceptedBurst is the burst that the accepted edit of the last race set.
	acceptedBurst string
	logFile       *os.File
	poller        *revisionPoller
	boots         map[gypsumhoist.Instance]int
}

// key is a granted key.
type key struct{ secret, id string }

func newSimulation(folder string, baseline bool, out *bytes.Buffer) *simulation {
	sim := &simulation{
		folder: folder, baseline: baseline, out: out, network: netemulator.New(), history: &checker.History{},
		loads: map[string]*emulator.Load{}, keys: map[gypsumhoist.Workspace]key{}, marks: map[string]time.Time{},
		measures: map[string]float64{}, usedLoadNames: map[string]bool{}, boots: map[gypsumhoist.Instance]int{},
	}
	if logPath != "" && !baseline {
		lf, err := os.Create(logPath)
		if err == nil {
			sim.logFile = lf
		}
	}
	return sim
}

func (sim *simulation) close() {
	for _, ld := range sim.loads {
		ld.Halt()
		sim.stoppingLoads = append(sim.stoppingLoads, ld)
	}
	sim.waitForStoppingLoads()
	if sim.poller != nil {
		sim.poller.stop()
	}
	if sim.client != nil {
		sim.client.CloseIdleConnections()
	}
	for _, bi := range sim.baselineInstances {
		bi.close()
	}
	if sim.fleet != nil {
		sim.fleet.Close()
	}
	if sim.logFile != nil {
		_ = sim.logFile.Close()
	}
}

func address(domain, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain + 1), byte(number)})
}

func (sim *simulation) host(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network {
	return sim.network.Host(addr, fd)
}

// startSite starts the fleet of a site, grants its keys and imports its table, or starts its baseline.
func (sim *simulation) startSite(si site) error {
	sim.site = si
	dp := si.deployment
	for ia, da := range dp.Domains {
		sim.network.SetDelay(da, externalDomain, dp.CallerDelay)
		for _, db := range dp.Domains[ia+1:] {
			sim.network.SetDelay(da, db, dp.CrossDomainDelay)
		}
	}
	opts := []emulator.FleetOption{
		emulator.WithInstanceNetworks(sim.host), emulator.WithRunObserver(sim.history.AddRun),
		emulator.WithCallerNetwork(sim.host(netip.MustParseAddr("10.9.0.1"), externalDomain)),
	}
	if sim.logFile != nil {
		opts = append(opts, emulator.WithLog(sim.logFile))
	}
	sim.fleet = emulator.NewFleet(dp.InstanceSpecs(address, sim.folder), opts...)
	sim.client = sim.fleet.Client()
	if sim.baseline {
		return sim.startBaseline()
	}
	if err := sim.fleet.Start(); err != nil {
		return err
	}
	sim.poller = newRevisionPoller(sim)
	if err := sim.grantAll(); err != nil {
		return err
	}
	return sim.importTable()
}

// operatorClient returns a client of the operator port of the first running instance.
func (sim *simulation) operatorClient() registrarpb.OfficeClient {
	for _, name := range sim.fleet.Names() {
		if sim.fleet.Process(name) != nil {
			return sim.fleet.OperatorClient(sim.client, name)
		}
	}
	return nil
}

// nextEditID returns a new edit id.
func (sim *simulation) nextEditID() string {
	sim.editCount++
	return fmt.Sprintf("edit-%d", sim.editCount)
}

// retryUntilAnswered repeats an operator's request, which has one edit id, until it is answered.
func retryUntilAnswered[T any](send func(ctx context.Context) (*connect.Response[T], error)) (*T, error) {
	end := time.Now().Add(operatorTimeout)
	for {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		rs, err := send(ctx)
		cancel()
		if err == nil {
			return rs.Msg, nil
		}
		if !time.Now().Add(time.Second).Before(end) {
			return nil, err
		}
		time.Sleep(time.Second)
	}
}

func (sim *simulation) grantAll() error {
	for _, ws := range sim.site.workspaces {
		if err := sim.grant(ws.name); err != nil {
			return err
		}
	}
	return nil
}

func (sim *simulation) grant(ws gypsumhoist.Workspace) error {
	rq := &registrarpb.GrantKeyRequest{Workspace: string(ws), EditId: sim.nextEditID(), WaitMs: 1000}
	an, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.operatorClient().GrantKey(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return fmt.Errorf("grant key to %s: %w", ws, err)
	}
	sim.keys[ws] = key{secret: an.GetKey(), id: an.GetKeyId()}
	return nil
}

func (sim *simulation) importTable() error {
	rq := &registrarpb.ImportRequest{Csv: sim.site.csv(), EditId: sim.nextEditID(), WaitMs: 5000}
	an, err := retryUntilAnswered(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return sim.operatorClient().Import(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return fmt.Errorf("import table: %w", err)
	}
	if an.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("import table: %s", an.GetText())
	}
	for _, ws := range sim.site.workspaces {
		for _, rt := range sim.site.routes {
			sim.history.AddEvent(checker.LimitInForce{
				Workspace: ws.name, Route: rt.path, Rate: sim.site.rate(ws, rt), Burst: float64(sim.site.burst(ws, rt)), From: time.Now(),
			})
		}
	}
	return nil
}

// entryURLs returns the base URLs of all nodes, or only of those in some failure domains.
func (sim *simulation) entryURLs(domains ...gypsumhoist.FailureDomain) []string {
	var out []string
	for _, sp := range sim.fleet.InstanceSpecs() {
		if len(domains) == 0 || slices.Contains(domains, sp.Settings.FailureDomain) {
			out = append(out, "http://"+sp.Settings.Listen.Callers.String())
		}
	}
	return out
}

// addresses returns the IP addresses in some failure domains, and all others.
func (sim *simulation) addresses(domains ...gypsumhoist.FailureDomain) (in, rest []netip.Addr) {
	for _, sp := range sim.fleet.InstanceSpecs() {
		if slices.Contains(domains, sp.Settings.FailureDomain) {
			in = append(in, sp.Address())
			continue
		}
		rest = append(rest, sp.Address())
	}
	return in, rest
}

// baselineInstance is one instance of the baseline: a pass-through node and its upstream.
type baselineInstance struct {
	node     *emulator.PassThrough
	server   *http.Server
	upstream *emulator.Upstream
}

func (bi *baselineInstance) close() {
	// The run is over, so errors of closing do not matter.
	_ = bi.server.Close()
	bi.upstream.Stop()
	bi.node.Close()
}

// startBaseline starts the site with pass-through nodes.
func (sim *simulation) startBaseline() error {
	routes := map[string][]netip.AddrPort{}
	for _, sp := range sim.fleet.InstanceSpecs() {
		for path, sv := range sim.services() {
			if sv == sp.Service.Name {
				routes[path] = append(routes[path], netip.AddrPortFrom(sp.Address(), emulator.PortUpstream))
			}
		}
	}
	for _, sp := range sim.fleet.InstanceSpecs() {
		if err := sim.startBaselineInstance(sp, routes); err != nil {
			return err
		}
	}
	return nil
}

// services returns the service of each route of the site.
func (sim *simulation) services() map[string]gypsumhoist.Service {
	out := map[string]gypsumhoist.Service{}
	for _, rt := range sim.site.routes {
		out[rt.path] = sim.site.entry()
	}
	for path, sv := range sim.site.nestedRoutes {
		out[path] = sv
	}
	return out
}

func (sim *simulation) startBaselineInstance(sp emulator.InstanceSpec, routes map[string][]netip.AddrPort) error {
	nw := sim.host(sp.Address(), sp.Settings.FailureDomain)
	bi := &baselineInstance{node: emulator.NewPassThrough(routes, nw, sp.Seed)}
	bi.server = &http.Server{Handler: bi.node}
	for _, addr := range []netip.AddrPort{sp.Settings.Listen.Callers, sp.Settings.Listen.Upstream} {
		ln, err := nw.Listen(addr)
		if err != nil {
			return err
		}
		go func() { _ = bi.server.Serve(ln) }()
	}
	sv := sp.Service
	bi.upstream = emulator.NewUpstream(string(sp.Settings.Instance), sv.Name, emulator.WithNetwork(nw),
		emulator.WithAddress(netip.AddrPortFrom(sp.Address(), emulator.PortUpstream)), emulator.WithNode(sp.Settings.Listen.Upstream),
		emulator.WithSlots(sv.Slots, sv.Connections), emulator.WithServiceTime(sv.MeanServiceTime, 0.2), emulator.WithNestedCalls(sv.NestedPaths...),
		emulator.WithSeed(sp.Seed), emulator.WithObserver(sim.history.AddRun))
	bi.upstream.PauseAnnouncements(true)
	sim.baselineInstances = append(sim.baselineInstances, bi)
	return bi.upstream.Start()
}

// upstreams returns the running upstreams of a service.
func (sim *simulation) upstreams(sv gypsumhoist.Service) []*emulator.Upstream {
	var out []*emulator.Upstream
	for ix, sp := range sim.fleet.InstanceSpecs() {
		if sp.Service.Name != sv {
			continue
		}
		if sim.baseline {
			out = append(out, sim.baselineInstances[ix].upstream)
		} else if pr := sim.fleet.Process(sp.Settings.Instance); pr != nil {
			out = append(out, pr.Upstream)
		}
	}
	return out
}

// revisionPoller records periodically which revision is in force at each instance.
type revisionPoller struct {
	sim     *simulation
	quit    chan struct{}
	stopped chan struct{}
}

// revisionPollInterval is the time between two polls.
const revisionPollInterval = 250 * time.Millisecond

func newRevisionPoller(sim *simulation) *revisionPoller {
	rp := &revisionPoller{sim: sim, quit: make(chan struct{}), stopped: make(chan struct{})}
	go rp.run()
	return rp
}

func (rp *revisionPoller) stop() {
	close(rp.quit)
	<-rp.stopped
}

func (rp *revisionPoller) run() {
	defer close(rp.stopped)
	tk := time.NewTicker(revisionPollInterval)
	defer tk.Stop()
	for {
		select {
		case <-rp.quit:
			return
		case <-tk.C:
			rp.poll()
		}
	}
}

func (rp *revisionPoller) poll() {
	for _, name := range rp.sim.fleet.Names() {
		pr := rp.sim.fleet.Process(name)
		if pr == nil {
			continue
		}
		rp.sim.history.AddEvent(checker.RevisionObserved{
			Instance: name, Boot: pr.Boot, Revision: pr.Server.Revision(), At: time.Now(),
		})
	}
}
