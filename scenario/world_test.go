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

// outside is where callers and operators are.
const outside gypsumhoist.FailureDomain = "outside"

// operatorPatience bounds one operator's request, with its resends under the same edit id.
const operatorPatience = 20 * time.Second

// world is one run of a script: a site's fleet, its callers and what happened.
type world struct {
	folder   string
	baseline bool
	// skip is set once the script says that the baseline has no part in it.
	skip    bool
	out     *bytes.Buffer
	site    site
	network *netemulator.Network
	fleet   *emulator.Fleet
	history *checker.History
	loads   map[string]*emulator.Load
	// named are the names of all loads so far.
	named   map[string]bool
	halted  []*emulator.Load
	keys    map[gypsumhoist.Workspace]key
	marks   map[string]time.Time
	last    map[string]float64
	plain   []*plainNode
	client  *http.Client
	edits   int
	revived int
	// burst is the value of the last edit that won a race.
	burst string
	log   *os.File
	watch *watch
	boots map[gypsumhoist.Instance]int
}

// key is a granted key.
type key struct{ text, id string }

func newWorld(folder string, baseline bool, out *bytes.Buffer) *world {
	wd := &world{
		folder: folder, baseline: baseline, out: out, network: netemulator.New(), history: &checker.History{},
		loads: map[string]*emulator.Load{}, keys: map[gypsumhoist.Workspace]key{}, marks: map[string]time.Time{},
		last: map[string]float64{}, named: map[string]bool{}, boots: map[gypsumhoist.Instance]int{},
	}
	if logOf != "" && !baseline {
		lf, err := os.Create(logOf)
		if err == nil {
			wd.log = lf
		}
	}
	return wd
}

func (wd *world) close() {
	for _, ld := range wd.loads {
		ld.Halt()
		wd.halted = append(wd.halted, ld)
	}
	wd.settle()
	if wd.watch != nil {
		wd.watch.stop()
	}
	if wd.client != nil {
		wd.client.CloseIdleConnections()
	}
	for _, pn := range wd.plain {
		pn.close()
	}
	if wd.fleet != nil {
		wd.fleet.Close()
	}
	if wd.log != nil {
		_ = wd.log.Close()
	}
}

func address(domain, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 1, byte(domain + 1), byte(number)})
}

func (wd *world) host(addr netip.Addr, fd gypsumhoist.FailureDomain) connector.Network {
	return wd.network.Host(addr, fd)
}

// start starts a site, and as a fleet grants the keys and imports the table.
func (wd *world) start(si site) error {
	wd.site = si
	dp := si.deployment
	for ia, da := range dp.Domains {
		wd.network.SetDelay(da, outside, dp.CallerDelay)
		for _, db := range dp.Domains[ia+1:] {
			wd.network.SetDelay(da, db, dp.CrossDomainDelay)
		}
	}
	opts := []emulator.FleetOption{
		emulator.WithHosts(wd.host), emulator.WithRuns(wd.history.AddRun),
		emulator.WithCaller(wd.host(netip.MustParseAddr("10.9.0.1"), outside)),
	}
	if wd.log != nil {
		opts = append(opts, emulator.WithLog(wd.log))
	}
	wd.fleet = emulator.NewFleet(dp.Places(address, wd.folder), opts...)
	wd.client = wd.fleet.Client()
	if wd.baseline {
		return wd.startPlain()
	}
	if err := wd.fleet.Start(); err != nil {
		return err
	}
	wd.watch = newWatch(wd)
	if err := wd.grantAll(); err != nil {
		return err
	}
	return wd.importTable()
}

// office returns a client of the operator port of the first control instance that runs.
func (wd *world) office() registrarpb.OfficeClient {
	for _, name := range wd.fleet.Names() {
		if wd.fleet.Process(name) != nil {
			return wd.fleet.Office(wd.client, name)
		}
	}
	return nil
}

// editID names an operator's edit.
func (wd *world) editID() string {
	wd.edits++
	return fmt.Sprintf("edit-%d", wd.edits)
}

// operate repeats an operator's request under one edit id until it is answered.
func operate[T any](ask func(ctx context.Context) (*connect.Response[T], error)) (*T, error) {
	end := time.Now().Add(operatorPatience)
	for {
		ctx, cancel := context.WithDeadline(context.Background(), end)
		rs, err := ask(ctx)
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

func (wd *world) grantAll() error {
	for _, ws := range wd.site.workspaces {
		if err := wd.grant(ws.name); err != nil {
			return err
		}
	}
	return nil
}

func (wd *world) grant(ws gypsumhoist.Workspace) error {
	rq := &registrarpb.GrantKeyRequest{Workspace: string(ws), EditId: wd.editID(), WaitMs: 1000}
	an, err := operate(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return wd.office().GrantKey(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return fmt.Errorf("grant a key to %s: %w", ws, err)
	}
	wd.keys[ws] = key{text: an.GetKey(), id: an.GetKeyId()}
	return nil
}

func (wd *world) importTable() error {
	rq := &registrarpb.ImportRequest{Csv: wd.site.csv(), EditId: wd.editID(), WaitMs: 5000}
	an, err := operate(func(ctx context.Context) (*connect.Response[registrarpb.EditAnswer], error) {
		return wd.office().Import(ctx, connect.NewRequest(rq))
	})
	if err != nil {
		return fmt.Errorf("import: %w", err)
	}
	if an.GetOutcome() != registrarpb.Outcome_OUTCOME_ACCEPTED {
		return fmt.Errorf("import: %s", an.GetText())
	}
	for _, ws := range wd.site.workspaces {
		for _, rt := range wd.site.routes {
			wd.history.AddEvent(checker.LimitInForce{
				Workspace: ws.name, Route: rt.path, Rate: wd.site.rate(ws, rt), Burst: float64(wd.site.burst(ws, rt)), From: time.Now(),
			})
		}
	}
	return nil
}

// entries returns the base URLs of all nodes, or of those of some failure domains.
func (wd *world) entries(domains ...gypsumhoist.FailureDomain) []string {
	var out []string
	for _, pl := range wd.fleet.Places() {
		if len(domains) == 0 || slices.Contains(domains, pl.Settings.FailureDomain) {
			out = append(out, "http://"+pl.Settings.Listen.Callers.String())
		}
	}
	return out
}

// addresses returns the IP numbers of failure domains, and those of everything else.
func (wd *world) addresses(domains ...gypsumhoist.FailureDomain) (in, rest []netip.Addr) {
	for _, pl := range wd.fleet.Places() {
		if slices.Contains(domains, pl.Settings.FailureDomain) {
			in = append(in, pl.Address())
			continue
		}
		rest = append(rest, pl.Address())
	}
	return in, rest
}

// plainNode is an instance of the baseline: a pass-through node and the upstream beside it.
type plainNode struct {
	node     *emulator.PassThrough
	server   *http.Server
	upstream *emulator.Upstream
}

func (pn *plainNode) close() {
	// The run is over; what closing says is of no use.
	_ = pn.server.Close()
	pn.upstream.Stop()
	pn.node.Close()
}

// startPlain starts the site with pass-through nodes.
func (wd *world) startPlain() error {
	routes := map[string][]netip.AddrPort{}
	for _, pl := range wd.fleet.Places() {
		for path, sv := range wd.services() {
			if sv == pl.Service.Name {
				routes[path] = append(routes[path], netip.AddrPortFrom(pl.Address(), emulator.PortUpstream))
			}
		}
	}
	for _, pl := range wd.fleet.Places() {
		if err := wd.startPlainNode(pl, routes); err != nil {
			return err
		}
	}
	return nil
}

// services returns the service of each route of the site.
func (wd *world) services() map[string]gypsumhoist.Service {
	out := map[string]gypsumhoist.Service{}
	for _, rt := range wd.site.routes {
		out[rt.path] = wd.site.entry()
	}
	for path, sv := range wd.site.nested {
		out[path] = sv
	}
	return out
}

func (wd *world) startPlainNode(pl emulator.Place, routes map[string][]netip.AddrPort) error {
	nw := wd.host(pl.Address(), pl.Settings.FailureDomain)
	pn := &plainNode{node: emulator.NewPassThrough(routes, nw, pl.Seed)}
	pn.server = &http.Server{Handler: pn.node}
	for _, addr := range []netip.AddrPort{pl.Settings.Listen.Callers, pl.Settings.Listen.Upstream} {
		ln, err := nw.Listen(addr)
		if err != nil {
			return err
		}
		go func() { _ = pn.server.Serve(ln) }()
	}
	sv := pl.Service
	pn.upstream = emulator.NewUpstream(string(pl.Settings.Instance), sv.Name, emulator.WithNetwork(nw),
		emulator.WithAddress(netip.AddrPortFrom(pl.Address(), emulator.PortUpstream)), emulator.WithNode(pl.Settings.Listen.Upstream),
		emulator.WithSlots(sv.Slots, sv.Connections), emulator.WithServiceTime(sv.Took, 0.2), emulator.WithNestedCalls(sv.Next...),
		emulator.WithSeed(pl.Seed), emulator.WithObserver(wd.history.AddRun))
	pn.upstream.PauseAnnouncements(true)
	wd.plain = append(wd.plain, pn)
	return pn.upstream.Start()
}

// upstreams returns the upstreams of a service that run.
func (wd *world) upstreams(sv gypsumhoist.Service) []*emulator.Upstream {
	var out []*emulator.Upstream
	for ix, pl := range wd.fleet.Places() {
		if pl.Service.Name != sv {
			continue
		}
		if wd.baseline {
			out = append(out, wd.plain[ix].upstream)
		} else if pr := wd.fleet.Process(pl.Settings.Instance); pr != nil {
			out = append(out, pr.Upstream)
		}
	}
	return out
}

// watch notes from time to time which revision is in force at each instance.
type watch struct {
	wd   *world
	done chan struct{}
	over chan struct{}
}

// watchEvery is how often revisions are noted.
const watchEvery = 250 * time.Millisecond

func newWatch(wd *world) *watch {
	wt := &watch{wd: wd, done: make(chan struct{}), over: make(chan struct{})}
	go wt.run()
	return wt
}

func (wt *watch) stop() {
	close(wt.done)
	<-wt.over
}

func (wt *watch) run() {
	defer close(wt.over)
	tk := time.NewTicker(watchEvery)
	defer tk.Stop()
	for {
		select {
		case <-wt.done:
			return
		case <-tk.C:
			wt.look()
		}
	}
}

func (wt *watch) look() {
	for _, name := range wt.wd.fleet.Names() {
		pr := wt.wd.fleet.Process(name)
		if pr == nil {
			continue
		}
		wt.wd.history.AddEvent(checker.RevisionObserved{
			Instance: name, Boot: pr.Boot, Revision: pr.Server.Revision(), At: time.Now(),
		})
	}
}
