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

// Fleet is a whole deployment in one process: servers and the upstreams beside them.
// Process is safe for concurrent use; the other methods are for one goroutine.
type Fleet struct {
	mu      sync.Mutex
	places  []Place
	network func(netip.Addr, gypsumhoist.FailureDomain) connector.Network
	log     io.Writer
	observe func(checker.Run)
	running map[gypsumhoist.Instance]*Process
	boots   int
	caller  connector.Network
	disks   func(gypsumhoist.Instance, string) (journaler.Folder, error)
}

// Process is one instance of a Fleet that runs.
type Process struct {
	Place    Place
	Server   *server.Server
	Upstream *Upstream
	// Boot counts the starts of all processes of the fleet.
	Boot int
}

// FleetOption sets one part of a Fleet.
type FleetOption func(*Fleet)

// WithHosts sets the network of each instance by its IP number; the default is plain TCP.
func WithHosts(fn func(netip.Addr, gypsumhoist.FailureDomain) connector.Network) FleetOption {
	return func(fl *Fleet) { fl.network = fn }
}

// WithCaller sets the network of callers and operators; the default is plain TCP.
func WithCaller(nw connector.Network) FleetOption { return func(fl *Fleet) { fl.caller = nw } }

// WithLog sets where the log lines of all instances go; nil discards them.
func WithLog(wr io.Writer) FleetOption { return func(fl *Fleet) { fl.log = wr } }

// WithDisks sets how the data folder of each instance is opened; the default is journaler.Disk.
func WithDisks(open func(in gypsumhoist.Instance, path string) (journaler.Folder, error)) FleetOption {
	return func(fl *Fleet) { fl.disks = open }
}

// WithRuns calls a function for each request that an upstream ran.
func WithRuns(ob func(checker.Run)) FleetOption { return func(fl *Fleet) { fl.observe = ob } }

// NewFleet returns a fleet of which nothing runs.
func NewFleet(places []Place, opts ...FleetOption) *Fleet {
	fl := &Fleet{
		places: places, running: map[gypsumhoist.Instance]*Process{}, caller: &connector.TCP{},
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
	for _, pl := range fl.places {
		if err := fl.Run(pl.Settings.Instance); err != nil {
			return err
		}
	}
	return nil
}

// Run starts one instance and its upstream.
func (fl *Fleet) Run(name gypsumhoist.Instance) error {
	at := slices.IndexFunc(fl.places, func(pl Place) bool { return pl.Settings.Instance == name })
	if at < 0 {
		return fmt.Errorf("the fleet has no instance %q", name)
	}
	pl := fl.places[at]
	nw := fl.network(pl.Address(), pl.Settings.FailureDomain)
	fl.boots++
	opts := []server.Option{server.WithNetwork(nw), server.WithRandom(rand.New(rand.NewPCG(pl.Seed, uint64(fl.boots))))}
	if fl.log != nil {
		opts = append(opts, server.WithLog(fl.log))
	}
	if fl.disks != nil {
		opts = append(opts, server.WithDisk(func(path string) (journaler.Folder, error) { return fl.disks(name, path) }))
	}
	pr := &Process{Place: pl, Boot: fl.boots, Server: server.New(pl.Settings, opts...)}
	if err := pr.Server.Start(); err != nil {
		return fmt.Errorf("instance %s: %w", name, err)
	}
	fl.set(name, pr)
	return fl.RunUpstream(name)
}

// RunUpstream starts the upstream of an instance that runs, again after it crashed.
func (fl *Fleet) RunUpstream(name gypsumhoist.Instance) error {
	pr := fl.Process(name)
	if pr == nil {
		return fmt.Errorf("instance %s does not run", name)
	}
	sv := pr.Place.Service
	fl.boots++
	pr.Upstream = NewUpstream(string(name), sv.Name,
		WithNetwork(fl.network(pr.Place.Address(), pr.Place.Settings.FailureDomain)),
		WithAddress(netip.AddrPortFrom(pr.Place.Address(), PortUpstream)),
		WithNode(pr.Place.Settings.Listen.Upstream), WithSlots(sv.Slots, sv.Connections),
		WithServiceTime(sv.Took, serviceJitter), WithNext(sv.Next...), WithSeed(pr.Place.Seed),
		WithBoot(fmt.Sprint(fl.boots)), WithObserver(fl.observe),
	)
	return pr.Upstream.Start()
}

// serviceJitter is by which share service times vary.
const serviceJitter = 0.2

// Process returns an instance that runs; nil for any other.
func (fl *Fleet) Process(name gypsumhoist.Instance) *Process {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.running[name]
}

// set notes what runs as an instance; nil for nothing.
func (fl *Fleet) set(name gypsumhoist.Instance, pr *Process) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if pr == nil {
		delete(fl.running, name)
		return
	}
	fl.running[name] = pr
}

// Names returns all instances in the order of the deployment, running or not.
func (fl *Fleet) Names() []gypsumhoist.Instance {
	var out []gypsumhoist.Instance
	for _, pl := range fl.places {
		out = append(out, pl.Settings.Instance)
	}
	return out
}

// Places returns all places in the order of the deployment.
func (fl *Fleet) Places() []Place { return fl.places }

// Kill ends an instance and its upstream at once.
func (fl *Fleet) Kill(name gypsumhoist.Instance) {
	pr := fl.Process(name)
	if pr == nil {
		return
	}
	fl.set(name, nil)
	pr.Upstream.Stop()
	pr.Server.Kill()
}

// Stop ends an instance in a planned way, its upstream last.
func (fl *Fleet) Stop(ctx context.Context, name gypsumhoist.Instance) error {
	pr := fl.Process(name)
	if pr == nil {
		return nil
	}
	fl.set(name, nil)
	err := pr.Server.Stop(ctx)
	pr.Upstream.Stop()
	return err
}

// Close ends all that runs at once.
func (fl *Fleet) Close() {
	for _, name := range fl.Names() {
		fl.Kill(name)
	}
}

// Client returns an HTTP client on the callers' network, with connections of its own.
func (fl *Fleet) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			ap, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			return fl.caller.Dial(ctx, ap)
		},
		MaxIdleConnsPerHost: clientIdleConns,
		IdleConnTimeout:     time.Minute,
	}}
}

// clientIdleConns is how many idle connections a client keeps to each node.
const clientIdleConns = 64

// Office returns a client of the operator port of an instance.
func (fl *Fleet) Office(client connect.HTTPClient, name gypsumhoist.Instance) registrarpb.OfficeClient {
	for _, pl := range fl.places {
		if pl.Settings.Instance == name {
			return registrarpb.NewOfficeClient(client, "http://"+pl.Settings.Listen.Operator.String(), connect.WithProtoJSON())
		}
	}
	return nil
}
