package emulator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/checker"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/journaler"
	"github.com/gypsumhoist/gypsumhoist/registrar/registrarpb"
	"github.com/gypsumhoist/gypsumhoist/server"
)

// Fleet is a whole deployment in one process: servers and their upstreams.
// Process is safe for concurrent use; the other methods are for a single goroutine.
type Fleet struct {
	mu            sync.Mutex
	specs         []InstanceSpec
	network       func(netip.Addr, gypsumhoist.FailureDomain) connector.Network
	log           io.Writer
	observe       func(checker.Run)
	running       map[gypsumhoist.Instance]*Process
	boots         int
	callerNetwork connector.Network
	openFolder    func(gypsumhoist.Instance, string) (journaler.Folder, error)
}

// Process is one running instance of a Fleet.
type Process struct {
	Spec     InstanceSpec
	Server   *server.Server
	Upstream *Upstream
	// Boot is the ordinal of this start among all starts of instances and upstreams of the fleet.
	Boot int
}

// FleetOption sets one part of a Fleet.
type FleetOption func(*Fleet)

// WithInstanceNetworks sets how the network of an instance is made, from its IP address and failure domain; the default is plain TCP.
func WithInstanceNetworks(fn func(netip.Addr, gypsumhoist.FailureDomain) connector.Network) FleetOption {
	return func(fl *Fleet) { fl.network = fn }
}

// WithCallerNetwork sets the network of callers and operators; the default is plain TCP.
func WithCallerNetwork(nw connector.Network) FleetOption {
	return func(fl *Fleet) { fl.callerNetwork = nw }
}

// WithLog sets where the log lines of all instances go; nil discards them.
func WithLog(wr io.Writer) FleetOption { return func(fl *Fleet) { fl.log = wr } }

// WithDataFolders sets how the data folder of each instance is opened; the default is journaler.OpenFolder.
func WithDataFolders(open func(in gypsumhoist.Instance, path string) (journaler.Folder, error)) FleetOption {
	return func(fl *Fleet) { fl.openFolder = open }
}

// WithRunObserver sets a function that is called for each request that an upstream ran.
func WithRunObserver(ob func(checker.Run)) FleetOption { return func(fl *Fleet) { fl.observe = ob } }

// NewFleet returns a fleet without running instances.
func NewFleet(specs []InstanceSpec, opts ...FleetOption) *Fleet {
	fl := &Fleet{
		specs: specs, running: map[gypsumhoist.Instance]*Process{}, callerNetwork: &connector.TCP{},
		network: func(netip.Addr, gypsumhoist.FailureDomain) connector.Network { return &connector.TCP{} },
		observe: func(checker.Run) {},
	}
	for _, opt := range opts {
		opt(fl)
	}
	return fl
}

// Start starts all instances.
func (fl *Fleet) Start() error {
	for _, sp := range fl.specs {
		if err := fl.StartInstance(sp.Settings.Instance); err != nil {
			return err
		}
	}
	return nil
}

// StartInstance starts one instance and its upstream.
func (fl *Fleet) StartInstance(name gypsumhoist.Instance) error {
	if err := fl.startServer(name, nil); err != nil {
		return err
	}
	return fl.StartUpstream(name)
}

// RestartServer kills the server of a running instance and starts it again at once, while its upstream goes on.
func (fl *Fleet) RestartServer(name gypsumhoist.Instance) error {
	pr := fl.Process(name)
	if pr == nil {
		return fmt.Errorf("instance %s does not run", name)
	}
	pr.Server.Kill()
	return fl.startServer(name, pr.Upstream)
}

// startServer starts the server of one instance beside an upstream, which may be nil.
func (fl *Fleet) startServer(name gypsumhoist.Instance, up *Upstream) error {
	at := slices.IndexFunc(fl.specs, func(sp InstanceSpec) bool { return sp.Settings.Instance == name })
	if at < 0 {
		return fmt.Errorf("fleet has no instance %q", name)
	}
	sp := fl.specs[at]
	nw := fl.network(sp.Address(), sp.Settings.FailureDomain)
	fl.boots++
	opts := []server.Option{server.WithNetwork(nw), server.WithRandom(rand.New(rand.NewPCG(sp.Seed, uint64(fl.boots))))}
	if fl.log != nil {
		opts = append(opts, server.WithLog(fl.log))
	}
	if fl.openFolder != nil {
		opts = append(opts, server.WithDisk(func(path string) (journaler.Folder, error) { return fl.openFolder(name, path) }))
	}
	pr := &Process{Spec: sp, Boot: fl.boots, Server: server.New(sp.Settings, opts...), Upstream: up}
	if err := pr.Server.Start(); err != nil {
		return fmt.Errorf("instance %s: %w", name, err)
	}
	fl.setProcess(name, pr)
	return nil
}

// StartUpstream starts the upstream of a running instance, also after a crash.
func (fl *Fleet) StartUpstream(name gypsumhoist.Instance) error {
	pr := fl.Process(name)
	if pr == nil {
		return fmt.Errorf("instance %s does not run", name)
	}
	sv := pr.Spec.Service
	fl.boots++
	pr.Upstream = NewUpstream(string(name), sv.Name,
		WithNetwork(fl.network(pr.Spec.Address(), pr.Spec.Settings.FailureDomain)),
		WithAddress(netip.AddrPortFrom(pr.Spec.Address(), PortUpstream)),
		WithNode(pr.Spec.Settings.Listen.Upstream), WithSlots(sv.Slots, sv.Connections),
		WithServiceTime(sv.MeanServiceTime, serviceJitter), WithNestedCalls(sv.NestedPaths...), WithSeed(pr.Spec.Seed),
		WithBoot(fmt.Sprint(fl.boots)), WithObserver(fl.observe),
	)
	return pr.Upstream.Start()
}

// serviceJitter is the relative variation of service times.
const serviceJitter = 0.2

// Process returns a running instance, or nil if it does not run.
func (fl *Fleet) Process(name gypsumhoist.Instance) *Process {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.running[name]
}

// setProcess records the process of an instance; nil means that it no longer runs.
func (fl *Fleet) setProcess(name gypsumhoist.Instance, pr *Process) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if pr == nil {
		delete(fl.running, name)
		return
	}
	fl.running[name] = pr
}

// Names returns all instances in deployment order, running or not.
func (fl *Fleet) Names() []gypsumhoist.Instance {
	var out []gypsumhoist.Instance
	for _, sp := range fl.specs {
		out = append(out, sp.Settings.Instance)
	}
	return out
}

// InstanceSpecs returns the descriptions of all instances in deployment order.
func (fl *Fleet) InstanceSpecs() []InstanceSpec { return fl.specs }

// Kill terminates an instance and its upstream at once.
func (fl *Fleet) Kill(name gypsumhoist.Instance) {
	pr := fl.Process(name)
	if pr == nil {
		return
	}
	fl.setProcess(name, nil)
	pr.Upstream.Stop()
	pr.Server.Kill()
}

// Stop shuts an instance down gracefully, then stops its upstream.
func (fl *Fleet) Stop(ctx context.Context, name gypsumhoist.Instance) error {
	pr := fl.Process(name)
	if pr == nil {
		return nil
	}
	fl.setProcess(name, nil)
	err := pr.Server.Stop(ctx)
	pr.Upstream.Stop()
	return err
}

// Close terminates all running instances at once.
func (fl *Fleet) Close() {
	for _, name := range fl.Names() {
		fl.Kill(name)
	}
}

// Client returns an HTTP client on the callers' network, with its own connection pool. It takes proper and complete responses only.
func (fl *Fleet) Client() *http.Client {
	return &http.Client{Transport: connector.NewCheckedTransport(&http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			return fl.Dial(ctx, ap)
		},
		MaxIdleConnsPerHost: clientIdleConns,
		IdleConnTimeout:     time.Minute,
	})}
}

// Dial opens a connection on the callers' network.
func (fl *Fleet) Dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	return fl.callerNetwork.Dial(ctx, addr)
}

// clientIdleConns is the maximum of idle connections that a client keeps to each node.
const clientIdleConns = 64

// OperatorClient returns a client of an instance's operator port, or nil if there is no such instance.
func (fl *Fleet) OperatorClient(client connect.HTTPClient, name gypsumhoist.Instance) registrarpb.OfficeClient {
	for _, sp := range fl.specs {
		if sp.Settings.Instance == name {
			return registrarpb.NewOfficeClient(client, "http://"+sp.Settings.Listen.Operator.String(), connect.WithProtoJSON())
		}
	}
	return nil
}
