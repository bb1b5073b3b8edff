package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gopkg.in/tomb.v2"

	"github.com/gypsumhoist/gypsumhoist"
	"github.com/gypsumhoist/gypsumhoist/announcer"
	"github.com/gypsumhoist/gypsumhoist/connector"
	"github.com/gypsumhoist/gypsumhoist/drainer"
	"github.com/gypsumhoist/gypsumhoist/gossiper"
	"github.com/gypsumhoist/gypsumhoist/journaler"
	"github.com/gypsumhoist/gypsumhoist/loader"
	"github.com/gypsumhoist/gypsumhoist/logger"
	"github.com/gypsumhoist/gypsumhoist/prober"
	"github.com/gypsumhoist/gypsumhoist/registrar"
	"github.com/gypsumhoist/gypsumhoist/replicator"
)

var (
	eventStarted = logger.Define(1011, logger.LevelInfo, "started", "The process has opened its ports.")
	eventPort    = logger.Define(1012, logger.LevelError, "port_failed",
		"A port stopped accepting connections; the process must be restarted.")
	eventReady = logger.Define(1013, logger.LevelInfo, "table_in_force", "The node has a table and takes calls.")
)

// Server is one process of the fleet. It is safe for concurrent use.
// The zero value is not usable; call New.
type Server struct {
	tmb      tomb.Tomb
	settings loader.Settings
	network  connector.Network
	logger   *logger.Logger
	metrics  *metrics.Set
	boot     gossiper.Boot
	random   *rand.Rand
	disk     func(path string) (journaler.Folder, error)

	prober   *prober.Prober
	peers    *connector.PeerPool
	gossiper *gossiper.Gossiper
	spreader *registrar.Spreader
	office   *registrar.Office
	host     *replicator.Host
	control  *control
	node     *node
	drainer  *drainer.Drainer
	ports    []*port
	opened   atomic.Bool

	callersThrough  func(callers, nested http.Handler) http.Handler
	peersThrough    func(http.Handler) http.Handler
	upstreamThrough func(announcer.Announcement, http.RoundTripper) http.RoundTripper
	identify        func(*http.Request) gypsumhoist.RequestID
	answerCheck     func(*http.Request, *http.Response) error
}

// port is one listening server of the process.
type port struct {
	name   string
	server *connector.Server
}

// Option sets one part of a Server.
type Option func(*Server)

// WithNetwork sets the network; the default is TCP, with TLS when the settings name its files.
func WithNetwork(nw connector.Network) Option { return func(sv *Server) { sv.network = nw } }

// WithLog sets where log lines go; nil discards them.
func WithLog(wr io.Writer) Option {
	return func(sv *Server) { sv.logger = logger.New(wr, "instance", sv.settings.Instance) }
}

// WithDisk sets how the data folder is opened; nil keeps journaler.Disk.
func WithDisk(open func(path string) (journaler.Folder, error)) Option {
	return func(sv *Server) {
		if open != nil {
			sv.disk = open
		}
	}
}

// WithRandom sets the source of random numbers, which the server then owns.
func WithRandom(rd *rand.Rand) Option { return func(sv *Server) { sv.random = rd } }

// New returns a process that has not started. The settings are taken as checked.
func New(st loader.Settings, opts ...Option) *Server {
	same := func(next http.Handler) http.Handler { return next }
	sv := &Server{
		settings: st, metrics: metrics.NewSet(), disk: journaler.Disk, callersThrough: func(callers, _ http.Handler) http.Handler { return callers }, peersThrough: same,
		upstreamThrough: func(_ announcer.Announcement, next http.RoundTripper) http.RoundTripper { return next },
	}
	for _, opt := range opts {
		opt(sv)
	}
	if sv.random == nil {
		sv.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return sv
}

// Start builds the duties, opens the ports and joins the fleet.
// After an error nothing runs.
func (sv *Server) Start() error {
	if sv.network == nil {
		nw, err := tcpNetwork(sv.settings.TLS)
		if err != nil {
			return err
		}
		sv.network = nw
	}
	sv.boot = gossiper.Boot(time.Now().UnixNano())
	sv.build()
	if err := sv.open(); err != nil {
		sv.close()
		return err
	}
	sv.logger.Log(eventStarted, "domain", sv.settings.FailureDomain, "peers", sv.settings.Listen.Peers)
	return nil
}

// build makes the duties in the order in which they need each other.
func (sv *Server) build() {
	st := sv.settings
	sv.prober = prober.New(st.FailureDomain, prober.WithLogger(sv.logger), prober.WithMetrics(sv.metrics),
		prober.WithProbe(sv.ask), prober.WithNotify(sv.reached))
	sv.peers = connector.NewPeerPool(connector.WithNetwork(sv.network), connector.WithLogger(sv.logger),
		connector.WithMetrics(sv.metrics), connector.WithPaths(sv.prober))
	sv.gossiper = gossiper.New(
		gossiper.WithSelf(gossiper.Member{
			Instance: st.Instance, Boot: sv.boot, Domain: st.FailureDomain, Peer: st.Listen.Peers, Roles: roles(st),
		}),
		gossiper.WithSeeds(seeds(st)), gossiper.WithPeers(sv.peers), gossiper.WithLogger(sv.logger),
		gossiper.WithMetrics(sv.metrics), gossiper.WithRand(sv.fork()),
	)
	sv.host = replicator.NewHost(
		replicator.WithPeers(sv.peers), replicator.WithLogger(sv.logger), replicator.WithMetrics(sv.metrics),
		replicator.WithIntroduced(sv.introduced),
	)
	holder := registrar.NewHolder()
	if st.Has(loader.RoleControl) {
		sv.control = newControl(sv, holder)
	}
	sv.buildTable(holder)
	sv.drainer = drainer.New(drainer.WithLogger(sv.logger), drainer.WithLeave(sv.leave), drainer.WithRefuse(sv.refuse))
	if st.Has(loader.RoleNode) {
		sv.node = newNode(sv, holder)
	}
}

// buildTable makes what spreads the table and what answers operators.
func (sv *Server) buildTable(holder *registrar.Holder) {
	opts := []registrar.Option{
		registrar.WithHolder(holder), registrar.WithPeers(sv.peers), registrar.WithLogger(sv.logger),
		registrar.WithMetrics(sv.metrics), registrar.WithSelf(sv.source()),
	}
	if sv.control != nil {
		opts = append(opts, registrar.WithProposer(sv.control), registrar.WithSheet(sv.control.sheetNow))
	}
	sv.spreader = registrar.NewSpreader(opts...)
	sv.office = registrar.NewOffice(append(opts, registrar.WithSpreader(sv.spreader))...)
}

// ask asks another instance for any answer.
func (sv *Server) ask(ctx context.Context, to netip.AddrPort) error { return sv.peers.Probe(ctx, to) }

// reached hands what this process can reach to the duties that choose by it.
func (sv *Server) reached(re prober.Reach) {
	if sv.node != nil {
		sv.node.router.SetReach(re)
	}
}

// fork returns a source of random numbers of its own for one duty.
func (sv *Server) fork() *rand.Rand {
	return rand.New(rand.NewPCG(sv.random.Uint64(), sv.random.Uint64()))
}

// open opens the ports and starts what works by itself.
func (sv *Server) open() error {
	ls := sv.settings.Listen
	if err := sv.listen("peers", ls.Peers, sv.peersThrough(sv.peerHandler()), connector.WithPeerTraffic()); err != nil {
		return err
	}
	if err := sv.listen("operator", ls.Operator, sv.operatorHandler()); err != nil {
		return err
	}
	if sv.node != nil {
		if err := sv.listen("upstream", ls.Upstream, sv.drainer.Count(sv.node.outbound())); err != nil {
			return err
		}
	}
	if sv.control != nil {
		if err := sv.control.start(); err != nil {
			return err
		}
	}
	if sv.control != nil {
		vc := &voucher{sv: sv, started: time.Now()}
		sv.tmb.Go(vc.loop)
	}
	sv.prober.Start()
	sv.gossiper.Subscribe(sv.look)
	sv.gossiper.Start()
	sv.spreader.Start()
	if sv.node != nil {
		sv.node.start()
	}
	sv.tmb.Go(sv.run)
	return nil
}

// listen opens one port.
func (sv *Server) listen(name string, addr netip.AddrPort, handler http.Handler, opts ...connector.Option) error {
	ln, err := sv.network.Listen(addr)
	if err != nil {
		return TagPort.Errorf("%s: %w", name, err)
	}
	bd := sv.settings.Bounds
	opts = append(opts,
		connector.WithLogger(sv.logger), connector.WithMetrics(sv.metrics),
		connector.WithMaxConns(bd.Connections), connector.WithMaxHeaderBytes(bd.HeaderBytes),
		connector.WithReadHeaderTimeout(time.Duration(bd.HeaderTime)), connector.WithIdleTimeout(time.Duration(bd.IdleTime)))
	pt := &port{name: name, server: connector.NewServer(handler, opts...)}
	sv.ports = append(sv.ports, pt)
	sv.tmb.Go(func() error { return sv.loop(pt, func() error { return pt.server.Serve(ln) }) })
	return nil
}

// loop serves one port until it is shut down.
func (sv *Server) loop(pt *port, serve func() error) error {
	if err := serve(); err != nil {
		sv.logger.Log(eventPort, "port", pt.name, "err", err)
		return TagPort.Errorf("%s: %w", pt.name, err)
	}
	return nil
}

// Dead returns a channel that closes when the process has stopped, also by itself after a fault.
func (sv *Server) Dead() <-chan struct{} { return sv.tmb.Dead() }

// Revision returns the revision of the table in force at this process.
func (sv *Server) Revision() uint64 { return sv.spreader.Holder().Current().Revision() }

// Stop ends the process in a planned way: no request in flight is cut off before the context ends.
func (sv *Server) Stop(ctx context.Context) error {
	grace, longest := sv.settings.Stop.Times()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	err := sv.drainer.Drain(ctx, grace, sv.outerPorts()...)
	sv.close()
	return err
}

// Kill ends the process at once, as a crash would; for tests.
func (sv *Server) Kill() {
	sv.gossiper.Kill()
	sv.close()
}

// outerPorts returns the ports that take calls, the callers' first.
func (sv *Server) outerPorts() []drainer.Port {
	var out []drainer.Port
	for _, name := range []string{"callers", "upstream"} {
		for _, pt := range sv.ports {
			if pt.name == name {
				out = append(out, pt.server)
			}
		}
	}
	return out
}

// leave says to the fleet that the instance is about to stop.
func (sv *Server) leave(ctx context.Context) error {
	if sv.node != nil {
		sv.node.leave()
	}
	err := sv.gossiper.Leave(ctx)
	if sv.node == nil || sv.node.shards == nil {
		return err
	}
	seats, cancel := context.WithTimeout(ctx, seatsTime)
	defer cancel()
	return errors.Join(err, sv.node.shards.sharder.Leave(seats))
}

// refuse makes the node refuse calls that other nodes still send it.
func (sv *Server) refuse() {
	if sv.node != nil {
		sv.node.forwarder.Refuse()
	}
}

// seatsTime bounds how long a leaving process waits until others have taken over its seats in shard groups;
// what they have not taken over by then they repair after its end.
const seatsTime = 5 * time.Second

// close ends all duties.
func (sv *Server) close() {
	if sv.node != nil {
		sv.node.stop()
	}
	sv.prober.Stop()
	sv.spreader.Stop()
	sv.gossiper.Stop()
	sv.host.Stop()
	for _, pt := range sv.ports {
		// The process ends; connections that are still open have no request in flight.
		_ = pt.server.Close()
	}
	sv.tmb.Kill(nil)
	if err := sv.tmb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		sv.logger.Log(eventPort, "err", err)
	}
	sv.peers.Close()
}
