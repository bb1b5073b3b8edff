package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync"
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
		"A port stopped accepting connections or could not be opened; restart the process.")
	eventReady = logger.Define(1013, logger.LevelInfo, "table_in_force", "The node has a table and accepts calls.")
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
	clients  *connector.Accountant
	random   *rand.Rand
	disk     func(path string) (journaler.Folder, error)

	prober          *prober.Prober
	peers           *connector.PeerPool
	gossiper        *gossiper.Gossiper
	distributor     *registrar.Distributor
	operatorService *registrar.OperatorService
	host            *replicator.Host
	control         *control
	node            *node
	drainer         *drainer.Drainer
	opened          atomic.Bool

	portsMu  sync.Mutex
	ports    []*port
	stopping bool // no further port is opened

	callerMiddleware   func(callers, nested http.Handler) http.Handler
	peerMiddleware     func(http.Handler) http.Handler
	upstreamMiddleware func(announcer.Announcement, http.RoundTripper) http.RoundTripper
	requestID          func(*http.Request) gypsumhoist.RequestID
	answerCheck        func(*http.Request, *http.Response) error
}

// port is a listening server of the process.
type port struct {
	name   string
	server *connector.Server
}

// Option configures a Server.
type Option func(*Server)

// WithNetwork sets the network. The default is TCP, with mutual TLS when the settings name certificate files.
func WithNetwork(nw connector.Network) Option { return func(sv *Server) { sv.network = nw } }

// WithLog sets the writer of log lines; nil discards them.
func WithLog(wr io.Writer) Option {
	return func(sv *Server) { sv.logger = logger.New(wr, "instance", sv.settings.Instance) }
}

// WithDisk sets the function that opens the data folder; nil keeps journaler.OpenFolder.
func WithDisk(open func(path string) (journaler.Folder, error)) Option {
	return func(sv *Server) {
		if open != nil {
			sv.disk = open
		}
	}
}

// WithRandom sets the source of random numbers, which the server then owns.
func WithRandom(rd *rand.Rand) Option { return func(sv *Server) { sv.random = rd } }

// New returns a process that has not started. The settings must have passed their check.
func New(st loader.Settings, opts ...Option) *Server {
	passthrough := func(next http.Handler) http.Handler { return next }
	sv := &Server{
		settings: st, metrics: metrics.NewSet(), disk: journaler.OpenFolder,
		callerMiddleware: func(callers, _ http.Handler) http.Handler { return callers }, peerMiddleware: passthrough,
		upstreamMiddleware: func(_ announcer.Announcement, next http.RoundTripper) http.RoundTripper { return next },
	}
	for _, opt := range opts {
		opt(sv)
	}
	if sv.random == nil {
		sv.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	sv.clients = newAccountant(st.Bounds, sv.metrics)
	return sv
}

// http2LineOverhead is what HTTP/2 counts for a line in addition to its text (RFC 9113, 6.5.2), in bytes.
const http2LineOverhead = 32

// maxDescriptors is the highest limit of descriptors that matters: bounds.connections is lower.
const maxDescriptors = 1 << 20

// acceptedConnections returns how many connections the process may accept. A quarter of its descriptors is left for connections
// that it opens itself, and for files.
func acceptedConnections(limit int) int {
	if most := descriptorLimit() / 4 * 3; most > 0 {
		return min(limit, most)
	}
	return limit
}

// newAccountant returns the accountant of all ports of the process.
func newAccountant(bd loader.Bounds, ms *metrics.Set) *connector.Accountant {
	ac := connector.NewAccountant(connector.Limits{
		HeadBytes: bd.HeadBytes, AnswerBytes: bd.AnswerBytes, KernelBytes: bd.KernelBytes, HeaderLines: bd.HeaderLines, Connections: acceptedConnections(bd.Connections), ConnectionsPerClient: bd.ConnectionsPerClient,
		Pipelined: bd.Pipelined, Streams: bd.Streams,
	})
	ms.NewGauge("gypsumhoist_connector_head_bytes", func() float64 { return float64(ac.HeadBytes()) })
	ms.NewGauge("gypsumhoist_connector_answer_bytes", func() float64 { return float64(ac.AnswerBytes()) })
	ms.NewGauge("gypsumhoist_connector_accepted_connections", func() float64 { return float64(ac.Connections()) })
	return ac
}

// PortOptions returns the options of a further port of the process that shares its limits.
func (sv *Server) PortOptions(pt connector.Port) []connector.Option {
	bd := sv.settings.Bounds
	opts := []connector.Option{
		connector.WithLogger(sv.logger), connector.WithMetrics(sv.metrics), connector.WithAccountant(sv.clients, pt),
		connector.WithMaxConns(bd.Connections), connector.WithMaxHeaderBytes(bd.HeaderBytes),
		connector.WithReadHeaderTimeout(time.Duration(bd.HeaderTime)), connector.WithIdleTimeout(time.Duration(bd.IdleTime)),
	}
	if pt == connector.PortPeers {
		// HTTP/2 counts more for each line than a caller sent.
		return append(opts, connector.WithMaxHeaderBytes(bd.HeaderBytes+http2LineOverhead*bd.HeaderLines))
	}
	return append(opts, connector.WithReceiveBuffer(bd.ReceiveBuffer), connector.WithSendBuffer(bd.SendBuffer))
}

// Start builds the components, opens the ports and joins the fleet.
// On error everything is stopped again.
func (sv *Server) Start() error {
	if sv.network == nil {
		nw, err := tcpNetwork(sv.settings.TLS)
		if err != nil {
			return err
		}
		sv.network = nw
	}
	limitRuntime(sv.settings.Bounds)
	sv.boot = gossiper.Boot(time.Now().UnixNano())
	sv.build()
	if err := sv.open(); err != nil {
		sv.close()
		return err
	}
	sv.logger.Log(eventStarted, "domain", sv.settings.FailureDomain, "peers", sv.settings.Listen.Peers)
	return nil
}

// limitRuntime applies the settings that concern the whole process.
func limitRuntime(bd loader.Bounds) {
	if bd.MemoryBytes > 0 {
		debug.SetMemoryLimit(bd.MemoryBytes)
	}
	if bd.Processors > 0 {
		runtime.GOMAXPROCS(bd.Processors)
	}
}

// build creates the components in the order of their dependencies.
func (sv *Server) build() {
	st := sv.settings
	sv.prober = prober.New(st.FailureDomain, prober.WithLogger(sv.logger), prober.WithMetrics(sv.metrics),
		prober.WithProbe(sv.probePeer), prober.WithNotify(sv.setReachability))
	sv.peers = connector.NewPeerPool(connector.WithNetwork(sv.network), connector.WithLogger(sv.logger),
		connector.WithMetrics(sv.metrics), connector.WithPathMonitor(sv.prober))
	sv.gossiper = gossiper.New(
		gossiper.WithSelf(gossiper.Member{
			Instance: st.Instance, Boot: sv.boot, Domain: st.FailureDomain, Peer: st.Listen.Peers, Roles: roles(st),
		}),
		gossiper.WithSeeds(seeds(st)), gossiper.WithPeers(sv.peers), gossiper.WithLogger(sv.logger),
		gossiper.WithMetrics(sv.metrics), gossiper.WithRand(sv.forkRandom()),
	)
	sv.host = replicator.NewHost(
		replicator.WithPeers(sv.peers), replicator.WithLogger(sv.logger), replicator.WithMetrics(sv.metrics),
		replicator.WithIntroductionHandler(sv.handleIntroduction),
	)
	holder := registrar.NewHolder()
	if st.Has(loader.RoleControl) {
		sv.control = newControl(sv, holder)
	}
	sv.buildTable(holder)
	sv.drainer = drainer.New(drainer.WithLogger(sv.logger), drainer.WithLeave(sv.leave), drainer.WithHandover(sv.handOver),
		drainer.WithRefuse(sv.refuseHops), drainer.WithAbort(sv.abortRequests))
	if st.Has(loader.RoleNode) {
		sv.node = newNode(sv, holder)
	}
}

// buildTable creates the distributor of the table and the operators' service.
func (sv *Server) buildTable(holder *registrar.Holder) {
	opts := []registrar.Option{
		registrar.WithHolder(holder), registrar.WithPeers(sv.peers), registrar.WithLogger(sv.logger),
		registrar.WithMetrics(sv.metrics), registrar.WithSelf(sv.source()),
	}
	if sv.control != nil {
		opts = append(opts, registrar.WithProposer(sv.control), registrar.WithSheet(sv.control.currentSheet))
	}
	sv.distributor = registrar.NewDistributor(opts...)
	sv.operatorService = registrar.NewOperatorService(append(opts, registrar.WithDistributor(sv.distributor))...)
}

// probePeer checks whether another instance responds.
func (sv *Server) probePeer(ctx context.Context, to netip.AddrPort) error {
	return sv.peers.Probe(ctx, to)
}

// setReachability passes the prober's results to the router.
func (sv *Server) setReachability(re prober.Reachability) {
	if sv.node != nil {
		sv.node.router.SetReachability(re)
	}
}

// forkRandom returns an independent source of random numbers for one component.
func (sv *Server) forkRandom() *rand.Rand {
	return rand.New(rand.NewPCG(sv.random.Uint64(), sv.random.Uint64()))
}

// open opens the ports, except the callers' port, and starts the components.
func (sv *Server) open() error {
	ls := sv.settings.Listen
	if err := sv.listen("peers", ls.Peers, sv.peerMiddleware(sv.peerHandler()), connector.WithPeerTraffic()); err != nil {
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
		cf := &confirmer{sv: sv, started: time.Now()}
		sv.tmb.Go(cf.loop)
	}
	sv.prober.Start()
	sv.gossiper.Subscribe(sv.setView)
	sv.gossiper.Start()
	sv.distributor.Start()
	if sv.node != nil {
		sv.node.start()
	}
	sv.tmb.Go((&collector{pressure: sv.clients.Pressure(), dying: sv.tmb.Dying()}).loop)
	sv.tmb.Go(sv.run)
	return nil
}

// portKinds are the kinds of the ports by name.
var portKinds = map[string]connector.Port{
	"callers": connector.PortCallers, "peers": connector.PortPeers, "operator": connector.PortOperators, "upstream": connector.PortUpstream,
}

// listen opens one port.
func (sv *Server) listen(name string, addr netip.AddrPort, handler http.Handler, opts ...connector.Option) error {
	// Checked again in addPort, as a stop may begin meanwhile; a port that is opened and closed again would take connections and reset them.
	if sv.stops() {
		return errStopping
	}
	ln, err := sv.network.Listen(addr)
	if err != nil {
		return TagPort.Errorf("%s: %w", name, err)
	}
	pt := &port{name: name, server: connector.NewServer(handler, append(sv.PortOptions(portKinds[name]), opts...)...)}
	if !sv.addPort(pt) {
		_ = ln.Close()
		return errStopping
	}
	sv.tmb.Go(func() error { return sv.loop(pt, func() error { return pt.server.Serve(ln) }) })
	return nil
}

// addPort adds a port that is to be drained by a stop, unless one has begun.
func (sv *Server) addPort(pt *port) bool {
	sv.portsMu.Lock()
	defer sv.portsMu.Unlock()
	if sv.stopping {
		return false
	}
	sv.ports = append(sv.ports, pt)
	return true
}

// stopPorts prevents that further ports are opened, and returns those that are open.
func (sv *Server) stopPorts() []*port {
	sv.portsMu.Lock()
	defer sv.portsMu.Unlock()
	sv.stopping = true
	return sv.ports
}

// loop serves one port until it is shut down.
func (sv *Server) loop(pt *port, serve func() error) error {
	if err := serve(); err != nil {
		sv.logger.Log(eventPort, "port", pt.name, "err", err)
		return TagPort.Errorf("%s: %w", pt.name, err)
	}
	return nil
}

// Dead returns a channel that is closed when the process has stopped, including after a failure.
func (sv *Server) Dead() <-chan struct{} { return sv.tmb.Dead() }

// stops reports whether a planned stop has begun.
func (sv *Server) stops() bool {
	sv.portsMu.Lock()
	defer sv.portsMu.Unlock()
	return sv.stopping
}

// Revision returns the revision of the table in force in this process.
func (sv *Server) Revision() uint64 { return sv.distributor.Holder().Current().Revision() }

// Evacuated returns the failure domains that the table in force in this process evacuates, sorted.
func (sv *Server) Evacuated() []gypsumhoist.FailureDomain {
	return sv.distributor.Holder().Current().Evacuated()
}

// Stop drains and stops the process: no request in flight is cut off before the context ends or the settings' longest time has passed.
func (sv *Server) Stop(ctx context.Context) error {
	grace, longest := sv.settings.Stop.Times()
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	err := sv.drainer.Drain(ctx, grace, callPorts(sv.stopPorts())...)
	sv.close()
	return err
}

// Kill stops the process at once, as a crash would. It is for tests.
func (sv *Server) Kill() {
	sv.gossiper.Kill()
	sv.close()
}

// callPorts returns the ports that accept calls, the callers' port first.
func callPorts(ports []*port) []drainer.Port {
	var out []drainer.Port
	for _, name := range []string{"callers", "upstream"} {
		for _, pt := range ports {
			if pt.name == name {
				out = append(out, pt.server)
			}
		}
	}
	return out
}

// leave announces to the fleet that the instance is about to stop.
func (sv *Server) leave(ctx context.Context) error {
	if sv.node != nil {
		sv.node.leave()
	}
	return sv.gossiper.Leave(ctx)
}

// handOver hands over the instance's memberships in shard groups.
func (sv *Server) handOver(ctx context.Context) error {
	if sv.node == nil || sv.node.shards == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	return sv.node.shards.sharder.Leave(ctx)
}

// refuseHops makes the node refuse calls that other nodes still forward to it.
func (sv *Server) refuseHops() {
	if sv.node != nil {
		sv.node.forwarder.RefuseHops()
	}
}

// abortRequests makes the node answer the requests in flight without their upstreams.
func (sv *Server) abortRequests() {
	if sv.node != nil {
		sv.node.forwarder.Abort()
	}
}

// handoverTimeout bounds how long a leaving process waits for others to replace it in its shard groups.
// Groups in which it is still a member by then repair themselves after it has stopped.
const handoverTimeout = 5 * time.Second

// close stops all components.
func (sv *Server) close() {
	if sv.node != nil {
		sv.node.stop()
	}
	sv.prober.Stop()
	sv.distributor.Stop()
	sv.gossiper.Stop()
	sv.host.Stop()
	for _, pt := range sv.stopPorts() {
		// Remaining connections have no request in flight.
		_ = pt.server.Close()
	}
	sv.tmb.Kill(nil)
	if err := sv.tmb.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		sv.logger.Log(eventPort, "err", err)
	}
	sv.peers.Close()
}
